/** Takes work into the queues, refuses it, or gives it up: every refusal at once and with when to come back. */
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import type { Books } from "./books.js";
import { ExpiryQueue } from "./expiry-queue.js";
import type { ItemRecord } from "./item-record.js";
import { type Decision, type EnqueueResult, ShedReason } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { RoomScheduler } from "./room-scheduler.js";
import type { SlotScheduler } from "./slot-scheduler.js";
import type { WaitingBook } from "./waiting-book.js";

/** Bounds of the time after which shed work may come back. */
const MIN_RETRY_MS = 100;
export const MAX_RETRY_MS = 30_000;
/** Requests shed in one sweep at most. */
const MAX_SWEPT = 64;

/** The bounds of the queues and the deadlines of what waits. */
export class Admission {
    private readonly lastStarts = new ExpiryQueue();
    private sheds: Decision[] = [];

    constructor(
        private readonly books: Books,
        private readonly waiting: WaitingBook,
        private readonly slots: SlotScheduler,
        private readonly room: RoomScheduler,
    ) {}

    /** @returns Instant at which the next request must be given up; undefined for never. */
    getNextExpiry(): Millis | undefined {
        return this.lastStarts.peekAt();
    }

    /** @returns Whether sheds wait to be taken. */
    hasSheds(): boolean {
        return this.sheds.length > 0;
    }

    /** @returns Items given up since the last call. */
    takeSheds(): Decision[] {
        const sheds = this.sheds;
        this.sheds = [];
        return sheds;
    }

    /** Takes a service request in, unless it surely cannot be served in time. */
    enqueueRequest(
        record: ItemRecord,
        branch: BranchSettings,
        policy: Policy,
        now: Millis,
    ): EnqueueResult {
        const ahead = this.slots.countAhead(record, policy);
        const lastStart = this.slots.computeLastStart(record);
        const wait = this.slots.estimateWait(branch, ahead, now);
        if (now + wait > lastStart) {
            const retryAfterMs = computeRetry(now + wait - lastStart);
            return { kind: "shed", reason: ShedReason.deadline, retryAfterMs };
        }
        const refusal = this.makeRoomInQueue(branch, ahead, now);
        if (refusal !== undefined) {
            return refusal;
        }
        this.books.records.set(record.item.id, record);
        this.slots.enqueue(record, policy);
        this.lastStarts.add(record, lastStart);
        return { kind: "queued" };
    }

    /** Takes a task in, unless no worker could ever hold it. */
    enqueueTask(
        record: ItemRecord,
        branch: BranchSettings,
        policy: Policy,
        now: Millis,
    ): EnqueueResult {
        if (!this.books.canEverHold(record.item.resources)) {
            return { kind: "neverFits", largest: this.books.getLargestCapacity() };
        }
        const refusal = this.makeRoomInQueue(branch, 0, now);
        if (refusal !== undefined) {
            return refusal;
        }
        this.books.records.set(record.item.id, record);
        if (record.item.gangId === undefined) {
            this.room.enqueue(record, policy);
        }
        return { kind: "queued" };
    }

    /** In a full queue the newest item of the longest line gives way to one of a clearly shorter line. */
    private makeRoomInQueue(branch: BranchSettings, ahead: number, now: Millis): EnqueueResult | undefined {
        const waiting = this.waiting.get(branch.path);
        if (waiting.size < branch.queueLimit) {
            return undefined;
        }
        const longest = waiting.lengths.peekLongest();
        const last = longest?.peekLast();
        const retryAfterMs = computeRetry(this.slots.estimateWait(branch, ahead, now));
        if (
            longest === undefined || last === undefined || longest.length <= ahead + 1 ||
            last.item.kind !== "service"
        ) {
            return { kind: "shed", reason: ShedReason.queueFull, retryAfterMs };
        }
        this.shed(last, ShedReason.queueFull, now);
        return undefined;
    }

    /** Gives a waiting item up; the decision is taken with the next ones. */
    shed(record: ItemRecord, reason: ShedReason, now: Millis): void {
        const ahead = record.line?.length ?? 0;
        const wait = record.branch === undefined ? 0 : this.slots.estimateWait(record.branch, ahead, now);
        this.drop(record);
        this.sheds.push({ kind: "shed", item: record.item, reason, retryAfterMs: computeRetry(wait) });
    }

    /** Notes a refusal to be taken with the next decisions. */
    report(shed: Decision): void {
        this.sheds.push(shed);
    }

    /** Takes a waiting item out, without a word. */
    drop(record: ItemRecord): void {
        this.books.records.delete(record.item.id);
        this.slots.remove(record);
        this.room.remove(record);
        this.lastStarts.remove(record);
    }

    /** Sheds requests that can no longer be served in time. */
    expire(now: Millis): void {
        for (
            let record = this.lastStarts.takeDue(now);
            record !== undefined;
            record = this.lastStarts.takeDue(now)
        ) {
            if (record.line !== undefined) {
                this.shed(record, ShedReason.deadline, now);
            }
        }
    }

    /**
     * Sheds the newest of the longest lines where capacity fell after they were taken in: they would be held
     * until near their deadlines and then refused.
     */
    sweep(branches: Iterable<BranchSettings>, now: Millis): void {
        let left = MAX_SWEPT;
        for (const branch of branches) {
            const { lengths } = this.waiting.get(branch.path);
            while (left > 0) {
                const line = branch.kind === "service" ? lengths.peekLongest() : undefined;
                const last = line?.peekLast();
                if (line === undefined || last === undefined) {
                    break;
                }
                const wait = this.slots.estimateWait(branch, line.length - 1, now);
                if (now + wait <= this.slots.computeLastStart(last)) {
                    break;
                }
                left -= 1;
                this.shed(last, ShedReason.deadline, now);
            }
        }
    }
}

function computeRetry(wait: Millis): Millis {
    return Math.ceil(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, wait)));
}
