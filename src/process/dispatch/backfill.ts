/** Which waiting work leaves room that comes free to a gang before it. Pure. */
import type { Urgency } from "./urgency.js";

/** Part of its objective by which a step can begin later than now and still leaves room to others. */
const SPARE_SLACK_SHARE = 0.3;

/**
 * Tells whether a step waits although it would fit.
 *
 * @remarks Load answered: queues that together want nearly all room. Single tasks fit into every hole as it comes free, so
 * a gang of an earlier queue finds room only by stopping them, again and again; what they did between two stops is mostly
 * lost. A step that can begin much later and still be in time lets the room add up instead. Not where nodes that can ask the
 * advice service are short: what is put off there cannot be made up for.
 * @param urgency - The step's.
 * @param blockedPriority - Of the most urgent gang in this pass that lacks room and could be in time.
 */
export function isHeldBack(urgency: Urgency, blockedPriority: number): boolean {
    const { step: { spec, job }, queue, lateness, slackMs, dueAt } = urgency;
    const isSingle = !spec.isGang && !spec.isLongRunning && !spec.fillsSpareCpu;
    const objectiveMs = dueAt - job.acceptedAt;
    return isSingle && lateness === 0 && queue.priority > blockedPriority &&
        slackMs > objectiveMs * SPARE_SLACK_SHARE;
}
