/**
 * Starts service requests: fair between branches by weight, then between callers. Estimates waits, by which
 * requests that cannot be served in time are shed at once.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import { Adoption, type BranchSettings } from "../../version/settings.js";
import type { SlotListener } from "./allocation-ledger.js";
import type { Flow } from "./flow.js";
import type { ItemRecord } from "./item-record.js";
import type { Decision } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { Scheduler, SchedulerContext } from "./scheduler.js";
import { SlotQueue } from "./slot-queue.js";
import type { WorkerRecord } from "./worker-record.js";

const MIN_WEIGHT = 0.001;
/** Share of the mean run time that must be left before the deadline for a start to be useful. */
const MIN_USEFUL_RUN_SHARE = 0.5;

/** Schedules service requests that wait for a slot. */
export class SlotScheduler implements Scheduler, SlotListener {
    private readonly queues = new Map<string, SlotQueue>();
    /** Start tag of the branch served last. */
    private virtualTime = 0;
    private totalSlots = 0;
    private readonly countedSlots = new Map<string, number>();

    constructor(private readonly context: SchedulerContext) {
        context.ledger.subscribeSlots(this);
    }

    enqueue(record: ItemRecord, policy: Policy): void {
        if (record.branch === undefined) {
            return;
        }
        const queue = this.getQueue(record.branch, policy);
        const flow = queue.getFlow(
            policy.getFlowKey(record.item),
            this.context.ledger.teams.get(record.item.team),
        );
        if (queue.size === 0) {
            queue.startTag = Math.max(this.virtualTime, queue.finishTag);
        }
        this.context.waiting.push(flow, record);
        queue.size += 1;
        if (flow.length === 1) {
            queue.openFlow(flow);
        }
    }

    remove(record: ItemRecord): void {
        const { flow } = record;
        const queue = flow?.queue;
        if (flow === undefined || !(queue instanceof SlotQueue)) {
            return;
        }
        this.context.waiting.remove(flow, record);
        queue.size -= 1;
        if (flow.length === 0) {
            queue.closeFlow(flow);
        }
    }

    decide(now: Millis, random: Random, decisions: Decision[], maxDecisions: number): void {
        const full = new Set<SlotQueue>();
        while (decisions.length < maxDecisions) {
            const queue = this.pickQueue(full);
            const flow = queue?.peek();
            const record = flow?.head;
            if (queue === undefined || flow === undefined || record === undefined) {
                return;
            }
            const { ledger } = this.context;
            const worker = queue.pool.choose(record.item, queue.policy, ledger, random);
            if (worker === undefined) {
                full.add(queue);
                continue;
            }
            this.start(queue, flow, record, worker, now, decisions);
        }
    }

    /**
     * Estimates how long the newest request of a caller will wait for a slot.
     * @param ahead - Number of requests of the same caller before it.
     * @returns Milliseconds; 0 while slots are free.
     */
    estimateWait(branch: BranchSettings, ahead: number, now: Millis): Millis {
        const queue = this.queues.get(branch.path);
        if (queue === undefined || queue.size === 0) {
            return 0;
        }
        // Fair service between callers: every other flow gets at most as many starts as this one.
        const before = Math.min(queue.size, (ahead + 1) * queue.activeFlows);
        // Waiting requests take the free slots at the next decisions; the rate is meaningless before a run
        // time is known.
        if (queue.pool.hasFree(before)) {
            return 0;
        }
        const rate = Math.max(queue.getStartRate(now), this.computeFairRate(queue));
        return rate > 0 ? before / rate : branch.maxWaitMs;
    }

    /** @returns Number of waiting requests of the same caller. */
    countAhead(record: ItemRecord, policy: Policy): number {
        return this.queues.get(record.item.branch)?.flows.get(policy.getFlowKey(record.item))?.length ?? 0;
    }

    /** @returns Latest instant at which starting the request is still useful. */
    computeLastStart(record: ItemRecord): Millis {
        const { item, branch } = record;
        const byWait = item.queuedAt + (branch?.maxWaitMs ?? 0);
        if (item.deadline === undefined) {
            return byWait;
        }
        const run = this.context.estimator.getMeanRun(item.branch) ?? 0;
        return Math.min(byWait, item.deadline - MIN_USEFUL_RUN_SHARE * run);
    }

    /** Removes the queue of a branch whose settings changed; the queue must be empty. */
    removeQueue(branch: string): void {
        this.queues.delete(branch);
    }

    explain(record: ItemRecord, now: Millis): readonly string[] {
        const { branch, flow } = record;
        if (branch === undefined || flow === undefined) {
            return [];
        }
        const wait = Math.round(this.estimateWait(branch, flow.length - 1, now));
        return [
            `all slots that ${branch.path} may use at this placer are taken`,
            `${flow.length} requests of its caller wait; a new one would wait about ${wait} ms`,
        ];
    }

    handleSlots(worker: WorkerRecord): void {
        const slots = worker.open ? worker.getSlotCeiling() : 0;
        this.totalSlots += slots - (this.countedSlots.get(worker.id) ?? 0);
        if (slots === 0) {
            this.countedSlots.delete(worker.id);
        }
        else {
            this.countedSlots.set(worker.id, slots);
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
            for (const worker of this.context.ledger.workers.values()) {
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
        flow: Flow,
        record: ItemRecord,
        worker: WorkerRecord,
        now: Millis,
        decisions: Decision[],
    ): void {
        const run = Math.max(
            1,
            this.context.estimator.getMeanRun(queue.branch.path) ?? record.item.estimateMs,
        );
        queue.virtualTime = Math.max(queue.virtualTime, flow.startTag);
        flow.finishTag = flow.startTag + run;
        flow.startTag = flow.finishTag;
        this.remove(record);
        queue.refresh(flow);
        const { item } = record;
        const reason =
            `${queue.branch.policy}: ${worker.inFlight} of ${worker.getSlotCeiling()} slots in use`;
        if (queue.branch.adoption === Adoption.shadow) {
            this.context.ledger.records.delete(item.id);
            decisions.push({ kind: "shadow", item, workerId: worker.id, reason });
            return;
        }
        this.recordCharge(queue, run);
        queue.recordStart(now);
        record.reason = reason;
        this.context.ledger.place(record, worker, "running", now);
        decisions.push({ kind: "start", item, workerId: worker.id, reason, runnersUp: [] });
    }

    /**
     * Charges the branch for the mean run time. Tags are not corrected by the actual time of each run: runs
     * of seconds would move them back and forth by hundreds of short requests, which then have to wait.
     */
    private recordCharge(queue: SlotQueue, run: Millis): void {
        const charge = run / Math.max(queue.branch.weight, MIN_WEIGHT);
        this.virtualTime = Math.max(this.virtualTime, queue.startTag);
        queue.finishTag = queue.startTag + charge;
        queue.startTag = queue.finishTag;
    }

    /** @returns Starts per millisecond of a branch if all branches with waiting requests use their shares. */
    private computeFairRate(queue: SlotQueue): number {
        const run = this.context.estimator.getMeanRun(queue.branch.path) ?? queue.branch.defaultEstimateMs;
        let weights = 0;
        for (const other of this.queues.values()) {
            weights += other.size > 0 ? other.branch.weight : 0;
        }
        const share = weights > 0 ? queue.branch.weight / weights : 1;
        return share * this.totalSlots / Math.max(1, run);
    }
}
