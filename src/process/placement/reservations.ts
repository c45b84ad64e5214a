/**
 * Capacity reserved on workers for a waiting task or gang, and backfill ahead of the reserved start.
 *
 * @remarks A worker with a reservation is not in the capacity index. Other work may start there only if the
 * reserved capacity is free in addition to it, or if by a conservative estimate it ends before the reserved
 * start and can be preempted if it does not. So a wrong estimate delays the reserved start by at most the
 * time of a preemption. The first condition does not count on running tasks to end: with run times off by a
 * factor of ten, backfilled work was started and preempted again and again.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { AllocationLedger } from "./allocation-ledger.js";
import { type ItemRecord, ItemState } from "./item-record.js";
import type { RunTimeEstimator } from "./run-time-estimator.js";
import type { Reservation, WorkerRecord } from "./worker-record.js";

/** Number of workers sampled to choose where to reserve. */
const SAMPLED_WORKERS = 24;

/** A worker on which capacity could be reserved, and when that capacity will be free. */
export interface ReservationPlan {
    readonly worker: WorkerRecord;
    readonly readyAt: Millis;
}

/** All reservations of one placer. */
export class Reservations {
    private readonly byOwner = new Map<string, Set<WorkerRecord>>();

    constructor(private readonly ledger: AllocationLedger, private readonly estimator: RunTimeEstimator) {}

    /** @returns Workers with a reservation for an owner. */
    list(ownerId: string): ReadonlySet<WorkerRecord> {
        return this.byOwner.get(ownerId) ?? NO_WORKERS;
    }

    has(ownerId: string): boolean {
        return this.byOwner.has(ownerId);
    }

    /** Adds a reservation on a worker that has none. */
    add(worker: WorkerRecord, reservation: Reservation): void {
        this.ledger.setReservation(worker, reservation);
        const workers = this.byOwner.get(reservation.ownerId) ?? new Set();
        workers.add(worker);
        this.byOwner.set(reservation.ownerId, workers);
    }

    /** Extends an owner's reservations and re-estimates when each is ready; returns the earliest. */
    renew(ownerId: string, expiresAt: Millis, now: Millis): Millis | undefined {
        let soonest: Millis | undefined;
        for (const worker of this.list(ownerId)) {
            const { reservation } = worker;
            if (reservation?.ownerId === ownerId) {
                const readyAt = this.planOn(worker, reservation.unit, now)?.readyAt ?? reservation.readyAt;
                this.ledger.setReservation(worker, { ...reservation, readyAt, expiresAt });
                soonest = Math.min(soonest ?? Infinity, readyAt);
            }
        }
        return soonest;
    }

    /** Removes all reservations of an owner. */
    drop(ownerId: string): void {
        const workers = this.byOwner.get(ownerId);
        this.byOwner.delete(ownerId);
        for (const worker of workers ?? NO_WORKERS) {
            if (worker.reservation?.ownerId === ownerId) {
                this.ledger.setReservation(worker, undefined);
            }
        }
    }

    /** Removes all reservations of each owner that has an expired one. */
    expire(now: Millis): void {
        for (const worker of this.ledger.reserved) {
            if (worker.reservation !== undefined && worker.reservation.expiresAt <= now) {
                this.drop(worker.reservation.ownerId);
            }
        }
    }

    /** Finds the worker, among a sample, on which a demand will fit soonest; undefined if it fits on none. */
    plan(demand: Resources, now: Millis, random: Random): ReservationPlan | undefined {
        let best: ReservationPlan | undefined;
        const candidates = this.ledger.listCandidates(demand);
        for (let step = 0; step < Math.min(SAMPLED_WORKERS, candidates.length); step++) {
            const worker = candidates[random.pickInt(candidates.length)];
            if (worker === undefined || !worker.open || worker.reservation !== undefined) {
                continue;
            }
            const plan = this.planOn(worker, demand, now);
            if (plan !== undefined && (best === undefined || plan.readyAt < best.readyAt)) {
                best = plan;
            }
        }
        return best;
    }

    /** Tells whether a task may start on a reserved worker ahead of the reservation (backfill). */
    mayBackfill(worker: WorkerRecord, record: ItemRecord, now: Millis): boolean {
        const { reservation } = worker;
        if (reservation === undefined || !worker.hasCapacity(record.item.resources)) {
            return false;
        }
        const { resources, repeatable } = record.item;
        const fitsBesideReservation =
            resources.cpuMillis + reservation.count * reservation.unit.cpuMillis <= worker.freeCpu &&
            resources.memoryMib + reservation.count * reservation.unit.memoryMib <= worker.freeMemory &&
            resources.accelerators + reservation.count * reservation.unit.accelerators <=
                worker.freeAccelerators;
        if (fitsBesideReservation) {
            return true;
        }
        const endsInTime = now + this.estimator.estimateLongRun(record.item) <= reservation.readyAt;
        return endsInTime && record.branch?.preemptible === true && repeatable;
    }

    /** @returns When the demand will fit on a worker; undefined if the worker is too small. */
    private planOn(worker: WorkerRecord, demand: Resources, now: Millis): ReservationPlan | undefined {
        if (!worker.canHold(demand)) {
            return undefined;
        }
        const free = {
            cpu: worker.freeCpu,
            memory: worker.freeMemory,
            accelerators: worker.freeAccelerators,
        };
        let readyAt = now;
        for (const task of sortByEnd(worker, now)) {
            // Backfilled tasks are preempted at the reserved start, so they must not delay it.
            if (task.backfilledFor === worker.reservation?.ownerId && task.backfilledFor !== undefined) {
                addCapacity(free, task.item.resources);
                continue;
            }
            if (countFits(demand, free) > 0) {
                break;
            }
            addCapacity(free, task.item.resources);
            readyAt = Math.max(now, task.startedAt + task.expectedMs);
        }
        return countFits(demand, free) > 0 ? { worker, readyAt } : undefined;
    }
}

const NO_WORKERS: ReadonlySet<WorkerRecord> = new Set();

interface FreeCapacity {
    cpu: number;
    memory: number;
    accelerators: number;
}

function addCapacity(free: FreeCapacity, resources: Resources): void {
    free.cpu += resources.cpuMillis;
    free.memory += resources.memoryMib;
    free.accelerators += resources.accelerators;
}

/** @returns How many times a demand fits, up to {@link MAX_FITS}. */
export function countFits(demand: Resources, free: FreeCapacity): number {
    return Math.floor(Math.min(
        demand.cpuMillis > 0 ? free.cpu / demand.cpuMillis : Infinity,
        demand.memoryMib > 0 ? free.memory / demand.memoryMib : Infinity,
        demand.accelerators > 0 ? free.accelerators / demand.accelerators : Infinity,
        MAX_FITS,
    ));
}

const MAX_FITS = 1_000;

/**
 * @returns Running tasks by expected end; an overdue one is expected to run as long again as it has so far.
 */
function sortByEnd(worker: WorkerRecord, now: Millis): readonly ItemRecord[] {
    const running = [...worker.tasks.values()].filter(task => task.state === ItemState.running);
    const computeEnd = (task: ItemRecord) => {
        const end = task.startedAt + task.expectedMs;
        return end > now ? end : now + (now - task.startedAt);
    };
    return running.sort((left, right) => computeEnd(left) - computeEnd(right));
}
