/**
 * Workers that were lost while they ran a task, and what follows from that for the task.
 *
 * @remarks Failure guarded against: a task crashes each worker that starts it. None of its runs ends as failed, so no limit of
 * attempts is reached. Workers are also lost for other reasons, so a suspect first runs alone.
 */
import type { Millis } from "../../common/clock.js";
import type { Task } from "./job.js";

/** A worker that was lost with a run of a task. */
export interface WorkerLoss {
    readonly workerId: string;
    readonly run: number;
    /** Whether the worker surely crashed; until that is known it may be cut off and go on. */
    isCrash: boolean;
    /** Whether the run had just started, as far as its worker has told. */
    readonly isEarly: boolean;
}

/** Losses after which a task runs alone on its worker: whoever else runs there is safe, and a further loss is its own. */
const SUSPECT_LOSSES = 2;
/** Losses just after the start of a run after which a task is given up, if enough of all were crashes. */
const FINAL_EARLY_LOSSES = 3;
/** The same for a task of a queue whose tasks have been crashing workers. */
const FINAL_EARLY_LOSSES_OF_RISKY = 2;
/** Losses at any time after which it is: a worker that crashes later in a run may do so for reasons of its own. */
const FINAL_LOSSES = 5;
/** Crashes without which no task is given up. */
const FINAL_CRASHES = 2;
/** A run that its worker has reported for this long has not just started. */
export const EARLY_MS: Millis = 250;
/** A run that has gone on for this long did not crash its worker by starting. */
export const CLEARED_MS: Millis = 10_000;
/** Losses after which a task pauses until more is known of them. */
const PAUSE_LOSSES = 3;
/** Length of the first pause; it doubles with each further loss. */
const FIRST_PAUSE_MS: Millis = 5_000;
const LONGEST_PAUSE_MS: Millis = 60_000;

/** Tells whether a task is to run on a worker that runs nothing of other steps. */
export function isSuspect({ losses }: Task): boolean {
    return losses.length >= SUSPECT_LOSSES;
}

/**
 * Tells whether a task crashes the workers that start it, as far as that can be known.
 * @param task - The task.
 * @param isOfRiskyQueue - Whether other tasks of its queue have been crashing workers, so that less has to be shown of it.
 */
export function isCrasher(task: Task, isOfRiskyQueue = false): boolean {
    const { losses } = task;
    const early = losses.filter(loss => loss.isEarly).length;
    const finalEarly = isOfRiskyQueue ? FINAL_EARLY_LOSSES_OF_RISKY : FINAL_EARLY_LOSSES;
    const isOften = early >= finalEarly || losses.length >= FINAL_LOSSES;
    return isOften && countCrashes(task) >= FINAL_CRASHES;
}

/** Counts the workers that surely crashed with a run of a task. */
export function countCrashes({ losses }: Task): number {
    return losses.filter(loss => loss.isCrash).length;
}

/**
 * Computes how long after its last loss a task may start again.
 *
 * @remarks Failure guarded against: workers that crash come back after seconds, and only then is it known that they crashed. A
 * task that starts again at once crashes several more meanwhile.
 */
export function computeLossPause({ losses }: Task): Millis {
    const further = losses.length - PAUSE_LOSSES;
    return further < 0 ? 0 : Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** further);
}

/** Finds the losses of tasks by worker. */
export class LossIndex {
    private readonly tasks = new Map<string, Set<Task>>();

    /** Lists the workers that were lost with a task that is not done. */
    listWorkers(): Iterable<string> {
        return this.tasks.keys();
    }

    /** Tells whether a worker was lost with a task that is not done. */
    has(workerId: string): boolean {
        return this.tasks.has(workerId);
    }

    /** Lists the tasks that were lost with a worker. */
    listTasks(workerId: string): readonly Task[] {
        return [...this.tasks.get(workerId) ?? []];
    }

    /** Adds a loss to a task; the same loss counts once, however often it is learnt of. */
    add(task: Task, loss: WorkerLoss): void {
        const known = task.losses.find(({ workerId, run }) => workerId === loss.workerId && run === loss.run);
        if (known !== undefined) {
            known.isCrash ||= loss.isCrash;
            return;
        }
        task.losses.push(loss);
        const tasks = this.tasks.get(loss.workerId) ?? new Set();
        this.tasks.set(loss.workerId, tasks.add(task));
    }

    /** Takes in that a worker surely crashed. */
    confirm(workerId: string): void {
        for (const task of this.listTasks(workerId)) {
            task.losses.filter(loss => loss.workerId === workerId).forEach(loss => loss.isCrash = true);
        }
    }

    /** Takes in that a worker goes on: it was cut off. */
    withdraw(workerId: string): void {
        for (const task of this.listTasks(workerId)) {
            task.losses = task.losses.filter(loss => loss.workerId !== workerId);
        }
        this.tasks.delete(workerId);
    }

    /** Forgets all losses of a task. */
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
