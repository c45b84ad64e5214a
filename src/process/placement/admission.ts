/** Admits work to the queues or sheds it; every refusal is immediate and says when to retry. */
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import type { AllocationLedger } from "./allocation-ledger.js";
import { ExpiryQueue } from "./expiry-queue.js";
import type { ItemRecord } from "./item-record.js";
import { type Decision, type EnqueueResult, ShedReason } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { SlotScheduler } from "./slot-scheduler.js";
import type { TaskScheduler } from "./task-scheduler.js";
import type { WaitingTracker } from "./waiting-tracker.js";

/** Bounds of the delay after which shed work may be submitted again. */
const MIN_RETRY_MS = 100;
export const MAX_RETRY_MS = 30_000;
/** Maximum number of requests shed in one sweep. */
const MAX_SWEPT = 64;

/** Enforces the queue limits and the deadlines of waiting requests. */
export class Admission {
    private readonly latestStarts = new ExpiryQueue();
    private sheds: Decision[] = [];

    constructor(
        private readonly ledger: AllocationLedger,
        private readonly waiting: WaitingTracker,
        private readonly slots: SlotScheduler,
        private readonly tasks: TaskScheduler,
    ) {}

    /** @returns Instant at which the next request must be shed; undefined if no request waits. */
    getNextExpiry(): Millis | undefined {
        return this.latestStarts.peekAt();
    }

    /** @returns Whether shed decisions are pending. */
    hasSheds(): boolean {
        return this.sheds.length > 0;
    }

    /** Removes and returns the pending shed decisions. */
    takeSheds(): Decision[] {
        const sheds = this.sheds;
        this.sheds = [];
        return sheds;
    }

    /** Admits a service request, unless the estimated wait is too long or the queue is full. */
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
            const retryAfterMs = computeRetryDelay(now + wait - lastStart);
            return { kind: "shed", reason: ShedReason.deadline, retryAfterMs };
        }
        const refusal = this.ensureQueueSpace(branch, ahead, now);
        if (refusal !== undefined) {
            return refusal;
        }
        this.ledger.records.set(record.item.id, record);
        this.slots.enqueue(record, policy);
        this.latestStarts.add(record, lastStart);
        return { kind: "queued" };
    }

    /** Admits a task, unless it exceeds the capacity of every worker or the queue is full. */
    enqueueTask(
        record: ItemRecord,
        branch: BranchSettings,
        policy: Policy,
        now: Millis,
    ): EnqueueResult {
        if (!this.ledger.canEverHold(record.item.resources)) {
            return { kind: "neverFits", largest: this.ledger.getLargestCapacity() };
        }
        const refusal = this.ensureQueueSpace(branch, 0, now);
        if (refusal !== undefined) {
            return refusal;
        }
        this.ledger.records.set(record.item.id, record);
        if (record.item.gangId === undefined) {
            this.tasks.enqueue(record, policy);
        }
        return { kind: "queued" };
    }

    /**
     * Returns a refusal if the queue is full. If the new item's flow is clearly shorter than the longest one,
     * the newest request of the longest flow is shed in its place.
     */
    private ensureQueueSpace(branch: BranchSettings, ahead: number, now: Millis): EnqueueResult | undefined {
        const waiting = this.waiting.get(branch.path);
        if (waiting.size < branch.queueLimit) {
            return undefined;
        }
        const longest = waiting.flowLengths.peekLongest();
        const last = longest?.peekLast();
        const retryAfterMs = computeRetryDelay(this.slots.estimateWait(branch, ahead, now));
        if (
            longest === undefined || last === undefined || longest.length <= ahead + 1 ||
            last.item.kind !== "service"
        ) {
            return { kind: "shed", reason: ShedReason.queueFull, retryAfterMs };
        }
        this.shed(last, ShedReason.queueFull, now);
        return undefined;
    }

    /** Sheds a waiting item; the decision is returned with the next ones. */
    shed(record: ItemRecord, reason: ShedReason, now: Millis): void {
        const ahead = record.flow?.length ?? 0;
        const wait = record.branch === undefined ? 0 : this.slots.estimateWait(record.branch, ahead, now);
        this.drop(record);
        this.sheds.push({ kind: "shed", item: record.item, reason, retryAfterMs: computeRetryDelay(wait) });
    }

    /** Adds a shed decision, to be returned with the next ones. */
    addShed(shed: Decision): void {
        this.sheds.push(shed);
    }

    /** Removes a waiting item without a decision. */
    drop(record: ItemRecord): void {
        this.ledger.records.delete(record.item.id);
        this.slots.remove(record);
        this.tasks.remove(record);
        this.latestStarts.remove(record);
    }

    /** Sheds requests whose latest useful start has passed. */
    expire(now: Millis): void {
        for (
            let record = this.latestStarts.takeDue(now);
            record !== undefined;
            record = this.latestStarts.takeDue(now)
        ) {
            if (record.flow !== undefined) {
                this.shed(record, ShedReason.deadline, now);
            }
        }
    }

    /**
     * Sheds the newest requests of the longest flows that can no longer be served in time, because capacity
     * fell after they were admitted. Otherwise they would be refused only near their deadlines.
     */
    sweep(branches: Iterable<BranchSettings>, now: Millis): void {
        let budget = MAX_SWEPT;
        for (const branch of branches) {
            const { flowLengths } = this.waiting.get(branch.path);
            while (budget > 0) {
                const flow = branch.kind === "service" ? flowLengths.peekLongest() : undefined;
                const last = flow?.peekLast();
                if (flow === undefined || last === undefined) {
                    break;
                }
                const wait = this.slots.estimateWait(branch, flow.length - 1, now);
                if (now + wait <= this.slots.computeLastStart(last)) {
                    break;
                }
                budget -= 1;
                this.shed(last, ShedReason.deadline, now);
            }
        }
    }
}

function computeRetryDelay(wait: Millis): Millis {
    return Math.ceil(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, wait)));
}
