/** Distinguishes tasks that crash their workers from tasks whose workers were lost for other reasons. */
import type { Millis } from "../../common/clock.js";
import { isLate } from "../../common/lateness.js";
import { computeMin } from "../../common/lists.js";
import { CRASH_WINDOW_MS, CrashRisk } from "../dispatch/crash-risk.js";
import type { LostWorker, QueueRisk, RunAtLoss } from "../dispatch/crash-risk.js";
import type { ProbationInput, RiskyBacklog } from "../dispatch/probation.js";
import { SharedStarts } from "../dispatch/shared-starts.js";
import { RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord, WorkerState } from "../dispatch/worker-state.js";
import { LossKind } from "../jobs/job-events.js";
import type { JobSpec } from "../jobs/job-spec.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import {
    CLEARED_MS,
    computeLossAge,
    computeLossBackoff,
    countCrashes,
    EARLY_MS,
    isCrasher,
} from "../jobs/worker-losses.js";
import type { WorkerRecord } from "../ports/task-worker-port.js";
import type { LeaderContext } from "./context.js";
import { CrashReport } from "./crash-report.js";
import { RunLoss } from "./run-loss.js";

/** What is known about a run and its worker when the run is declared lost. */
export interface LostRun {
    readonly cause: RunLoss;
    /** Whether the worker was draining: its end is then no evidence against a run that was not lost early. */
    readonly isDraining: boolean;
    /** Lower bound of the time for which the run was executing. */
    readonly provenMs: Millis;
    /** Whether an earlier leader ordered it, so that it may have been executing for longer. */
    readonly isInherited: boolean;
}

/** A loss that counts against its task. */
export interface CountedLoss {
    readonly loss: LossKind;
    readonly isEarlyLoss: boolean;
    /** Wall-clock time, in milliseconds since 1970. */
    readonly lostAt: number;
    readonly isCommonLoss?: true;
}

/** A task that may crash its worker and starts beside other runs. */
export interface SharedStartNotice {
    readonly task: string;
    /** The worker's registration. */
    readonly record: WorkerRecord;
}

/** The loss of a worker that an earlier leader recorded. */
interface RestoredLoss {
    readonly workerId: string;
    readonly ageMs: Millis;
    /** Runs that had just started there. */
    readonly runs: readonly RunAtLoss[];
}

/** Time over which the losses of workers that were lost together are recorded, at most. */
const RECORD_DELAY_MS: Millis = 1_000;

const EMPTY_BACKLOG: RiskyBacklog = {
    steps: 0,
    probes: 0,
    suspects: 0,
    timelyTasks: 0,
    objectiveMs: 0,
    startsPerS: undefined,
    workers: 0,
};

const LOSS_KINDS: Readonly<Record<RunLoss, LossKind | undefined>> = {
    [RunLoss.replaced]: LossKind.crashed,
    [RunLoss.leaseOver]: LossKind.suspected,
    [RunLoss.unheard]: LossKind.suspected,
    [RunLoss.absent]: undefined,
};

/** Tracks losses of runs, and decides which tasks and queues are suspected of crashing workers. */
export class CrashTracker {
    /** When this leader last declared a run of a task lost. */
    private readonly lostAt = new WeakMap<Task, Millis>();
    private readonly startedAt: Millis;
    /** Wall-clock time at {@link startedAt}. */
    private readonly startedAtWall: number;
    private readonly risk: CrashRisk;
    private readonly report: CrashReport;
    private readonly sharedStarts = new SharedStarts();
    private riskyQueues: ReadonlyMap<string, QueueRisk> = new Map();
    private backlogs = new Map<string, RiskyBacklog>();
    /** Number of workers whose losses earlier leaders recorded and this one counts. */
    private restoredWorkers = 0;

    /**
     * @param closeIfFinished - Called with the steps whose tasks' losses turned out to be crashes; closes
     * their jobs if they can't be done any more.
     */
    constructor(
        private readonly context: LeaderContext,
        private readonly closeIfFinished: (steps: Iterable<Step>) => void,
    ) {
        this.startedAt = context.clock.now();
        this.startedAtWall = context.clock.wallNow();
        this.risk = new CrashRisk(this.startedAt);
        this.report = new CrashReport(context.log, context.metrics);
        this.restoreRisk();
        // Until the first pass it is not known what these queues may use, so their jobs are refused.
        for (const queue of this.risk.listRisky(this.startedAt, () => false).keys()) {
            this.backlogs.set(queue, EMPTY_BACKLOG);
        }
    }

    /** Counts a run that a worker has started. */
    observeStart({ queue, hasEarlyLoss }: RunRecord): void {
        if (!hasEarlyLoss) {
            this.risk.observeStart(queue, this.context.clock.now());
        }
    }

    /** Records that a task which may crash its worker is started beside other runs. */
    observeSharedStart({ task, record: { pool, workerId } }: SharedStartNotice): void {
        this.context.log.info("sharedStart", { task, workerId });
        this.context.metrics.count("runs.shared");
        this.sharedStarts.observe(pool, workerId, this.context.clock.now());
    }

    /**
     * Records that a worker does not answer. Missing contact alone is no evidence against its tasks, as the
     * worker may be partitioned.
     * @param aliveAt - When the worker was last known to be alive.
     */
    observeSilence(state: WorkerState, aliveAt: Millis): void {
        if (this.mayJudge(state, aliveAt)) {
            this.risk.observeSilence(this.describeLoss(state, aliveAt));
            this.report.reportCommonLoss(state.id, this.risk.findCommonLoss(state.id));
        }
    }

    /**
     * Records that a worker's process has probably ended: its connection broke, or another incarnation
     * answers at its address.
     * @param aliveAt - When the worker was last known to be alive.
     */
    observeWorkerEnd(state: WorkerState, aliveAt: Millis): void {
        if (!this.mayJudge(state, aliveAt)) {
            return;
        }
        if (this.risk.observeLoss(this.describeLoss(state, aliveAt))) {
            this.context.metrics.count("workers.lostAfterStart");
            this.context.requestPass();
        }
        this.report.reportCommonLoss(state.id, this.risk.findCommonLoss(state.id));
    }

    /**
     * Tells whether the loss of a worker is evidence at all. A leader that is overloaded, or may not send
     * orders, loses contact with healthy workers; a draining worker was to leave; and one that this leader has
     * never heard was lost at an unknown time.
     */
    private mayJudge({ record }: WorkerState, aliveAt: Millis): boolean {
        const { lateness, authority } = this.context;
        return Number.isFinite(aliveAt) && !record.isDraining && !isLate(lateness) && authority.mayOrder();
    }

    private describeLoss(state: WorkerState, aliveAt: Millis): LostWorker {
        const lostAt = this.context.clock.now();
        const runs = [...state.runs.values()]
            .filter(({ phase }) => phase === RunPhase.running)
            .map(({ queue, task, orderedAt, hasEarlyLoss }): RunAtLoss => ({
                queue,
                provenMs: Math.max(0, aliveAt - orderedAt),
                ageMs: lostAt - orderedAt,
                isSuspect: hasEarlyLoss || this.hasEarlyLoss(task),
            }));
        const { id: workerId, record: { pool } } = state;
        return { workerId, pool, runs, aliveAt, lostAt };
    }

    /** Sets the steps of risky queues that the last pass left waiting. */
    setBacklogs(backlogs: ReadonlyMap<string, RiskyBacklog>): void {
        this.backlogs = new Map(backlogs);
    }

    /** Counts a job that was accepted since the last pass. */
    observeAccepted(queue: string, { steps }: JobSpec): void {
        const backlog = this.backlogs.get(queue);
        if (backlog !== undefined) {
            const tasks = steps.filter(({ after }) => after.length === 0)
                .reduce((sum, { taskCount }) => sum + taskCount, 0);
            this.backlogs.set(queue, {
                ...backlog,
                steps: backlog.steps + 1,
                timelyTasks: backlog.timelyTasks + tasks,
            });
        }
    }

    /** Finds the waiting steps of a queue whose tasks crash workers; undefined for a healthy queue. */
    findBacklog(queue: string): RiskyBacklog | undefined {
        return this.backlogs.get(queue);
    }

    /** Whether the tasks of a queue have been crashing workers. */
    isOnProbation(queue: string): boolean {
        return this.backlogs.has(queue);
    }

    /** Returns the queues whose tasks crash workers, and logs each queue that goes on or off probation. */
    getProbation(): ProbationInput {
        const now = this.context.clock.now();
        const risky = this.risk.listRisky(now, queue => (this.backlogs.get(queue)?.probes ?? 0) > 0);
        this.report.reportChanges(this.riskyQueues, risky, {
            restoredWorkers: this.restoredWorkers,
            sinceBeginMs: Math.round(now - this.startedAt),
        });
        this.riskyQueues = risky;
        return {
            risky,
            countCrashed: (pool, isExplained) => this.risk.countCrashed(pool, isExplained, now),
            countShared: pool => this.sharedStarts.count(pool, now),
        };
    }

    /** Logs the state of the queues on probation. */
    reportProbation(): void {
        this.report.reportQueues(this.riskyQueues, this.backlogs);
    }

    /**
     * Decides whether the loss of a task's current run counts against the task. A run that was executing for
     * long clears its task instead.
     * @returns Undefined if the loss does not count.
     */
    resolveLoss(task: Task, { cause, isDraining, provenMs, isInherited }: LostRun): CountedLoss | undefined {
        const loss = LOSS_KINDS[cause];
        const isEarlyLoss = !isInherited && provenMs < EARLY_MS;
        if (loss === undefined || isDraining && !isEarlyLoss) {
            return undefined;
        }
        const isCommonLoss = this.risk.findCommonLoss(task.workerId ?? "") !== undefined;
        if (isCommonLoss && !isInherited && !isEarlyLoss) {
            return undefined;
        }
        if (provenMs >= CLEARED_MS) {
            this.clearTask(task);
            return undefined;
        }
        const { clock } = this.context;
        this.lostAt.set(task, clock.now());
        const counted = { loss, isEarlyLoss, lostAt: clock.wallNow() };
        return isCommonLoss ? { ...counted, isCommonLoss } : counted;
    }

    /** Clears a task's losses: it has run for so long that it need not run alone on its worker any more. */
    clearTask(task: Task): void {
        if (task.losses.length > 0) {
            this.context.log.info("taskCleared", { task: task.name, losses: task.losses.length });
            this.context.record({ type: "taskCleared", task: task.name });
        }
    }

    /** Whether a task must wait until more is known about its losses. */
    isPaused(task: Task): boolean {
        const pause = computeLossBackoff(task);
        return pause > 0 && this.context.clock.now() < this.findLostAt(task) + pause;
    }

    /** Finds when a task was last lost, on this leader's clock; an earlier leader may have recorded it. */
    private findLostAt(task: Task): Millis {
        const known = this.lostAt.get(task);
        if (known !== undefined) {
            return known;
        }
        const ages = task.losses.map(loss => computeLossAge(loss, this.startedAtWall));
        const lostAt = this.startedAt - computeMin(ages);
        this.lostAt.set(task, lostAt);
        return lostAt;
    }

    /**
     * Handles the end of a worker: another incarnation answers at its address, so its losses were crashes.
     */
    handleReplaced(workerId: string): void {
        const { jobs, log, metrics } = this.context;
        const tasks = jobs.losses.listTasks(workerId);
        this.risk.confirm(workerId);
        if (!tasks.some(task => task.losses.some(loss => loss.workerId === workerId && !loss.isCrash))) {
            return;
        }
        log.info("workerCrashKnown", { workerId, tasks: tasks.length });
        metrics.count("workers.crashesKnown");
        this.context.record({ type: "workerCrashed", workerId });
        const found = tasks.flatMap(task => jobs.findTask(task.name) ?? []);
        this.closeIfFinished(new Set(found.map(({ step }) => step)));
        this.context.requestPass();
    }

    /** Handles contact with a worker: it was not lost, and earlier incarnations at its address have ended. */
    handleContact(workerId: string, address: string): void {
        const { jobs, log } = this.context;
        this.risk.withdraw(workerId);
        if (jobs.losses.has(workerId)) {
            log.info("workerLossWithdrawn", { workerId, tasks: jobs.losses.listTasks(workerId).length });
            this.context.record({ type: "workerSurvived", workerId });
            this.context.requestPass();
        }
        for (const lost of [...jobs.losses.listWorkers()]) {
            if (jobs.adoptions.get(lost)?.address === address) {
                this.handleReplaced(lost);
            }
        }
    }

    /**
     * Finds a task of a step that has to be given up: it counts as a crasher, and no run of it is left to
     * clear it.
     */
    findCrasher({ tasks, job }: Step): Task | undefined {
        const isRisky = this.riskyQueues.has(job.queue);
        return tasks.findIn(TaskState.waiting, task => isCrasher(task, isRisky));
    }

    /** Logs which task was given up, and why. */
    reportCrasher(task: Task): void {
        const { log, metrics } = this.context;
        log.warn("CR1620", "taskGivenUp", {
            task: task.name,
            runs: task.losses.map(loss => loss.run).join(),
            workers: task.losses.map(loss => loss.workerId).join(),
            crashes: countCrashes(task),
        });
        metrics.count("tasks.givenUp");
    }

    /** Restores the queues' crash risk from the recent losses that earlier leaders recorded. */
    private restoreRisk(): void {
        const { jobs } = this.context;
        const restored = [...jobs.losses.listWorkers()]
            .map(workerId => this.restoreLoss(workerId))
            .filter(({ ageMs }) => ageMs < CRASH_WINDOW_MS)
            .sort((left, right) => right.ageMs - left.ageMs);
        for (const { workerId, ageMs, runs } of restored) {
            const lostAt = this.startedAt - ageMs;
            if (
                this.risk.observeLoss({ workerId, pool: "", runs, lostAt, aliveAt: lostAt - RECORD_DELAY_MS })
            ) {
                this.restoredWorkers += 1;
            }
        }
    }

    private restoreLoss(workerId: string): RestoredLoss {
        const { jobs } = this.context;
        const runs: RunAtLoss[] = [];
        let ageMs: Millis = Infinity;
        for (const { name, losses } of jobs.losses.listTasks(workerId)) {
            const queue = jobs.findTask(name)?.step.job.queue;
            for (const loss of losses.filter(other => other.workerId === workerId)) {
                ageMs = Math.min(ageMs, computeLossAge(loss, this.startedAtWall));
                if (loss.isEarly && loss.isCommon !== true && queue !== undefined) {
                    runs.push({ queue, provenMs: 0, ageMs: 0, isSuspect: false });
                }
            }
        }
        return { workerId, ageMs, runs };
    }

    private hasEarlyLoss(task: string): boolean {
        return this.context.jobs.findTask(task)?.task.losses.some(({ isEarly }) => isEarly) === true;
    }
}
