/** Processes ends of runs: the consequences for the task, its gang, its job, and the worker that ran it. */
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
import { CrashTracker } from "./crash-tracker.js";
import type { LostRun } from "./crash-tracker.js";
import { GangStarts } from "./gang-starts.js";
import { WorkerHealth } from "./worker-health.js";

/** A run that ended. */
export interface EndedRunNotice {
    /** Undefined if the worker never appeared. */
    readonly state: WorkerState | undefined;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
    /** Time since it was ordered; omitted if this leader did not order it. */
    readonly ranMs?: Millis;
    /** Set if it was lost. */
    readonly lost?: LostRun;
}

/** Ends runs on workers. */
export interface RunStopper {
    stopTask(workerId: string, task: string, run: number): void;
    /** Releases the capacity reserved for a run that was never ordered. */
    releaseTask(workerId: string, task: string, run: number): void;
}

/** Records ends of runs, and closes the jobs that are done or can't be done any more. */
export class RunEndHandler {
    private readonly health: WorkerHealth;
    private readonly gangStarts: GangStarts;
    /** Tracks which tasks may crash their workers. */
    readonly crashes: CrashTracker;
    private stopper: RunStopper | undefined;
    /** Number of runs of each task that this leader declared lost. */
    private readonly lostRuns = new WeakMap<Task, number>();

    /** @param runTimes - Is updated with the run times of successful runs. */
    constructor(private readonly context: LeaderContext, private readonly runTimes: RunTimeModel) {
        this.health = new WorkerHealth(context);
        this.gangStarts = new GangStarts(context, step => this.stopStep(step));
        this.crashes = new CrashTracker(context, steps => this.closeStepsIfFinished(steps));
    }

    /** Sets the object that stops runs; until then no run can be stopped. */
    install(stopper: RunStopper): void {
        this.stopper = stopper;
    }

    /** Records that members of a gang are being started. */
    observeGangStart(step: Step, run: number): void {
        this.gangStarts.observeStart(step, run);
    }

    /** Stops gangs that wait too long for missing members. Must be called several times a second. */
    sweep(): void {
        this.gangStarts.sweep();
    }

    /** Records the end of a run; only logs it if the run is not its task's current one. */
    recordEnd(notice: EndedRunNotice): void {
        const { context } = this;
        const found = context.jobs.findTask(notice.task);
        const isCurrent = found !== undefined && isEffectiveEnd(found, notice.run, notice.end);
        this.reportEnd(notice, found, isCurrent);
        if (!isCurrent) {
            if (found !== undefined && isDoneAfterRestart(found, notice)) {
                this.replaceRestart(found, notice);
            }
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
            this.gangStarts.handleEnd(step, run, end);
        }
        this.closeIfFinished(step.job, [step]);
        context.requestPass();
    }

    /**
     * Closes the jobs that are over. Must be called after a takeover.
     *
     * @remarks The previous leader may have been lost after a job's last end was durable and before it closed
     * the job. No further end arrives for such a job, so it would never be closed, or would get one attempt
     * too many.
     */
    closeFinishedJobs(): void {
        for (const job of [...this.context.jobs.listOpen()]) {
            this.closeIfFinished(job, listSteps(job));
        }
    }

    /** Takes a task as done by a run that was declared lost, and stops the one that replaced it. */
    private replaceRestart({ step, task }: FoundTask, { checkpoint }: EndedRunNotice): void {
        const { name, run, workerId } = task;
        if (workerId !== undefined) {
            this.stopper?.stopTask(workerId, name, run);
        }
        this.context.record({ type: "ended", task: name, run, end: RunEnd.done, checkpoint });
        this.closeIfFinished(step.job, [step]);
        this.context.requestPass();
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

    /** Counts a task's lost runs, including this one. */
    private countLoss(task: Task, isCurrent: boolean): number {
        const count = (this.lostRuns.get(task) ?? 0) + (isCurrent ? 1 : 0);
        this.lostRuns.set(task, count);
        return count;
    }

    private closeStepsIfFinished(steps: Iterable<Step>): void {
        for (const step of steps) {
            this.closeIfFinished(step.job, [step]);
        }
    }

    private observeRunTime(step: Step, ranMs: Millis, state: WorkerState | undefined): void {
        const { queue } = step.job;
        const expected = this.runTimes.estimate(queue, step.spec.estimateMs);
        state?.observeSpeed(Math.log(Math.max(1, ranMs) / Math.max(1, expected)), this.context.clock.now());
        this.runTimes.observe(queue, step.spec.estimateMs, ranMs);
    }

    /** Stops all runs of steps, even if their job is closed. */
    stopSteps(steps: Iterable<Step>): void {
        for (const step of steps) {
            this.stopStep(step);
        }
    }

    /**
     * Releases the capacity reserved for a job whose acceptance is withdrawn.
     *
     * @remarks If the caller submits the refused job again, its task gets the same name and run number. The
     * end of a leftover reservation would be mistaken for the end of the new run, which would then be started
     * twice.
     */
    releaseJob(job: Job): void {
        for (const step of listSteps(job)) {
            for (const { workerId, name, run } of step.tasks.listIn(TaskState.assigned)) {
                if (workerId !== undefined) {
                    this.stopper?.releaseTask(workerId, name, run);
                }
            }
        }
    }

    private stopStep(step: Step): void {
        this.gangStarts.observeStop(step);
        for (const { workerId, name, run } of step.tasks.listIn(TaskState.assigned)) {
            if (workerId !== undefined) {
                this.stopper?.stopTask(workerId, name, run);
            }
        }
    }

    /**
     * Closes a job that is done or can't be done any more.
     * @param steps - The steps of the job in which a run may have failed since the last check.
     */
    private closeIfFinished(job: Job, steps: Iterable<Step>): void {
        if (job.endedAt !== 0) {
            return;
        }
        if (isJobDone(job)) {
            this.closeJob(job, "completed");
            return;
        }
        for (const step of steps) {
            if (this.isUnrecoverable(step)) {
                this.stopSteps(listSteps(job));
                this.closeJob(job, "failed");
                return;
            }
        }
    }

    private isUnrecoverable(step: Step): boolean {
        if (this.hasUsedAttempts(step)) {
            return true;
        }
        const crasher = this.crashes.findCrasher(step);
        if (crasher !== undefined) {
            this.crashes.reportCrasher(crasher);
        }
        return crasher !== undefined;
    }

    /**
     * Ignores failures of tasks with a pending run: it may succeed, even if the queue allows fewer attempts
     * by now.
     */
    private hasUsedAttempts({ job, spec, tasks, failures, lastFailedRun }: Step): boolean {
        const maxAttempts = this.context.findQueueByName(job.queue)?.maxAttempts ?? Infinity;
        if (spec.isLongRunning) {
            return false;
        }
        if (spec.isGang) {
            return failures >= maxAttempts &&
                tasks.findIn(TaskState.assigned, ({ run }) => run > lastFailedRun) === undefined;
        }
        return tasks.hasTouched(task => task.state !== TaskState.assigned && task.failures >= maxAttempts);
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

    /**
     * Estimates the duration with which the job's actual one is compared; undefined if its queue is not
     * known.
     */
    private estimateObjectiveMs(job: Job): Millis | undefined {
        const queue = this.context.findQueueByName(job.queue);
        if (queue === undefined || job.spec === undefined) {
            return undefined;
        }
        const predict = (estimate: Millis): Millis => this.runTimes.estimate(queue.name, estimate);
        return Math.round(estimateObjectiveMs(job.spec.steps, queue, predict));
    }
}

/** Tells whether a run that was declared lost has done its task after all while a later run was under way. */
function isDoneAfterRestart({ step, task }: FoundTask, { run, end }: EndedRunNotice): boolean {
    return end === RunEnd.done && run < task.run && task.state === TaskState.assigned &&
        !step.spec.isGang && !step.spec.isLongRunning;
}
