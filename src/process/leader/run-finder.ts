/** Tells where the runs of assigned tasks are: on a worker of the fleet, or with an earlier leader's on one not heard yet. */
import type { RunRecord, WorkerState } from "../dispatch/worker-state.js";
import type { Step, Task } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";
import type { Member } from "./fleet.js";
import type { InheritedRuns } from "./inherited-runs.js";
import { buildRunView, isAtWork } from "./run-view.js";
import type { RunView } from "./run-view.js";

/** The finder; see the module comment. */
export class RunFinder {
    /**
     * @param context - Shared parts.
     * @param members - The fleet's workers by id, as they are at any time.
     * @param inherited - Runs on workers that were not heard yet.
     */
    constructor(
        private readonly context: LeaderContext,
        private readonly members: ReadonlyMap<string, Member>,
        private readonly inherited: InheritedRuns,
    ) {}

    /** Tells whether a worker's state, or the inherited runs, have a task's run. */
    hasRun(task: Task): boolean {
        return this.findRecord(task) !== undefined || this.inherited.hasRun(task);
    }

    /** Shows where a task's run is, and what is known of its worker. */
    showRun(task: Task): RunView {
        const { workerId = "" } = task;
        const member = this.members.get(workerId);
        return buildRunView({
            record: this.findRecord(task),
            isInherited: this.inherited.hasRun(task),
            state: member?.state,
            leaseEnd: member?.session.getLeaseEnd() ?? this.inherited.computeLeaseEnd(workerId),
            now: this.context.clock.now(),
        });
    }

    /** Lists steps that have a run which was given to a worker and is not surely at work there. */
    *listUnsureSteps(): Iterable<Step> {
        for (const { state } of this.members.values()) {
            for (const run of state.runs.values()) {
                const step = isAtWork(state, run) ? undefined : this.findStep(state, run);
                if (step !== undefined) {
                    yield step;
                }
            }
        }
        yield* this.inherited.listSteps();
    }

    private findRecord({ workerId = "", name, run }: Task): RunRecord | undefined {
        return this.members.get(workerId)?.state.getRun(name, run);
    }

    /** Finds the step that waits for a run; nothing waits for older runs of its tasks. */
    private findStep(state: WorkerState, { task, run }: RunRecord): Step | undefined {
        const found = this.context.book.findTask(task);
        const isCurrent = found?.task.run === run && found.task.workerId === state.id;
        return isCurrent ? found.step : undefined;
    }
}
