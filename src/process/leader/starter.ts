/**
 * Executes planned starts: reserves capacity, makes the assignment durable, orders the run, and handles the
 * answer.
 */
import type { Millis } from "../../common/clock.js";
import { computeMax } from "../../common/lists.js";
import type { StepPermits } from "../dispatch/permits.js";
import type { PlannedStart } from "../dispatch/plan.js";
import { buildRunRecord, RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import type { Step } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import { OrderRefusal } from "../ports/task-worker-port.js";
import type { WorkerAnswer } from "../ports/task-worker-port.js";
import type { LeaderContext } from "./context.js";
import type { Fleet } from "./fleet.js";
import { OrderRefusals } from "./order-refusals.js";
import type { RunEndHandler } from "./run-end-handler.js";
import { recordRunStart } from "./started-runs.js";

/**
 * Validity of an order on the worker's clock. It is short so that the first report after it settles an order
 * without an answer. The worker's lease is longer and independent of it.
 */
const ORDER_VALIDITY_MS: Millis = 1_000;
/**
 * Time in which reports settle an order without an answer: its validity plus the longest wait of a report.
 */
const SETTLE_MS: Millis = ORDER_VALIDITY_MS + 1_000;
/** Pause of a worker that reports itself unhealthy, refuses for lack of capacity, or can't be reached. */
const UNHEALTHY_PAUSE_MS: Millis = 1_000;

/** Executes the starts of each planning pass. */
export class Starter {
    /** The workers that planning must leave out for a step after refusals. */
    readonly refusals = new OrderRefusals();

    /**
     * @param ends - Handles the runs that never began.
     * @param getPermits - Returns the permits of a step.
     */
    constructor(
        private readonly context: LeaderContext,
        private readonly fleet: Fleet,
        private readonly ends: RunEndHandler,
        private readonly getPermits: (step: Step) => StepPermits,
    ) {}

    /** Assigns the planned tasks. All members of a gang get the same run number. */
    startAll(starts: readonly PlannedStart[]): void {
        const gangRuns = new Map<Step, number>();
        for (const start of starts) {
            const { step, task } = start;
            let run = task.run + 1;
            if (step.spec.isGang) {
                run = gangRuns.get(step) ?? chooseGangRun(step);
                gangRuns.set(step, run);
                this.ends.observeGangStart(step, run);
            }
            this.assign(start, run);
        }
    }

    private assign(start: PlannedStart, run: number): void {
        const { step, task, worker, hasEarlyLoss } = start;
        const record = buildRunRecord({
            task: task.name,
            run,
            step: step.name,
            queue: step.job.queue,
            account: step.job.account,
            demand: step.spec.demand,
            phase: RunPhase.reserved,
            settledAfter: Infinity,
            preemptibleBelow: this.context.findPreemptibleBelow(step),
            isOpenEnded: step.spec.isLongRunning,
            isExclusive: isSuspect(task),
            hasEarlyLoss,
            expectedMs: this.context.predictRunMs(step),
            checkpoint: task.checkpoint,
            orderedAt: this.context.clock.now(),
        });
        worker.addRun(record);
        if (start.isShared) {
            this.ends.crashes.observeSharedStart({ task: task.name, record: worker.record });
        }
        const { jobs, epoch } = this.context;
        const { workerId, address } = worker.record;
        const isAddressKept = jobs.adoptions.get(workerId)?.address === address;
        const event = { type: "assigned", task: task.name, run, workerId, epoch } as const;
        this.context.record(
            isAddressKept ? event : { ...event, address },
            () => void this.order(start, record),
        );
    }

    /** Sends the order once the assignment is durable. */
    private async order(start: PlannedStart, record: RunRecord): Promise<void> {
        const { worker, step, permit } = start;
        const { context } = this;
        if (worker.getRun(record.task, record.run) !== record) {
            return;
        }
        const session = this.fleet.findSession(worker.id);
        const workerNow = session?.estimateWorkerNow();
        const payload = step.job.spec?.payload;
        const isWanted = record.phase === RunPhase.reserved && payload !== undefined &&
            context.authority.mayOrder();
        // The order would extend the lease of a worker that was released in the meantime.
        const isReachable = session?.isClosed() === false && workerNow !== undefined && !worker.isReleased;
        if (!isReachable || !isWanted) {
            this.settleNotRun(start, record, "no longer wanted");
            return;
        }
        if (worker.isOvercommitted()) {
            this.settleNotRun(start, record, "the worker's capacity has shrunk");
            return;
        }
        record.phase = RunPhase.ordered;
        record.settledAfter = Math.floor(workerNow + ORDER_VALIDITY_MS);
        record.orderedAt = context.clock.now();
        const { task, run, checkpoint } = record;
        const answer = await session.start({
            task,
            run,
            payload,
            workerDeadline: record.settledAfter,
            checkpoint,
            permit,
        });
        this.logOrder(start, record, answer);
        this.settle(start, record, answer);
    }

    private logOrder(start: PlannedStart, record: RunRecord, answer: WorkerAnswer<Millis>): void {
        const { clock, log, metrics, epoch } = this.context;
        const tookMs = Math.round(clock.now() - record.orderedAt);
        const { job } = start.step;
        metrics.count("runs.ordered", 1, { answer: answer.kind });
        log.info("runOrdered", {
            task: record.task,
            run: record.run,
            workerId: start.worker.id,
            epoch,
            answer: answer.kind === "refused" ? answer.reason : answer.kind,
            tookMs,
            jobAgeMs: clock.wallNow() - job.acceptedAt,
            freeCpu: start.worker.free.cpuMillis,
        });
    }

    private settle(start: PlannedStart, record: RunRecord, answer: WorkerAnswer<Millis>): void {
        const { worker, step } = start;
        if (worker.getRun(record.task, record.run) !== record) {
            return;
        }
        switch (answer.kind) {
            case "done":
                this.confirm(step, record, answer.value);
                return;
            case "refused":
                this.handleRefusal(start, answer.reason);
                this.settleNotRun(start, record, answer.reason);
                return;
            case "notSent":
                worker.avoidedUntil = this.context.clock.now() + UNHEALTHY_PAUSE_MS;
                this.settleNotRun(start, record, "not sent");
                return;
            case "unknown":
                // Reports settle it: see `settledAfter`. Until then capacity and task stay reserved, so the
                // pause for the step starts at that time; a pause that ended earlier would send the next
                // order to the same worker.
                worker.avoidedUntil = this.context.clock.now() + UNHEALTHY_PAUSE_MS;
                this.context.history.observeRefusal(step, { workerId: worker.id, reason: "unanswered" });
                this.refusals.observe(step, worker.id, this.context.clock.now() + SETTLE_MS);
                this.context.log.warn("CR1616", "orderUnanswered", {
                    task: record.task,
                    run: record.run,
                    step: step.name,
                    workerId: worker.id,
                });
                return;
            case "replaced":
                return;
        }
    }

    private confirm(step: Step, record: RunRecord, workerNow: Millis): void {
        record.wasReported = true;
        this.ends.crashes.observeStart(record);
        recordRunStart(this.context, step);
        if (record.phase === RunPhase.ordered) {
            record.phase = RunPhase.running;
            record.settledAfter = workerNow;
        }
    }

    private handleRefusal(start: PlannedStart, reason: OrderRefusal): void {
        const { worker, step } = start;
        this.refusals.observe(step, worker.id, this.context.clock.now());
        if (reason === OrderRefusal.noPermit) {
            this.getPermits(step).drop(worker.id);
        }
        if (reason === OrderRefusal.unhealthy || reason === OrderRefusal.noRoom) {
            worker.avoidedUntil = this.context.clock.now() + UNHEALTHY_PAUSE_MS;
        }
    }

    private settleNotRun({ worker, step }: PlannedStart, record: RunRecord, reason: string): void {
        if (worker.removeRun(record.task, record.run) === undefined) {
            return;
        }
        const { task, run, checkpoint } = record;
        this.context.history.observeRefusal(step, { workerId: worker.id, reason });
        this.context.log.info("runNotStarted", { task, run, workerId: worker.id, reason });
        this.ends.recordEnd({ state: worker, task, run, end: RunEnd.notRun, checkpoint });
    }
}

/** Returns the next run for a whole gang, and the current run for missing members that join the others. */
function chooseGangRun(step: Step): number {
    return step.repairRun ?? computeMax(Array.from(step.tasks.listTouched(), member => member.run), 0) + 1;
}
