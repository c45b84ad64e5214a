/** Records that runs have begun on their workers. */
import type { Step } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/**
 * Records that a worker has begun a run of a step: it accepted the order, or reported the run.
 *
 * @remarks An assignment is not enough, since the worker may refuse its order.
 */
export function recordRunStart({ clock, history, recordDeferred }: LeaderContext, step: Step): void {
    history.observeBegin(step, clock.now());
    const { hasStarted, endedAt, id: jobId } = step.job;
    if (!hasStarted && endedAt === 0) {
        recordDeferred({ type: "started", jobId });
    }
}
