/**
 * Room kept back on workers for one waiting task or gang, and backfill in front of it.
 *
 * @remarks A reserved worker is out of the room index. Other work may start there only if the reserved room is
 * free beside it already, or if it ends before the reserved start by a long estimate and may be preempted if
 * it does not. Ends of running tasks are not counted on for it: with run times off by ten, work that relied on
 * them was started and preempted again and again. So a wrong estimate never delays the reserved start by more than a preemption takes.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { Books } from "./books.js";
import { type ItemRecord, ItemState } from "./item-record.js";
import type { Learning } from "./learning.js";
import type { Reservation, WorkerRecord } from "./worker-record.js";

/** Workers compared when room is to be reserved. */
const SAMPLED_WORKERS = 24;

/** A place where room could be reserved. */
export interface ReservationPlan {
    readonly worker: WorkerRecord;
    readonly readyAt: Millis;
}

/** All reservations of one placer. */
export class Reservations {
    private readonly byOwner = new Map<string, Set<WorkerRecord>>();

    constructor(private readonly books: Books, private readonly learning: Learning) {}

    /** @returns Workers with room kept back for an owner. */
    list(ownerId: string): ReadonlySet<WorkerRecord> {
        return this.byOwner.get(ownerId) ?? NO_WORKERS;
    }

    has(ownerId: string): boolean {
        return this.byOwner.has(ownerId);
    }

    /** Keeps room back on an unreserved worker. */
    add(worker: WorkerRecord, reservation: Reservation): void {
        this.books.setReservation(worker, reservation);
        const workers = this.byOwner.get(reservation.ownerId) ?? new Set();
        workers.add(worker);
        this.byOwner.set(reservation.ownerId, workers);
    }

    /** Extends an owner's reservations and estimates again when they will be ready; returns the soonest. */
    renew(ownerId: string, expiresAt: Millis, now: Millis): Millis | undefined {
        let soonest: Millis | undefined;
        for (const worker of this.list(ownerId)) {
            const { reservation } = worker;
            if (reservation?.ownerId === ownerId) {
                const readyAt = this.planOn(worker, reservation.unit, now)?.readyAt ?? reservation.readyAt;
                this.books.setReservation(worker, { ...reservation, readyAt, expiresAt });
                soonest = Math.min(soonest ?? Infinity, readyAt);
            }
        }
        return soonest;
    }

    /** Ends all reservations of an owner. */
    drop(ownerId: string): void {
        const workers = this.byOwner.get(ownerId);
        this.byOwner.delete(ownerId);
        for (const worker of workers ?? NO_WORKERS) {
            if (worker.reservation?.ownerId === ownerId) {
                this.books.setReservation(worker, undefined);
            }
        }
    }

    /** Ends reservations that have lapsed; returns nothing else. */
    expire(now: Millis): void {
        for (const worker of this.books.reserved) {
            if (worker.reservation !== undefined && worker.reservation.expiresAt <= now) {
                this.drop(worker.reservation.ownerId);
            }
        }
    }

    /** Finds where a need will fit soonest, among some workers that are large enough. */
    plan(need: Resources, now: Millis, random: Random): ReservationPlan | undefined {
        let best: ReservationPlan | undefined;
        const candidates = this.books.listCandidates(need);
        for (let step = 0; step < Math.min(SAMPLED_WORKERS, candidates.length); step++) {
            const worker = candidates[random.pickInt(candidates.length)];
            if (worker === undefined || !worker.open || worker.reservation !== undefined) {
                continue;
            }
            const plan = this.planOn(worker, need, now);
            if (plan !== undefined && (best === undefined || plan.readyAt < best.readyAt)) {
                best = plan;
            }
        }
        return best;
    }

    /** Tells whether a task may start in front of a worker's reservation. */
    mayBackfill(worker: WorkerRecord, record: ItemRecord, now: Millis): boolean {
        const { reservation } = worker;
        if (reservation === undefined || !worker.hasRoom(record.item.resources)) {
            return false;
        }
        const { resources, repeatable } = record.item;
        const leavesRoom =
            resources.cpuMillis + reservation.count * reservation.unit.cpuMillis <= worker.freeCpu &&
            resources.memoryMib + reservation.count * reservation.unit.memoryMib <= worker.freeMemory &&
            resources.accelerators + reservation.count * reservation.unit.accelerators <=
                worker.freeAccelerators;
        if (leavesRoom) {
            return true;
        }
        const endsInTime = now + this.learning.estimateLongRun(record.item) <= reservation.readyAt;
        return endsInTime && record.branch?.preemptible === true && repeatable;
    }

    /** @returns When the need fits on one worker. */
    private planOn(worker: WorkerRecord, need: Resources, now: Millis): ReservationPlan | undefined {
        if (!worker.canHold(need)) {
            return undefined;
        }
        const free = {
            cpu: worker.freeCpu,
            memory: worker.freeMemory,
            accelerators: worker.freeAccelerators,
        };
        let readyAt = now;
        for (const task of sortByEnd(worker, now)) {
            // What was backfilled gives way at the reserved start, so it must not move that start.
            if (task.backfilledFor === worker.reservation?.ownerId && task.backfilledFor !== undefined) {
                addFree(free, task.item.resources);
                continue;
            }
            if (countFits(need, free) > 0) {
                break;
            }
            addFree(free, task.item.resources);
            readyAt = Math.max(now, task.startedAt + task.expectedMs);
        }
        return countFits(need, free) > 0 ? { worker, readyAt } : undefined;
    }
}

const NO_WORKERS: ReadonlySet<WorkerRecord> = new Set();

interface FreeRoom {
    cpu: number;
    memory: number;
    accelerators: number;
}

function addFree(free: FreeRoom, resources: Resources): void {
    free.cpu += resources.cpuMillis;
    free.memory += resources.memoryMib;
    free.accelerators += resources.accelerators;
}

/** @returns How many times a need fits. */
export function countFits(need: Resources, free: FreeRoom): number {
    return Math.floor(Math.min(
        need.cpuMillis > 0 ? free.cpu / need.cpuMillis : Infinity,
        need.memoryMib > 0 ? free.memory / need.memoryMib : Infinity,
        need.accelerators > 0 ? free.accelerators / need.accelerators : Infinity,
        MAX_FITS,
    ));
}

const MAX_FITS = 1_000;

/** A task past its expected end is taken to run as long again as it has run so far. */
function sortByEnd(worker: WorkerRecord, now: Millis): readonly ItemRecord[] {
    const running = [...worker.tasks.values()].filter(task => task.state === ItemState.running);
    const computeEnd = (task: ItemRecord) => {
        const end = task.startedAt + task.expectedMs;
        return end > now ? end : now + (now - task.startedAt);
    };
    return running.sort((left, right) => computeEnd(left) - computeEnd(right));
}
