/** Looks for tasks that the book holds as assigned while nothing is left that could ever end their run. */
import type { FoundTask } from "../jobs/job-registry.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/** Tasks that are looked at in one check, so that a check of a large cluster stays short. */
const MAX_CHECKED_TASKS = 2_000;

/** Knows where runs are. */
export interface RunHolder {
    /** Tells whether a worker's state, or the runs inherited from earlier leaders, have a task's run. */
    hasRun(task: Task): boolean;
}

/** A run that nothing has. */
interface UnheldRun {
    readonly step: Step;
    readonly run: number;
}

/**
 * The check; see the module comment.
 *
 * @remarks Failure guarded against: a run's record is dropped without an end. The task stays assigned for as long as this
 * leader leads, no pass starts it again, and no report or lease that runs out can end it. A task has either a record or an
 * end within one turn of the event loop, so one found without both between turns has this fault.
 */
export class UnheldRuns {
    private unvisited: Iterator<FoundTask> | undefined;
    private readonly found = new Map<Task, UnheldRun>();

    /**
     * @param context - Shared parts; its book holds what is assigned.
     * @param holder - Knows where runs are.
     */
    constructor(private readonly context: LeaderContext, private readonly holder: RunHolder) {}

    /** Looks at the next tasks, and says of each run without a holder once that it has none. Call it once a second. */
    check(): void {
        this.unvisited ??= this.context.book.listAssigned()[Symbol.iterator]();
        for (let visited = 0; visited < MAX_CHECKED_TASKS; visited++) {
            const next = this.unvisited.next();
            if (next.done === true) {
                this.unvisited = undefined;
                return;
            }
            this.checkTask(next.value);
        }
    }

    /** Lists the steps of tasks that are still without a holder. */
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

    /** Jobs may end between two checks: their tasks stay marked as assigned, and nothing waits for them. */
    private isUnheld(task: Task): boolean {
        return task.state === TaskState.assigned && !this.holder.hasRun(task) &&
            this.context.book.findTask(task.name)?.task === task;
    }
}
