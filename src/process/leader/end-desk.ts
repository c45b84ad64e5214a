/** What the end of a run means: for its task, its gang, its job, and for the worker that ran it. */
import type { Millis } from "../../common/clock.js";
import type { RunTimeModel } from "../dispatch/run-time-model.js";
import { estimateObjectiveMs } from "../dispatch/urgency.js";
import type { WorkerState } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import { isEffectiveEnd, isJobDone } from "../jobs/job-registry.js";
import type { FoundTask } from "../jobs/job-registry.js";
import type { Job, Step, Task } from "../jobs/job.js";
import { listSteps, TaskState } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";
import { CrashDesk } from "./crash-desk.js";
import type { LostRun } from "./crash-desk.js";
import { GangStarts } from "./gang-starts.js";
import { WorkerHealth } from "./worker-health.js";

/** A run that ended. */
export interface EndedRunNotice {
    /** Undefined where the worker never appeared. */
    readonly state: WorkerState | undefined;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
    /** Time since it was ordered; left out where this leader did not order it. */
    readonly ranMs?: Millis;
    /** Set where it was lost. */
    readonly lost?: LostRun;
}

/** Told of runs that have to end. */
export interface RunStopper {
    stopTask(workerId: string, task: string, run: number): void;
    /** Gives back the room of a run that was never ordered. */
    releaseTask(workerId: string, task: string, run: number): void;
}

/** The desk; see the module comment. */
export class EndDesk {
    private readonly health: WorkerHealth;
    private readonly gangs: GangStarts;
    /** Knows which tasks may crash their workers. */
    readonly crashes: CrashDesk;
    private stopper: RunStopper | undefined;
    /** Runs of each task that this leader took for lost. */
    private readonly lostRuns = new WeakMap<Task, number>();

    /**
     * @param context - Shared parts.
     * @param runTimes - Learns from runs that end as done.
     */
    constructor(private readonly context: LeaderContext, private readonly runTimes: RunTimeModel) {
        this.health = new WorkerHealth(context);
        this.gangs = new GangStarts(context, step => this.stopStep(step));
        this.crashes = new CrashDesk(context, steps => this.closeStepsIfOver(steps));
    }

    /** Sets who stops runs. */
    install(stopper: RunStopper): void {
        this.stopper = stopper;
    }

    /** Takes in that members of a gang are being started. */
    observeGangStart(step: Step, run: number): void {
        this.gangs.observeStart(step, run);
    }

    /** Gives up on gangs that wait for missing members. Call it several times a second. */
    sweep(): void {
        this.gangs.sweep();
    }

    /** Takes in an end. Ends of runs that no task is waiting for change nothing. */
    recordEnd(notice: EndedRunNotice): void {
        const { context } = this;
        const found = context.book.findTask(notice.task);
        const isCurrent = found !== undefined && isEffectiveEnd(found, notice.run, notice.end);
        this.reportEnd(notice, found, isCurrent);
        if (!isCurrent) {
            return;
        }
        const { step } = found;
        if (notice.end !== RunEnd.notRun) {
            context.history.observeEnd(step, context.clock.now());
        }
        if (notice.state !== undefined) {
            const { end, ranMs } = notice;
            const orderedAt = ranMs === undefined ? undefined : context.clock.now() - ranMs;
            this.health.observeEnd(notice.state, { job: step.job, end, orderedAt });
        }
        if (notice.end === RunEnd.done && notice.ranMs !== undefined && found.task.checkpoint === "") {
            this.observeRunTime(step, notice.ranMs, notice.state);
        }
        const { task, run, end, checkpoint, lost } = notice;
        const loss = lost && this.crashes.resolveLoss(found.task, lost);
        context.record({ type: "ended", task, run, end, checkpoint, ...loss });
        if (step.spec.isGang) {
            this.gangs.handleEnd(step, run, end);
        }
        this.closeIfOver(step.job, [step]);
        context.requestPass();
    }

    /**
     * Closes the jobs that are over. Call it when a leader takes over.
     *
     * @remarks Failure guarded against: a job's last end is durable, and the leader is lost before the close that follows
     * from it. No end of the job comes any more, so it would never be closed, or be given an attempt too many.
     */
    closeAllOver(): void {
        for (const job of [...this.context.book.listOpen()]) {
            this.closeIfOver(job, listSteps(job));
        }
    }

    private reportEnd(notice: EndedRunNotice, found: FoundTask | undefined, isCurrent: boolean): void {
        const { log, metrics } = this.context;
        const { task, run, end, ranMs, lost } = notice;
        const workerId = notice.state?.id ?? found?.task.workerId;
        if (lost === undefined) {
            log.info("runEnded", { task, run, end, workerId, isCurrent });
            metrics.count("runs.ended", 1, { end });
            return;
        }
        const { cause } = lost;
        const lostRuns = found && this.countLoss(found.task, isCurrent);
        const roundedMs = ranMs === undefined ? undefined : Math.round(ranMs);
        log.info("runEnded", { task, run, end, workerId, isCurrent, cause, ranMs: roundedMs, lostRuns });
        metrics.count("runs.ended", 1, { end, cause });
    }

    /** Counts a task's lost runs, this one with them. */
    private countLoss(task: Task, isCurrent: boolean): number {
        const count = (this.lostRuns.get(task) ?? 0) + (isCurrent ? 1 : 0);
        this.lostRuns.set(task, count);
        return count;
    }

    private closeStepsIfOver(steps: Iterable<Step>): void {
        for (const step of steps) {
            this.closeIfOver(step.job, [step]);
        }
    }

    private observeRunTime(step: Step, ranMs: Millis, state: WorkerState | undefined): void {
        const { queue } = step.job;
        const expected = this.runTimes.estimate(queue, step.spec.estimateMs);
        state?.observeSpeed(Math.log(Math.max(1, ranMs) / Math.max(1, expected)), this.context.clock.now());
        this.runTimes.observe(queue, step.spec.estimateMs, ranMs);
    }

    /** Stops everything that steps have on workers, also those of a job that is over. */
    stopSteps(steps: Iterable<Step>): void {
        for (const step of steps) {
            this.stopStep(step);
        }
    }

    /**
     * Gives back what was reserved for a job whose acceptance is withdrawn.
     *
     * @remarks Failure guarded against: the caller hands the refused job in again, its task gets the same name and run
     * number, and the end of the first reservation is taken for the end of the new run, which is then started twice.
     */
    releaseJob(job: Job): void {
        for (const step of listSteps(job)) {
            for (const { state, workerId, name, run } of step.tasks) {
                if (state === TaskState.assigned && workerId !== undefined) {
                    this.stopper?.releaseTask(workerId, name, run);
                }
            }
        }
    }

    private stopStep(step: Step): void {
        this.gangs.observeStop(step);
        for (const task of step.tasks) {
            if (task.state === TaskState.assigned && task.workerId !== undefined) {
                this.stopper?.stopTask(task.workerId, task.name, task.run);
            }
        }
    }

    /**
     * Closes a job that is done or has used up its attempts.
     * @param job - The job.
     * @param steps - Those of its steps in which something has failed since it was last looked at.
     */
    private closeIfOver(job: Job, steps: Iterable<Step>): void {
        if (job.endedAt !== 0) {
            return;
        }
        if (isJobDone(job)) {
            this.closeJob(job, "completed");
            return;
        }
        for (const step of steps) {
            if (this.isHopeless(step)) {
                this.stopSteps(listSteps(job));
                this.closeJob(job, "failed");
                return;
            }
        }
    }

    private isHopeless(step: Step): boolean {
        if (this.hasUsedAttempts(step)) {
            return true;
        }
        const crasher = this.crashes.findCrasher(step);
        if (crasher !== undefined) {
            this.crashes.reportCrasher(crasher);
        }
        return crasher !== undefined;
    }

    /** An attempt that is under way may still succeed, also where the queue has come to allow fewer since it began. */
    private hasUsedAttempts({ job, spec, tasks, failures, lastFailedRun }: Step): boolean {
        const maxAttempts = this.context.findQueueByName(job.queue)?.maxAttempts ?? Infinity;
        const idle = tasks.filter(task => task.state !== TaskState.assigned);
        const isGangTrying = tasks.some(({ state, run }) =>
            state === TaskState.assigned && run > lastFailedRun
        );
        const mostFailures = spec.isGang ? failures : Math.max(...idle.map(task => task.failures));
        return mostFailures >= maxAttempts && !spec.isLongRunning && !(spec.isGang && isGangTrying);
    }

    private closeJob(job: Job, phase: "completed" | "failed"): void {
        const { context } = this;
        const at = context.clock.wallNow();
        const tookMs: Millis = at - job.acceptedAt;
        const objectiveMs = this.estimateObjectiveMs(job);
        context.log.info("jobClosed", { jobId: job.id, queue: job.queue, phase, tookMs, objectiveMs });
        context.metrics.time("jobs.took", tookMs, { phase });
        context.record({ type: "closed", jobId: job.id, phase, at }, () => {
            job.isEndDurable = true;
        });
    }

    /** What the job's time is to be compared with; undefined where its queue is not known. */
    private estimateObjectiveMs(job: Job): Millis | undefined {
        const queue = this.context.findQueueByName(job.queue);
        if (queue === undefined || job.spec === undefined) {
            return undefined;
        }
        const predict = (estimate: Millis): Millis => this.runTimes.estimate(queue.name, estimate);
        return Math.round(estimateObjectiveMs(job.spec.steps, queue, predict));
    }
}
