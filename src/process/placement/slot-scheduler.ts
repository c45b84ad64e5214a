/**
 * Starts service requests: fair between branches by weight, then between callers; sheds at once what cannot
 * be served in time.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { Adoption, type BranchSettings } from "../../version/settings.js";
import type { SlotListener } from "./books.js";
import type { ItemRecord } from "./item-record.js";
import type { Line } from "./line.js";
import type { Decision } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { Scheduler, SchedulerContext } from "./scheduler.js";
import { SlotQueue } from "./slot-queue.js";
import type { WorkerRecord } from "./worker-record.js";

const MIN_WEIGHT = 0.001;
/** Share of a usual run that must be left before the deadline for a start to be worthwhile. */
const USEFUL_SHARE = 0.5;

/** Service requests that wait for a slot. */
export class SlotScheduler implements Scheduler, SlotListener {
    private readonly queues = new Map<string, SlotQueue>();
    /** Start tag of the last branch served. */
    private virtualTime = 0;
    private totalSlots = 0;
    private readonly slotsCounted = new Map<string, number>();

    constructor(private readonly context: SchedulerContext) {
        context.books.subscribeSlots(this);
    }

    enqueue(record: ItemRecord, policy: Policy): void {
        if (record.branch === undefined) {
            return;
        }
        const queue = this.getQueue(record.branch, policy);
        const line = queue.getLine(
            policy.getLineKey(record.item),
            this.context.books.teams.get(record.item.team),
        );
        if (queue.size === 0) {
            queue.startTag = Math.max(this.virtualTime, queue.finishTag);
        }
        this.context.waiting.push(line, record);
        queue.size += 1;
        if (line.length === 1) {
            queue.openLine(line);
        }
    }

    remove(record: ItemRecord): void {
        const { line } = record;
        const queue = line?.queue;
        if (line === undefined || !(queue instanceof SlotQueue)) {
            return;
        }
        this.context.waiting.remove(line, record);
        queue.size -= 1;
        if (line.length === 0) {
            queue.closeLine(line);
        }
    }

    decide(now: Millis, random: Random, decisions: Decision[], most: number): void {
        const full = new Set<SlotQueue>();
        while (decisions.length < most) {
            const queue = this.pickQueue(full);
            const line = queue?.peek();
            const record = line?.head;
            if (queue === undefined || line === undefined || record === undefined) {
                return;
            }
            const { books } = this.context;
            const worker = queue.pool.choose(record.item, queue.policy, books, random);
            if (worker === undefined) {
                full.add(queue);
                continue;
            }
            this.start(queue, line, record, worker, now, decisions);
        }
    }

    /**
     * Estimates how long the newest request of a caller waits for a slot.
     * @param ahead - Requests of the same caller before it.
     * @returns Milliseconds; 0 while slots are free.
     */
    estimateWait(branch: BranchSettings, ahead: number, now: Millis): Millis {
        const queue = this.queues.get(branch.path);
        if (queue === undefined || queue.size === 0) {
            return 0;
        }
        // Fair service between callers: every other line gets at most as many starts as this one.
        const before = Math.min(queue.size, (ahead + 1) * queue.activeLines);
        // What waits takes the free slots at the next decisions; before a run time is learnt the rate says nothing.
        if (queue.pool.hasFree(before)) {
            return 0;
        }
        const rate = Math.max(queue.getStartRate(now), this.computeFairRate(queue));
        return rate > 0 ? before / rate : branch.maxWaitMs;
    }

    /** @returns Requests of the same caller that wait. */
    countAhead(record: ItemRecord, policy: Policy): number {
        return this.queues.get(record.item.branch)?.lines.get(policy.getLineKey(record.item))?.length ?? 0;
    }

    /** @returns Latest instant at which a start is worthwhile. */
    computeLastStart(record: ItemRecord): Millis {
        const { item, branch } = record;
        const byWait = item.queuedAt + (branch?.maxWaitMs ?? 0);
        if (item.deadline === undefined) {
            return byWait;
        }
        const run = this.context.learning.getMeanRun(item.branch) ?? 0;
        return Math.min(byWait, item.deadline - USEFUL_SHARE * run);
    }

    /** Drops the queue of a branch whose settings changed; it must be empty. */
    removeQueue(branch: string): void {
        this.queues.delete(branch);
    }

    explain(record: ItemRecord, now: Millis): readonly string[] {
        const { branch, line } = record;
        if (branch === undefined || line === undefined) {
            return [];
        }
        const wait = Math.round(this.estimateWait(branch, line.length - 1, now));
        return [
            `all slots that ${branch.path} may use at this placer are taken`,
            `${line.length} requests of its caller wait; a new one would wait about ${wait} ms`,
        ];
    }

    handleSlots(worker: WorkerRecord): void {
        const slots = worker.open ? worker.getSlotCeiling() : 0;
        this.totalSlots += slots - (this.slotsCounted.get(worker.id) ?? 0);
        if (slots === 0) {
            this.slotsCounted.delete(worker.id);
        }
        else {
            this.slotsCounted.set(worker.id, slots);
        }
        for (const queue of this.queues.values()) {
            queue.pool.update(worker);
        }
    }

    private getQueue(branch: BranchSettings, policy: Policy): SlotQueue {
        let queue = this.queues.get(branch.path);
        if (queue === undefined) {
            queue = new SlotQueue(branch, policy);
            this.queues.set(branch.path, queue);
            for (const worker of this.context.books.workers.values()) {
                queue.pool.update(worker);
            }
        }
        return queue;
    }

    private pickQueue(full: ReadonlySet<SlotQueue>): SlotQueue | undefined {
        let best: SlotQueue | undefined;
        for (const queue of this.queues.values()) {
            if (
                queue.size > 0 && !full.has(queue) && (best === undefined || queue.startTag < best.startTag)
            ) {
                best = queue;
            }
        }
        return best;
    }

    private start(
        queue: SlotQueue,
        line: Line,
        record: ItemRecord,
        worker: WorkerRecord,
        now: Millis,
        decisions: Decision[],
    ): void {
        const run = Math.max(
            1,
            this.context.learning.getMeanRun(queue.branch.path) ?? record.item.estimateMs,
        );
        queue.virtualTime = Math.max(queue.virtualTime, line.startTag);
        line.finishTag = line.startTag + run;
        line.startTag = line.finishTag;
        this.remove(record);
        queue.refresh(line);
        const { item } = record;
        const reason =
            `${queue.branch.policy}: ${worker.inFlight} of ${worker.getSlotCeiling()} slots in use`;
        if (queue.branch.adoption === Adoption.shadow) {
            this.context.books.records.delete(item.id);
            decisions.push({ kind: "shadow", item, workerId: worker.id, reason });
            return;
        }
        this.recordCharge(queue, run);
        queue.recordStart(now);
        record.reason = reason;
        this.context.books.place(record, worker, "running", now);
        decisions.push({ kind: "start", item, workerId: worker.id, reason, runnersUp: [] });
    }

    /**
     * Charges the branch the mean run time. A correction by the true time of each run was tried and left out:
     * runs of seconds moved the tags back and forth by hundreds of short requests, which then waited.
     */
    private recordCharge(queue: SlotQueue, run: Millis): void {
        const charge = run / Math.max(queue.branch.weight, MIN_WEIGHT);
        this.virtualTime = Math.max(this.virtualTime, queue.startTag);
        queue.finishTag = queue.startTag + charge;
        queue.startTag = queue.finishTag;
    }

    /** @returns Starts a millisecond that the branch gets if all others that wait take their shares. */
    private computeFairRate(queue: SlotQueue): number {
        const run = this.context.learning.getMeanRun(queue.branch.path) ?? queue.branch.defaultEstimateMs;
        let weights = 0;
        for (const other of this.queues.values()) {
            weights += other.size > 0 ? other.branch.weight : 0;
        }
        const share = weights > 0 ? queue.branch.weight / weights : 1;
        return share * this.totalSlots / Math.max(1, run);
    }
}
