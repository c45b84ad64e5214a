/** Tells tasks that crash their workers from tasks that shared a worker's fate. */
import type { Millis } from "../../common/clock.js";
import { LossKind } from "../jobs/job-events.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import { CLEARED_MS, computeLossPause, countCrashes, EARLY_MS, isCrasher } from "../jobs/worker-losses.js";
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

    /**
     * @param context - Shared parts.
     * @param closeIfOver - Closes jobs of steps in which a task has become known to crash its workers.
     */
    constructor(
        private readonly context: LeaderContext,
        private readonly closeIfOver: (steps: Iterable<Step>) => void,
    ) {
        this.begin = context.clock.now();
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
        const pause = computeLossPause(task);
        return pause > 0 && this.context.clock.now() < (this.lostAt.get(task) ?? this.begin) + pause;
    }

    /** Takes in that a worker's life is over: another one answers at its address. */
    handleReplaced(workerId: string): void {
        const { book, log, metrics } = this.context;
        const tasks = book.losses.listTasks(workerId);
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
    findCrasher({ tasks }: Step): Task | undefined {
        return tasks.find(task => task.state === TaskState.waiting && isCrasher(task));
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
}
