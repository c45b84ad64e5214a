/** The tasks of a step. A step may have very many, so a task is built only when its state changes for the first time. */
import { formatTaskName } from "./job-spec.js";
import type { TaskRef } from "./job-spec.js";
import { TaskState } from "./job.js";
import type { Task } from "./job.js";
import type { WorkerLoss } from "./worker-losses.js";

/** Shared by the tasks without any: most never have one. */
const NO_LOSSES: readonly WorkerLoss[] = [];
const NO_WORKERS: ReadonlySet<string> = new Set();

/** Holds the tasks of one step. */
export class TaskList {
    /** Tasks that may differ from their initial state, by index. */
    private readonly touched = new Map<number, Task>();
    /** No task below this index is untouched. */
    private firstUntouched = 0;

    /**
     * @param ref - The step.
     * @param length - Number of tasks.
     */
    constructor(private readonly ref: Omit<TaskRef, "index">, readonly length: number) {}

    /**
     * Returns a task so that its state can be changed.
     * @returns Undefined if the step has fewer tasks.
     */
    get(index: number): Task | undefined {
        const known = this.touched.get(index);
        if (known !== undefined || index >= this.length) {
            return known;
        }
        const task = this.buildTask(index);
        this.touched.set(index, task);
        return task;
    }

    /** Returns all tasks so that their state can be changed. */
    getAll(): readonly Task[] {
        return Array.from({ length: this.length }, (...[, index]) => this.get(index)).filter(task =>
            task !== undefined
        );
    }

    /** Lists the tasks that may differ from their initial state. */
    listTouched(): Iterable<Task> {
        return this.touched.values();
    }

    /** Lists the touched tasks in a state. */
    *listIn(state: TaskState): Iterable<Task> {
        for (const task of this.touched.values()) {
            if (task.state === state) {
                yield task;
            }
        }
    }

    /** Finds a touched task in a state. */
    findIn(state: TaskState, isWanted: (task: Task) => boolean): Task | undefined {
        for (const task of this.touched.values()) {
            if (task.state === state && isWanted(task)) {
                return task;
            }
        }
        return undefined;
    }

    /** Whether any touched task fulfils a condition. */
    hasTouched(isWanted: (task: Task) => boolean): boolean {
        for (const task of this.touched.values()) {
            if (isWanted(task)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a task was never touched, so that it waits for its first run. */
    hasUntouched(): boolean {
        return this.touched.size < this.length;
    }

    /**
     * Lists the waiting tasks: those that have run before, then the others by their index. The untouched ones among
     * them are copies, as most of them are only looked at.
     */
    *listWaiting(): Iterable<Task> {
        yield* [...this.listIn(TaskState.waiting)].sort((left, right) => left.index - right.index);
        while (this.touched.has(this.firstUntouched)) {
            this.firstUntouched += 1;
        }
        for (let index = this.firstUntouched; index < this.length; index++) {
            if (!this.touched.has(index)) {
                yield this.buildTask(index);
            }
        }
    }

    private buildTask(index: number): Task {
        return {
            index,
            name: formatTaskName({ ...this.ref, index }),
            state: TaskState.waiting,
            run: 0,
            failures: 0,
            workerId: undefined,
            checkpoint: "",
            failedOn: NO_WORKERS,
            losses: NO_LOSSES,
        };
    }
}
