/**
 * Locates the runs of assigned tasks: on a worker of the fleet, or inherited on a worker without contact so
 * far.
 */
import type { RunRecord, WorkerState } from "../dispatch/worker-state.js";
import type { Step, Task } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";
import type { FleetMember } from "./fleet.js";
import type { InheritedRuns } from "./inherited-runs.js";
import { buildRunView, isRunExecuting } from "./run-view.js";
import type { RunView } from "./run-view.js";

/** Locates runs among the fleet's workers and the inherited runs. */
export class RunFinder {
    /**
     * @param members - The fleet's workers by id; the fleet goes on changing this map.
     * @param inherited - Runs on workers without contact so far.
     */
    constructor(
        private readonly context: LeaderContext,
        private readonly members: ReadonlyMap<string, FleetMember>,
        private readonly inherited: InheritedRuns,
    ) {}

    /** Whether a worker's state, or the inherited runs, contain the task's current run. */
    hasRun(task: Task): boolean {
        return this.findRecord(task) !== undefined || this.inherited.hasRun(task);
    }

    /** Shows where a task's run is, and what is known about its worker. */
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

    /** Lists steps with a run that was given to a worker and is not known to be executing there. */
    *listUncertainSteps(): Iterable<Step> {
        for (const { state } of this.members.values()) {
            for (const run of state.runs.values()) {
                const step = isRunExecuting(state, run) ? undefined : this.findStep(state, run);
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

    /** Finds the step of a run; undefined if the run is not its task's current one. */
    private findStep(state: WorkerState, { task, run }: RunRecord): Step | undefined {
        const found = this.context.jobs.findTask(task);
        const isCurrent = found?.task.run === run && found.task.workerId === state.id;
        return isCurrent ? found.step : undefined;
    }
}
