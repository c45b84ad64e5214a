/**
 * Holds for gangs: resources allocated for all members, or the first few, until the gang starts or is
 * released.
 *
 * @remarks Deadlock between partially held gangs is prevented in two ways: a hold expires, and an older gang
 * takes resources from the holds of younger ones (wound-wait, ordered by the start of waiting, then by id).
 * The oldest gang that is not held completely also gets capacity reserved on workers as they become free, so
 * that small tasks cannot starve it; other work may only backfill that capacity ahead of the reserved start.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { AllocationLedger } from "./allocation-ledger.js";
import { type ItemRecord, ItemState } from "./item-record.js";
import type { Decision, HoldResult, WorkItem } from "./placement-core.js";
import { countFits, type Reservations } from "./reservations.js";
import type { WorkerRecord } from "./worker-record.js";

/** Bounds of the delay after which the home of the job should ask again. */
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 5_000;
/** Time by which reservations outlive the hold, so that the gang's next attempt finds them. */
const RESERVATION_GRACE_MS = 10_000;

interface Hold {
    readonly gangId: string;
    readonly queuedAt: Millis;
    expiresAt: Millis;
    /** Held items by id, in the order in which they were held. */
    readonly items: Map<string, ItemRecord>;
}

/** Maximum share of the workers reserved for a gang; the others keep serving short work without delay. */
const MAX_RESERVED_SHARE = 0.8;

/** Number of member places to reserve for each member that is still missing. */
const OVERRESERVATION_FACTOR = 4;

/** The gang for which capacity is reserved. */
interface ReservingGang {
    readonly gangId: string;
    readonly queuedAt: Millis;
    expiresAt: Millis;
}

/** Creates the record of a gang member and finds a worker for it as for any other task. */
export interface MemberPlacer {
    findWorker(record: ItemRecord): WorkerRecord | undefined;
    makeRecord(item: WorkItem): ItemRecord;
}

/** All holds of one placer. */
export class GangHolds {
    private readonly holds = new Map<string, Hold>();
    private reservingGang: ReservingGang | undefined;

    constructor(
        private readonly ledger: AllocationLedger,
        private readonly reservations: Reservations,
        private readonly placer: MemberPlacer,
    ) {}

    reserve(
        gangId: string,
        items: readonly WorkItem[],
        expiresAt: Millis,
        now: Millis,
        random: Random,
    ): HoldResult {
        const hold = this.getHold(gangId, items, expiresAt);
        let held = this.fill(hold, items, now);
        while (held < items.length && this.dropYoungest(hold)) {
            held = this.fill(hold, items, now);
        }
        if (hold.items.size === 0) {
            this.holds.delete(gangId);
        }
        if (held === items.length) {
            this.dropReservations(gangId);
            return { held };
        }
        const readyAt = this.reserveRemaining(hold, items.slice(held), now, random);
        const wait = readyAt === undefined ? MAX_RETRY_MS : readyAt - now;
        return { held, moreAfterMs: Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, wait)) };
    }

    /** Starts all held members of a gang; returns no decisions if the hold has expired or was released. */
    commit(gangId: string, now: Millis): readonly Decision[] {
        const hold = this.holds.get(gangId);
        if (hold === undefined || hold.expiresAt <= now) {
            return [];
        }
        this.holds.delete(gangId);
        this.dropReservations(gangId);
        const decisions: Decision[] = [];
        for (const record of hold.items.values()) {
            const { worker } = record;
            if (worker !== undefined) {
                record.state = ItemState.running;
                record.holdId = undefined;
                record.startedAt = now;
                record.reason = `gang ${gangId}: all members held`;
                const { item, reason } = record;
                decisions.push({ kind: "start", item, workerId: worker.id, reason, runnersUp: [] });
            }
        }
        return decisions;
    }

    /** Releases the hold and the reservations of a gang. */
    release(gangId: string): void {
        this.dropHold(gangId);
        this.dropReservations(gangId);
    }

    /** Removes one item from its hold because it is being released on its own. */
    removeItem(record: ItemRecord): void {
        const hold = record.holdId === undefined ? undefined : this.holds.get(record.holdId);
        hold?.items.delete(record.item.id);
        if (hold?.items.size === 0) {
            this.holds.delete(hold.gangId);
        }
    }

    /** Drops expired holds and reservations. */
    expire(now: Millis): void {
        for (const hold of this.holds.values()) {
            if (hold.expiresAt <= now) {
                this.dropHold(hold.gangId);
            }
        }
        if (this.reservingGang !== undefined && this.reservingGang.expiresAt <= now) {
            this.dropReservations(this.reservingGang.gangId);
        }
    }

    /** @returns Instant at which the next hold expires; undefined if there is none. */
    getNextExpiry(): Millis | undefined {
        let next: Millis | undefined;
        for (const hold of this.holds.values()) {
            next = Math.min(next ?? Infinity, hold.expiresAt);
        }
        return next;
    }

    private getHold(gangId: string, items: readonly WorkItem[], expiresAt: Millis): Hold {
        let hold = this.holds.get(gangId);
        if (hold === undefined) {
            hold = { gangId, queuedAt: items[0]?.queuedAt ?? 0, expiresAt, items: new Map() };
            this.holds.set(gangId, hold);
        }
        hold.expiresAt = expiresAt;
        return hold;
    }

    /**
     * Holds items in order up to the first that does not fit; returns how many from the first on are held.
     */
    private fill(hold: Hold, items: readonly WorkItem[], now: Millis): number {
        let held = 0;
        for (const item of items) {
            if (!hold.items.has(item.id) && !this.tryHold(hold, item, now)) {
                break;
            }
            held += 1;
        }
        return held;
    }

    private tryHold(hold: Hold, item: WorkItem, now: Millis): boolean {
        if (this.ledger.records.has(item.id) || !this.ledger.teams.get(item.team).mayUse(item.resources)) {
            return false;
        }
        const record = this.placer.makeRecord(item);
        const worker = this.findReserved(hold.gangId, item.resources) ?? this.placer.findWorker(record);
        if (worker === undefined) {
            return false;
        }
        this.ledger.place(record, worker, "held", now);
        record.holdId = hold.gangId;
        hold.items.set(item.id, record);
        this.useReservation(worker, hold.gangId);
        return true;
    }

    private findReserved(gangId: string, demand: Resources): WorkerRecord | undefined {
        for (const worker of this.reservations.list(gangId)) {
            if (worker.open && worker.hasCapacity(demand)) {
                return worker;
            }
        }
        return undefined;
    }

    /** Reduces a reservation by the member that is now held on the worker. */
    private useReservation(worker: WorkerRecord, gangId: string): void {
        const { reservation } = worker;
        if (reservation?.ownerId !== gangId) {
            return;
        }
        const count = reservation.count - 1;
        this.ledger.setReservation(worker, count === 0 ? undefined : { ...reservation, count });
    }

    /** Drops the youngest of the holds that are younger than the given one; returns whether there was one. */
    private dropYoungest(hold: Hold): boolean {
        let youngest: Hold | undefined;
        for (const other of this.holds.values()) {
            if (isOlder(hold, other) && (youngest === undefined || isOlder(youngest, other))) {
                youngest = other;
            }
        }
        if (youngest === undefined) {
            return false;
        }
        this.dropHold(youngest.gangId);
        return true;
    }

    private dropHold(gangId: string): void {
        const hold = this.holds.get(gangId);
        this.holds.delete(gangId);
        for (const record of hold?.items.values() ?? []) {
            this.ledger.release(record);
        }
    }

    /**
     * Reserves capacity for the members not held, unless an older gang has reservations; returns when the
     * first will fit.
     */
    private reserveRemaining(
        hold: Hold,
        remaining: readonly WorkItem[],
        now: Millis,
        random: Random,
    ): Millis | undefined {
        const { reservingGang } = this;
        if (
            reservingGang !== undefined && reservingGang.gangId !== hold.gangId &&
            !isOlder(hold, reservingGang)
        ) {
            return undefined;
        }
        if (reservingGang !== undefined && reservingGang.gangId !== hold.gangId) {
            this.reservations.drop(reservingGang.gangId);
        }
        const expiresAt = hold.expiresAt + RESERVATION_GRACE_MS;
        this.reservingGang = { gangId: hold.gangId, queuedAt: hold.queuedAt, expiresAt };
        const soonest = this.reservations.renew(hold.gangId, expiresAt, now);
        const added = this.planRemaining(hold.gangId, remaining, expiresAt, now, random);
        return soonest === undefined ? added : Math.min(soonest, added ?? Infinity);
    }

    /**
     * Reserves capacity for more members than are missing, whole workers where necessary. The gang takes what
     * becomes free first and drops the rest when it is complete. With exactly as many places as members, most
     * of the reserved capacity idled until the slowest place was free.
     */
    private planRemaining(
        gangId: string,
        remaining: readonly WorkItem[],
        expiresAt: Millis,
        now: Millis,
        random: Random,
    ): Millis | undefined {
        const item = remaining[0];
        if (item === undefined || !this.ledger.teams.get(item.team).mayUse(item.resources)) {
            return undefined;
        }
        const unit = item.resources;
        const maxWorkers = Math.max(1, Math.floor(MAX_RESERVED_SHARE * this.ledger.workers.size));
        const wanted = OVERRESERVATION_FACTOR * remaining.length;
        let reserved = 0;
        for (const worker of this.reservations.list(gangId)) {
            reserved += worker.reservation?.count ?? 0;
        }
        let soonest: Millis | undefined;
        while (reserved < wanted && this.reservations.list(gangId).size < maxWorkers) {
            const plan = this.reservations.plan(unit, now, random);
            if (plan === undefined) {
                break;
            }
            const { worker, readyAt } = plan;
            const count = Math.min(remaining.length, countFitsWhenEmpty(worker, unit));
            this.reservations.add(worker, { ownerId: gangId, unit, count, readyAt, expiresAt });
            soonest = Math.min(soonest ?? Infinity, readyAt);
            reserved += count;
        }
        return soonest;
    }

    private dropReservations(gangId: string): void {
        this.reservations.drop(gangId);
        if (this.reservingGang?.gangId === gangId) {
            this.reservingGang = undefined;
        }
    }
}

function isOlder(left: Hold | ReservingGang, right: Hold | ReservingGang): boolean {
    return left.queuedAt < right.queuedAt || left.queuedAt === right.queuedAt && left.gangId < right.gangId;
}

/** @returns How many members fit on the worker if nothing else is allocated there; at least 1. */
function countFitsWhenEmpty(worker: WorkerRecord, unit: Resources): number {
    const { cpuMillis, memoryMib, accelerators } = worker.view.capacity;
    return Math.max(1, countFits(unit, { cpu: cpuMillis, memory: memoryMib, accelerators }));
}
