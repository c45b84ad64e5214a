/** Tracks since when the waiting tasks of each step could have started. */
import type { Millis } from "../../common/clock.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";

/** The wait of a task that has run before. */
interface RestartWait {
    /** Its latest run. */
    readonly run: number;
    readonly since: Millis;
}

/**
 * Times since which tasks wait, as observed by one leader.
 *
 * @remarks Each run of a task ends its wait, so a task that fails again and again has never waited for long.
 */
export class ReadyTimes {
    /** Since when tasks that have never run wait, by step. */
    private readonly firstWaits = new WeakMap<Step, Millis>();
    private readonly restartWaits = new WeakMap<Task, RestartWait>();

    /**
     * Observes a step whose tasks can start.
     * @param now - On the leader's clock.
     * @returns Since when the task that has waited longest could have started.
     */
    observe(step: Step, now: Millis): Millis {
        let earliest = now;
        if (step.tasks.hasUntouched()) {
            earliest = Math.min(earliest, this.observeFirst(step, now));
        }
        for (const task of step.tasks.listIn(TaskState.waiting)) {
            const since = task.run === 0 ? this.observeFirst(step, now) : this.observeRestart(task, now);
            earliest = Math.min(earliest, since);
        }
        return earliest;
    }

    private observeFirst(step: Step, now: Millis): Millis {
        const since = this.firstWaits.get(step) ?? now;
        this.firstWaits.set(step, since);
        return since;
    }

    private observeRestart(task: Task, now: Millis): Millis {
        const known = this.restartWaits.get(task);
        if (known?.run === task.run) {
            return known.since;
        }
        this.restartWaits.set(task, { run: task.run, since: now });
        return now;
    }
}
