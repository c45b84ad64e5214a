/** Ranks the steps that have tasks to start. */
import type { QueueConfig } from "../../version/cluster-config.js";
import type { FairShares } from "../accounts/fair-shares.js";
import { ReadyTimes } from "../dispatch/ready-times.js";
import type { RunTimeModel } from "../dispatch/run-time-model.js";
import { estimateDurations, rankStep } from "../dispatch/urgency.js";
import type { ExpectedDurations, Urgency } from "../dispatch/urgency.js";
import type { Job, Step } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/** Ranks the waiting steps of one leader. */
export class StepRanker {
    private readonly readyTimes = new ReadyTimes();

    constructor(private readonly context: LeaderContext, private readonly runTimes: RunTimeModel) {}

    /** Ranks all steps with tasks to start; the order of the result does not matter. */
    rankAll(fairShares: FairShares): readonly Urgency[] {
        const { clock, jobs } = this.context;
        const wallNow = clock.wallNow();
        const now = clock.now();
        const ranked: Urgency[] = [];
        const expectedByJob = new Map<Job, ExpectedDurations>();
        for (const step of jobs.listRunnable()) {
            const queue = this.context.findQueueByName(step.job.queue);
            if (queue !== undefined) {
                const expected = expectedByJob.get(step.job) ?? this.estimateDurations(step, queue);
                expectedByJob.set(step.job, expected);
                const readyAt = this.readyTimes.observe(step, now);
                ranked.push({
                    ...rankStep(step, queue, wallNow, expected, now - readyAt),
                    isBeyondShare: fairShares.isBeyond(step.job.account),
                    readyAt,
                });
            }
        }
        return ranked;
    }

    private estimateDurations(step: Step, queue: QueueConfig): ExpectedDurations {
        return estimateDurations(step, queue, estimateMs => this.runTimes.estimate(queue.name, estimateMs));
    }
}
