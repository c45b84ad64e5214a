/**
 * Tracks workers that were lost while they ran a task, to detect tasks that crash their workers.
 *
 * @remarks If a task crashes every worker that starts it, none of its runs ends as failed, so the limit of
 * attempts is never reached. Workers are also lost for other reasons, so a suspected task first runs in
 * isolation.
 */
import type { Millis } from "../../common/clock.js";
import type { Task } from "./job.js";

/** A worker that was lost with a run of a task. */
export interface WorkerLoss {
    readonly workerId: string;
    readonly run: number;
    /**
     * Whether the worker certainly crashed; until that is known, it may only be partitioned and still
     * running.
     */
    isCrash: boolean;
    /** Whether the run had only just started, according to the worker's last report. */
    readonly isEarly: boolean;
    /**
     * Wall-clock time at which the run was declared lost, in milliseconds since 1970; undefined if an earlier
     * version recorded the loss.
     */
    readonly at?: number | undefined;
    /** Whether the worker was lost together with others for a reason other than their tasks. */
    readonly isCommon?: boolean | undefined;
}

/**
 * Losses after which a task runs in isolation on its worker, so that it endangers no other step's tasks and a
 * further loss can be attributed to it.
 */
const SUSPECT_LOSSES = 2;
/**
 * Losses just after the start of a run after which a task is given up, if enough of all its losses were
 * crashes.
 */
const GIVE_UP_EARLY_LOSSES = 3;
/** The same for a task of a queue whose tasks have been crashing workers. */
const GIVE_UP_EARLY_LOSSES_IN_RISKY_QUEUE = 2;
/**
 * Losses at any point of a run after which a task is given up. Higher than the limit for early losses, since
 * a worker that crashes later in a run may have other reasons.
 */
const GIVE_UP_LOSSES = 5;
/** Fewest certain crashes with which a task is given up. */
const MIN_CRASHES_TO_GIVE_UP = 2;
/** A run that its worker has reported for at least this long no longer counts as just started. */
export const EARLY_MS: Millis = 250;
/** A run that has lasted this long is taken not to crash its worker by starting. */
export const CLEARED_MS: Millis = 10_000;
/** Number of losses from which a task waits before it starts again, until their causes are known. */
const BACKOFF_LOSSES = 3;
/** The first backoff; it doubles with each further loss. */
const INITIAL_BACKOFF_MS: Millis = 5_000;
const MAX_BACKOFF_MS: Millis = 60_000;

/** Returns whether a task may run only on a worker that runs no tasks of other steps. */
export function isSuspect({ losses }: Task): boolean {
    return losses.length >= SUSPECT_LOSSES;
}

/**
 * Returns whether there is enough evidence that a task crashes its workers.
 * @param isOfRiskyQueue - Whether other tasks of its queue have been crashing workers; less evidence suffices
 * then.
 */
export function isCrasher(task: Task, isOfRiskyQueue = false): boolean {
    const { losses } = task;
    const early = losses.filter(loss => loss.isEarly).length;
    const earlyLossLimit = isOfRiskyQueue ? GIVE_UP_EARLY_LOSSES_IN_RISKY_QUEUE : GIVE_UP_EARLY_LOSSES;
    const isLimitReached = early >= earlyLossLimit || losses.length >= GIVE_UP_LOSSES;
    return isLimitReached && countCrashes(task) >= MIN_CRASHES_TO_GIVE_UP;
}

/**
 * Computes how long ago a run was declared lost.
 * @param wallNow - Wall-clock time; the VM that recorded the loss may have had a different one.
 * @returns Infinity if that is not known.
 */
export function computeLossAge({ at }: WorkerLoss, wallNow: number): Millis {
    return at === undefined ? Infinity : Math.max(0, wallNow - at);
}

/** Counts the workers that certainly crashed with a run of a task. */
export function countCrashes({ losses }: Task): number {
    return losses.filter(loss => loss.isCrash).length;
}

/**
 * Computes how long after its last loss a task may start again.
 *
 * @remarks A worker is known to have crashed only when it is back, seconds later. Without a backoff, the task
 * would crash several more workers in the meantime.
 */
export function computeLossBackoff({ losses }: Task): Millis {
    const further = losses.length - BACKOFF_LOSSES;
    return further < 0 ? 0 : Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** further);
}

/** Index of the losses of tasks by worker. */
export class LossIndex {
    private readonly tasks = new Map<string, Set<Task>>();

    /** Lists the workers that were lost with a task that is not yet done. */
    listWorkers(): Iterable<string> {
        return this.tasks.keys();
    }

    /** Returns whether a worker was lost with a task that is not yet done. */
    has(workerId: string): boolean {
        return this.tasks.has(workerId);
    }

    /** Lists the tasks that were lost with a worker. */
    listTasks(workerId: string): readonly Task[] {
        return [...this.tasks.get(workerId) ?? []];
    }

    /** Adds a loss to a task. Adding the same run and worker again only updates whether it was a crash. */
    add(task: Task, loss: WorkerLoss): void {
        const known = task.losses.find(({ workerId, run }) => workerId === loss.workerId && run === loss.run);
        if (known !== undefined) {
            known.isCrash ||= loss.isCrash;
            return;
        }
        task.losses = [...task.losses, loss];
        const tasks = this.tasks.get(loss.workerId) ?? new Set();
        this.tasks.set(loss.workerId, tasks.add(task));
    }

    /** Marks all losses with a worker as crashes. */
    confirm(workerId: string): void {
        for (const task of this.listTasks(workerId)) {
            task.losses.filter(loss => loss.workerId === workerId).forEach(loss => loss.isCrash = true);
        }
    }

    /** Removes all losses with a worker that is alive and was only partitioned from the leader. */
    withdraw(workerId: string): void {
        for (const task of this.listTasks(workerId)) {
            task.losses = task.losses.filter(loss => loss.workerId !== workerId);
        }
        this.tasks.delete(workerId);
    }

    /** Removes all losses of a task. */
    clear(task: Task): void {
        if (task.losses.length === 0) {
            return;
        }
        for (const { workerId } of task.losses) {
            const tasks = this.tasks.get(workerId);
            tasks?.delete(task);
            if (tasks?.size === 0) {
                this.tasks.delete(workerId);
            }
        }
        task.losses = [];
    }
}
