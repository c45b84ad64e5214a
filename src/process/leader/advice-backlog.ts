/** Measures how long the nodes need for the requests of all accepted jobs to the advice service. */
import type { Millis } from "../../common/clock.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import type { AdviceDispatcher } from "../dispatch/advice-dispatcher.js";
import type { JobSpec } from "../jobs/job-spec.js";
import { listSteps } from "../jobs/job.js";
import type { BacklogInputs } from "./admission.js";
import type { LeaderContext } from "./context.js";
import type { PermitCoordinator } from "./permit-coordinator.js";

/** The requests that the accepted jobs have yet to make. */
export class AdviceBacklog {
    constructor(
        private readonly context: Pick<LeaderContext, "jobs" | "findQueueByName">,
        private readonly advice: AdviceDispatcher,
        private readonly permits: PermitCoordinator,
    ) {}

    /**
     * Computes the backlog that a submitted job would join.
     * @returns Undefined if the nodes keep up with the requests, if nothing is known of the queue's requests, or if the job
     * is to run at given times or until it is cancelled, as the backlog matters little to it.
     */
    measure(queue: QueueConfig, { steps, repeat }: JobSpec): BacklogInputs | undefined {
        const isTimed = repeat !== undefined || steps.some(step => step.isLongRunning);
        const callers = this.advice.countReachable();
        const stepMs = this.permits.costs.getStepMs(queue.name);
        if (
            queue.advice === undefined || isTimed || !this.advice.isOverloaded() || callers === 0 ||
            stepMs === undefined
        ) {
            return undefined;
        }
        const owed = this.computeOwed();
        return {
            callers,
            queues: owed.size,
            owedMs: [...owed.values()].reduce((sum, ms) => sum + ms, 0),
            queueOwedMs: owed.get(queue.name) ?? 0,
            jobMs: stepMs * steps.length,
        };
    }

    /** Computes the time of nodes for the steps that have tasks to start, now or after other steps, by queue. */
    private computeOwed(): ReadonlyMap<string, Millis> {
        const owed = new Map<string, Millis>();
        for (const job of this.context.jobs.listOpen()) {
            const stepMs = this.permits.costs.getStepMs(job.queue);
            if (stepMs === undefined || this.context.findQueueByName(job.queue)?.advice === undefined) {
                continue;
            }
            for (const step of listSteps(job)) {
                if (step.waiting > 0) {
                    owed.set(job.queue, (owed.get(job.queue) ?? 0) + stepMs);
                }
            }
        }
        return owed;
    }
}
