/** In which order waiting steps get room. */
import type { Millis } from "../../common/clock.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { computeCriticalPathFromMs, computeCriticalPathMs } from "../jobs/job-spec.js";
import type { StepSpec } from "../jobs/job-spec.js";
import type { Step } from "../jobs/job.js";

/** Place of a step in the order; lower goes first, field by field. */
export interface Urgency {
    readonly step: Step;
    readonly queue: QueueConfig;
    /** Whether it is a gang whose other members hold their room already. */
    readonly isRepair: boolean;
    /** 0 while the objective can be met, 1 while a late answer still helps, 2 beyond. */
    readonly lateness: 0 | 1 | 2;
    /** Wall-clock time at which the job has to be done for its objective. */
    readonly dueAt: number;
    /** How much later the step could begin for that; negative where it is too late. */
    readonly slackMs: Millis;
}

/** A job is worth something to its caller until this many times its objective has passed. */
const LATE_FACTOR = 3;

/**
 * Estimates the time from acceptance within which a job is to be done.
 * @param steps - Its steps.
 * @param queue - Its queue.
 * @param predictMs - What to expect of an estimate.
 */
export function estimateObjectiveMs(
    steps: readonly StepSpec[],
    queue: QueueConfig,
    predictMs: (estimateMs: Millis) => Millis,
): Millis {
    return queue.stretch * computeCriticalPathMs(steps, predictMs) + queue.targetMs;
}

/**
 * Ranks a step.
 *
 * @remarks The load this answers: bursts in which more work waits than the workers can do in time. Work that can
 * still meet its objective goes before work that cannot any more, else the queue's head is always late work and
 * every job behind it becomes late too.
 * @param step - A step with something to start.
 * @param queue - Its queue.
 * @param wallNow - Wall-clock time.
 * @param predictMs - What to expect of an estimate; the estimate itself where left out.
 */
export function rankStep(
    step: Step,
    queue: QueueConfig,
    wallNow: number,
    predictMs: (estimateMs: Millis) => Millis = estimate => estimate,
): Urgency {
    const { job, repairRun } = step;
    const isRepair = repairRun !== undefined;
    const begin = Math.max(job.acceptedAt, step.occurrence.dueAt);
    const specs = step.occurrence.steps.map(other => other.spec);
    const objective = estimateObjectiveMs(specs, queue, predictMs);
    const dueAt = begin + objective;
    const endAt = wallNow + computeCriticalPathFromMs(specs, step.number, predictMs);
    const slackMs = dueAt - endAt;
    if (slackMs >= 0) {
        return { step, queue, isRepair, lateness: 0, dueAt, slackMs };
    }
    const lateness = endAt <= begin + LATE_FACTOR * objective ? 1 : 2;
    return { step, queue, isRepair, lateness, dueAt, slackMs };
}

/**
 * Compares two steps: gangs that wait for members first, then on time before late, then the queue's priority, then what
 * is due first.
 */
export function compareUrgency(left: Urgency, right: Urgency): number {
    return Number(right.isRepair) - Number(left.isRepair) ||
        left.lateness - right.lateness ||
        left.queue.priority - right.queue.priority ||
        left.dueAt - right.dueAt;
}
