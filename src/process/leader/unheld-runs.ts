/** Detects tasks that are recorded as assigned although nothing is left that could end their run. */
import type { FoundTask } from "../jobs/job-registry.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/** Most tasks visited in one check, so that a check stays short in a large cluster. */
const MAX_CHECKED_TASKS = 2_000;

/** Knows which runs have a record. */
export interface RunLocator {
    /**
     * Whether a worker's state, or the runs inherited from earlier leaders, contain the task's current run.
     */
    hasRun(task: Task): boolean;
}

/** A run without a record. */
interface UnheldRun {
    readonly step: Step;
    readonly run: number;
}

/**
 * Detects runs whose record was dropped without an end. Such a task would stay assigned for as long as this
 * leader leads: no pass starts it again, and no report or expired lease can end it.
 *
 * @remarks A task gets either a record or an end within one turn of the event loop, so a task that has
 * neither between two turns has this fault.
 */
export class UnheldRuns {
    private unvisited: Iterator<FoundTask> | undefined;
    private readonly found = new Map<Task, UnheldRun>();

    constructor(private readonly context: LeaderContext, private readonly locator: RunLocator) {}

    /** Checks the next tasks, and logs each unheld run once. Must be called once a second. */
    check(): void {
        this.unvisited ??= this.context.jobs.listAssigned()[Symbol.iterator]();
        for (let visited = 0; visited < MAX_CHECKED_TASKS; visited++) {
            const next = this.unvisited.next();
            if (next.done === true) {
                this.unvisited = undefined;
                return;
            }
            this.checkTask(next.value);
        }
    }

    /** Lists the steps of tasks whose runs are still unheld. */
    *listSteps(): Iterable<Step> {
        for (const [task, { step, run }] of this.found) {
            if (task.run === run && this.isUnheld(task)) {
                yield step;
            }
            else {
                this.found.delete(task);
            }
        }
    }

    private checkTask({ step, task }: FoundTask): void {
        if (this.found.get(task)?.run === task.run || !this.isUnheld(task)) {
            return;
        }
        this.found.set(task, { step, run: task.run });
        this.context.log.warn("CR1617", "runUnheld", {
            task: task.name,
            run: task.run,
            workerId: task.workerId,
            queue: step.job.queue,
        });
    }

    /**
     * Ignores tasks of jobs that ended between two checks: these stay marked as assigned, and nothing waits
     * for them.
     */
    private isUnheld(task: Task): boolean {
        return task.state === TaskState.assigned && !this.locator.hasRun(task) &&
            this.context.jobs.findTask(task.name)?.task === task;
    }
}
