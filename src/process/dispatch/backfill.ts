/** Decides which waiting work is deferred so that capacity accumulates for a gang before it. */
import type { QueueConfig } from "../../version/cluster-config.js";
import type { PoolView } from "./pool-view.js";
import type { Urgency } from "./urgency.js";

/** Slack, as a share of its objective, above which a step can be deferred. */
const MIN_SLACK_SHARE = 0.3;

/**
 * Tells whether a step is deferred although it would fit.
 *
 * @remarks Where queues together want nearly all capacity, single tasks fill every gap as it comes free. A
 * gang of an earlier queue would then get capacity only by preempting them again and again, which loses most
 * of what they did between two stops. So steps that can start much later and still be in time are deferred.
 * This does not apply while the nodes cannot send all requests to the advice service, as deferred work cannot
 * be made up for then.
 * @param blockedPriority - Priority of the most urgent gang in this pass that lacks capacity and could be in
 * time.
 */
export function isDeferred(urgency: Urgency, blockedPriority: number): boolean {
    const { step: { spec, job }, queue, lateness, slackMs, dueAt } = urgency;
    const isSingle = !spec.isGang && !spec.isLongRunning && !spec.fillsSpareCpu;
    const objectiveMs = dueAt - job.acceptedAt;
    return isSingle && lateness === 0 && queue.priority > blockedPriority &&
        slackMs > objectiveMs * MIN_SLACK_SHARE;
}

/** Computes which share of a pool's processors the waiting single tasks of less urgent queues want. */
export function computeDeferrableShare(
    waiting: readonly Urgency[],
    { pool, priority }: QueueConfig,
    { slots }: PoolView,
): number {
    let cpuMillis = 0;
    for (const { step: { spec, waiting: tasks }, queue } of waiting) {
        if (queue.pool === pool && queue.priority > priority && !spec.isGang) {
            cpuMillis += tasks * spec.demand.cpuMillis;
        }
    }
    const total = slots.reduce((sum, { capacity }) => sum + capacity.cpuMillis, 0);
    return total === 0 ? 0 : cpuMillis / total;
}
