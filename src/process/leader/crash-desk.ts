/** Tells tasks that crash their workers from tasks that shared a worker's fate. */
import type { Millis } from "../../common/clock.js";
import { isLate } from "../../common/lateness.js";
import { CrashRisk } from "../dispatch/crash-risk.js";
import type { LostStart, QueueRisk } from "../dispatch/crash-risk.js";
import type { ProbationInput, RiskyBacklog } from "../dispatch/probation.js";
import { RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord, WorkerState } from "../dispatch/worker-state.js";
import { LossKind } from "../jobs/job-events.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import { CLEARED_MS, computeLossBackoff, countCrashes, EARLY_MS, isCrasher } from "../jobs/worker-losses.js";
import type { LeaderContext } from "./context.js";
import { RunLoss } from "./run-loss.js";

/** What is known of a run's worker when the run is taken for lost. */
export interface LostRun {
    readonly cause: RunLoss;
    /** Whether the worker was to leave: then its end says nothing about what had run there for some time. */
    readonly isDraining: boolean;
    /** How long the run is known to have been at work at least. */
    readonly provenMs: Millis;
    /** Whether an earlier leader ordered it, so that it may have been at work for longer. */
    readonly isInherited: boolean;
}

/** What counts against a task. */
export interface CountedLoss {
    readonly loss: LossKind;
    readonly isEarlyLoss: boolean;
}

const KINDS: Readonly<Record<RunLoss, LossKind | undefined>> = {
    [RunLoss.replaced]: LossKind.crashed,
    [RunLoss.leaseOver]: LossKind.suspected,
    [RunLoss.unheard]: LossKind.suspected,
    [RunLoss.absent]: undefined,
};

/** The desk; see the module comment. */
export class CrashDesk {
    /** When this leader last lost a run of a task. */
    private readonly lostAt = new WeakMap<Task, Millis>();
    private readonly begin: Millis;
    private readonly risk = new CrashRisk();
    private risky: ReadonlyMap<string, QueueRisk> = new Map();
    private backlogs: ReadonlyMap<string, RiskyBacklog> = new Map();

    /**
     * @param context - Shared parts.
     * @param closeIfOver - Closes jobs of steps in which a task has become known to crash its workers.
     */
    constructor(
        private readonly context: LeaderContext,
        private readonly closeIfOver: (steps: Iterable<Step>) => void,
    ) {
        this.begin = context.clock.now();
        this.restoreRisk();
    }

    /** Counts a run that a worker has begun. */
    observeStart({ queue, isProbe }: RunRecord): void {
        if (!isProbe) {
            this.risk.observeStart(queue, this.context.clock.now());
        }
    }

    /**
     * Records that a worker's process has probably ended: its connection broke, or another one answers at its address. Silence
     * says nothing, as the worker may be cut off.
     * @param state - The worker.
     * @param aliveAt - When it was last known to be at work.
     */
    observeEnd(state: WorkerState, aliveAt: Millis): void {
        const { clock, lateness, authority, metrics } = this.context;
        // A leader that is late, or may not order, stops hearing workers that are well.
        if (isLate(lateness) || !authority.mayOrder()) {
            return;
        }
        const runs = [...state.runs.values()]
            .filter(({ phase }) => phase === RunPhase.running)
            .map(({ queue, task, orderedAt, isProbe }): LostStart => ({
                queue,
                provenMs: Math.max(0, aliveAt - orderedAt),
                isSuspect: isProbe || this.hasEarlyLoss(task),
            }));
        if (this.risk.observeLoss({ workerId: state.id, pool: state.record.pool }, runs, clock.now())) {
            metrics.count("workers.lostAfterStart");
            this.context.requestPass();
        }
    }

    /** Records what a pass left waiting of risky queues. */
    setBacklogs(backlogs: ReadonlyMap<string, RiskyBacklog>): void {
        this.backlogs = backlogs;
    }

    /** Finds what waits of a queue whose tasks crash workers; undefined for one that is well. */
    findBacklog(queue: string): RiskyBacklog | undefined {
        return this.backlogs.get(queue);
    }

    /** Returns which queues' tasks crash workers; a line says when one begins to count as such, or ends to. */
    getProbation(): ProbationInput {
        const { clock, log, metrics } = this.context;
        const now = clock.now();
        const risky = this.risk.listRisky(now, queue => (this.backlogs.get(queue)?.probes ?? 0) > 0);
        for (const [queue, { starts, crashes, rate }] of risky) {
            if (!this.risky.has(queue)) {
                log.warn("CR1622", "queueOnProbation", {
                    queue,
                    starts,
                    crashes: formatShare(crashes, 10),
                    rate: formatShare(rate, 1_000),
                });
            }
        }
        for (const queue of this.risky.keys()) {
            if (!risky.has(queue)) {
                log.info("queueOffProbation", { queue });
            }
        }
        this.risky = risky;
        metrics.gauge("queues.onProbation", risky.size);
        return { risky, countAway: (pool, isExplained) => this.risk.countAway(pool, isExplained, now) };
    }

    /**
     * Resolves what the loss of a task's current run counts for.
     * @returns What counts against the task; undefined where nothing does.
     */
    resolveLoss(task: Task, { cause, isDraining, provenMs, isInherited }: LostRun): CountedLoss | undefined {
        const loss = KINDS[cause];
        const isEarlyLoss = !isInherited && provenMs < EARLY_MS;
        if (loss === undefined || isDraining && !isEarlyLoss) {
            return undefined;
        }
        if (provenMs >= CLEARED_MS) {
            this.clearTask(task);
            return undefined;
        }
        this.lostAt.set(task, this.context.clock.now());
        return { loss, isEarlyLoss };
    }

    /** Takes in that a task has run for long, so that it need not run alone any more. */
    clearTask(task: Task): void {
        if (task.losses.length > 0) {
            this.context.log.info("taskCleared", { task: task.name, losses: task.losses.length });
            this.context.record({ type: "taskCleared", task: task.name });
        }
    }

    /** Tells whether a task must wait until more is known of its losses. */
    isPaused(task: Task): boolean {
        const pause = computeLossBackoff(task);
        return pause > 0 && this.context.clock.now() < (this.lostAt.get(task) ?? this.begin) + pause;
    }

    /** Takes in that a worker's life is over: another one answers at its address. */
    handleReplaced(workerId: string): void {
        const { book, log, metrics } = this.context;
        const tasks = book.losses.listTasks(workerId);
        this.risk.confirm(workerId);
        if (!tasks.some(task => task.losses.some(loss => loss.workerId === workerId && !loss.isCrash))) {
            return;
        }
        log.info("workerCrashKnown", { workerId, tasks: tasks.length });
        metrics.count("workers.crashesKnown");
        this.context.record({ type: "workerCrashed", workerId });
        const found = tasks.flatMap(task => book.findTask(task.name) ?? []);
        this.closeIfOver(new Set(found.map(({ step }) => step)));
        this.context.requestPass();
    }

    /** Takes in that a worker answers: it was not lost, and whichever life was at its address before is over. */
    handleHeard(workerId: string, address: string): void {
        const { book, log } = this.context;
        this.risk.withdraw(workerId);
        if (book.losses.has(workerId)) {
            log.info("workerLossWithdrawn", { workerId, tasks: book.losses.listTasks(workerId).length });
            this.context.record({ type: "workerSurvived", workerId });
            this.context.requestPass();
        }
        for (const lost of [...book.losses.listWorkers()]) {
            if (book.adoptions.get(lost)?.address === address) {
                this.handleReplaced(lost);
            }
        }
    }

    /** Finds a task of a step that is to be given up: no run of it is under way that could still clear it. */
    findCrasher({ tasks, job }: Step): Task | undefined {
        const isRisky = this.risky.has(job.queue);
        return tasks.find(task => task.state === TaskState.waiting && isCrasher(task, isRisky));
    }

    /** Says which task was given up, and why. */
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
    /** Lets the losses that earlier leaders recorded count for their queues. */
    private restoreRisk(): void {
        const { book } = this.context;
        for (const workerId of book.losses.listWorkers()) {
            const runs = book.losses.listTasks(workerId).flatMap(({ name, losses }): readonly LostStart[] => {
                const isEarly = losses.some(loss => loss.workerId === workerId && loss.isEarly);
                const queue = book.findTask(name)?.step.job.queue;
                return isEarly && queue !== undefined ? [{ queue, provenMs: 0, isSuspect: false }] : [];
            });
            this.risk.observeLoss({ workerId, pool: "" }, runs, this.begin);
        }
    }

    private hasEarlyLoss(task: string): boolean {
        return this.context.book.findTask(task)?.task.losses.some(({ isEarly }) => isEarly) === true;
    }
}

function formatShare(value: number, parts: number): number {
    return Math.round(value * parts) / parts;
}
