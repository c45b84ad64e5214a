/**
 * Holds for gangs: room taken for all members, or for the first so many, until the gang starts or gives up.
 *
 * @remarks Deadlock between gangs that each hold a part is prevented twice: a hold ends at its time limit, and
 * an older gang that needs room takes it from the holds of younger ones (wound-wait by the beginning of their
 * waiting, then by id). The oldest gang that could not be held whole also gets room reserved on workers that
 * become free, so that small work cannot pass it for ever; other work fills that room only in front of the
 * reserved start.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { Books } from "./books.js";
import { type ItemRecord, ItemState } from "./item-record.js";
import type { Decision, HoldResult, WorkItem } from "./placement-core.js";
import { countFits, type Reservations } from "./reservations.js";
import type { WorkerRecord } from "./worker-record.js";

/** Bounds of the time after which a home asks again. */
const MIN_RETRY_MS = 50;
const MAX_RETRY_MS = 5_000;
/** How long reserved room outlives the hold, so that the gang's next try finds it. */
const RESERVATION_GRACE_MS = 10_000;

interface Hold {
    readonly gangId: string;
    readonly queuedAt: Millis;
    expiresAt: Millis;
    /** Held items by id, in the order of the gang. */
    readonly items: Map<string, ItemRecord>;
}

/** Workers with room reserved for a gang at once, as a share: the others go on serving short work at once. */
const RESERVED_SHARE = 0.8;

/** Room reserved for a gang, against what it still needs. */
const OVERBOOKING = 4;

/** The gang for which room is reserved. */
interface PendingGang {
    readonly gangId: string;
    readonly queuedAt: Millis;
    expiresAt: Millis;
}

/** Finds a worker for a member as ordinary work, and makes its record. */
export interface GangHost {
    findWorker(record: ItemRecord): WorkerRecord | undefined;
    makeRecord(item: WorkItem): ItemRecord;
}

/** All holds of one placer. */
export class GangBook {
    private readonly holds = new Map<string, Hold>();
    private pending: PendingGang | undefined;

    constructor(
        private readonly books: Books,
        private readonly reservations: Reservations,
        private readonly host: GangHost,
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
            this.dropPending(gangId);
            return { held };
        }
        const readyAt = this.reserveRest(hold, items.slice(held), now, random);
        const wait = readyAt === undefined ? MAX_RETRY_MS : readyAt - now;
        return { held, moreAfterMs: Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, wait)) };
    }

    /** Starts all that a gang holds; empty if the hold is gone. */
    commit(gangId: string, now: Millis): readonly Decision[] {
        const hold = this.holds.get(gangId);
        if (hold === undefined || hold.expiresAt <= now) {
            return [];
        }
        this.holds.delete(gangId);
        this.dropPending(gangId);
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

    /** Gives back all that a gang holds and what is reserved for it. */
    release(gangId: string): void {
        this.dropHold(gangId);
        this.dropPending(gangId);
    }

    /** Notes that one held item was released by itself. */
    removeItem(record: ItemRecord): void {
        const hold = record.holdId === undefined ? undefined : this.holds.get(record.holdId);
        hold?.items.delete(record.item.id);
        if (hold?.items.size === 0) {
            this.holds.delete(hold.gangId);
        }
    }

    /** Drops holds whose time is over. */
    expire(now: Millis): void {
        for (const hold of this.holds.values()) {
            if (hold.expiresAt <= now) {
                this.dropHold(hold.gangId);
            }
        }
        if (this.pending !== undefined && this.pending.expiresAt <= now) {
            this.dropPending(this.pending.gangId);
        }
    }

    /** @returns Instant at which the next hold ends; undefined for never. */
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

    /** Holds items in order up to the first that does not fit; returns how many are held from the first on. */
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
        if (this.books.records.has(item.id) || !this.books.teams.get(item.team).mayUse(item.resources)) {
            return false;
        }
        const record = this.host.makeRecord(item);
        const worker = this.findReserved(hold.gangId, item.resources) ?? this.host.findWorker(record);
        if (worker === undefined) {
            return false;
        }
        this.books.place(record, worker, "held", now);
        record.holdId = hold.gangId;
        hold.items.set(item.id, record);
        this.useReservation(worker, hold.gangId);
        return true;
    }

    private findReserved(gangId: string, need: Resources): WorkerRecord | undefined {
        for (const worker of this.reservations.list(gangId)) {
            if (worker.open && worker.hasRoom(need)) {
                return worker;
            }
        }
        return undefined;
    }

    /** Lowers a reservation by what was now held on the worker. */
    private useReservation(worker: WorkerRecord, gangId: string): void {
        const { reservation } = worker;
        if (reservation?.ownerId !== gangId) {
            return;
        }
        const count = reservation.count - 1;
        this.books.setReservation(worker, count === 0 ? undefined : { ...reservation, count });
    }

    /** Drops the youngest hold that is younger than the given one; returns whether there was one. */
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
            this.books.release(record);
        }
    }

    /** Reserves room for the members not held, if no older gang waits; returns when the first will fit. */
    private reserveRest(
        hold: Hold,
        rest: readonly WorkItem[],
        now: Millis,
        random: Random,
    ): Millis | undefined {
        const { pending } = this;
        if (pending !== undefined && pending.gangId !== hold.gangId && !isOlder(hold, pending)) {
            return undefined;
        }
        if (pending !== undefined && pending.gangId !== hold.gangId) {
            this.reservations.drop(pending.gangId);
        }
        const expiresAt = hold.expiresAt + RESERVATION_GRACE_MS;
        this.pending = { gangId: hold.gangId, queuedAt: hold.queuedAt, expiresAt };
        const soonest = this.reservations.renew(hold.gangId, expiresAt, now);
        const added = this.planRest(hold.gangId, rest, expiresAt, now, random);
        return soonest === undefined ? added : Math.min(soonest, added ?? Infinity);
    }

    /**
     * Reserves room for more members than are left, whole workers where they are needed: the gang takes what
     * comes free first, and what it does not need goes back when it is complete. Waiting for just as many
     * places kept most of the room idle until the slowest of them was free.
     */
    private planRest(
        gangId: string,
        rest: readonly WorkItem[],
        expiresAt: Millis,
        now: Millis,
        random: Random,
    ): Millis | undefined {
        const item = rest[0];
        if (item === undefined || !this.books.teams.get(item.team).mayUse(item.resources)) {
            return undefined;
        }
        const unit = item.resources;
        const mostWorkers = Math.max(1, Math.floor(RESERVED_SHARE * this.books.workers.size));
        const wanted = OVERBOOKING * rest.length;
        let reserved = 0;
        for (const worker of this.reservations.list(gangId)) {
            reserved += worker.reservation?.count ?? 0;
        }
        let soonest: Millis | undefined;
        while (reserved < wanted && this.reservations.list(gangId).size < mostWorkers) {
            const plan = this.reservations.plan(unit, now, random);
            if (plan === undefined) {
                break;
            }
            const { worker, readyAt } = plan;
            const count = Math.min(rest.length, countMost(worker, unit));
            this.reservations.add(worker, { ownerId: gangId, unit, count, readyAt, expiresAt });
            soonest = Math.min(soonest ?? Infinity, readyAt);
            reserved += count;
        }
        return soonest;
    }

    private dropPending(gangId: string): void {
        this.reservations.drop(gangId);
        if (this.pending?.gangId === gangId) {
            this.pending = undefined;
        }
    }
}

function isOlder(left: Hold | PendingGang, right: Hold | PendingGang): boolean {
    return left.queuedAt < right.queuedAt || left.queuedAt === right.queuedAt && left.gangId < right.gangId;
}

/** @returns How many members the empty worker would hold; at least 1. */
function countMost(worker: WorkerRecord, unit: Resources): number {
    const { cpuMillis, memoryMib, accelerators } = worker.view.capacity;
    return Math.max(1, countFits(unit, { cpu: cpuMillis, memory: memoryMib, accelerators }));
}
