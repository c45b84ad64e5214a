/** The order in which waiting steps are served. */
import type { Millis } from "../../common/clock.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { computeCriticalPathMs, computeCriticalPathsFromMs } from "../jobs/job-spec.js";
import type { StepSpec } from "../jobs/job-spec.js";
import type { Step } from "../jobs/job.js";

/** Rank of a step; lower goes first, field by field. */
export interface Urgency {
    readonly step: Step;
    readonly queue: QueueConfig;
    /** Whether it is a gang whose other members have been started already. */
    readonly isRepair: boolean;
    /**
     * 0 while the objective can be met, 1 while a late result is still of use, 2 beyond that and for jobs beyond their
     * account's rate.
     */
    readonly lateness: 0 | 1 | 2;
    /** Whether its client account uses more than its share of the workers; false by default. */
    readonly isBeyondShare?: boolean | undefined;
    /** Wall-clock time from which the objective counts. */
    readonly startAt: number;
    /** Wall-clock time by which the job has to be done to meet its objective. */
    readonly dueAt: number;
    /** How much later the step could start and still meet the objective; negative if it is too late. */
    readonly slackMs: Millis;
    /**
     * Since when, on the leader's clock, the task that has waited longest could have started; undefined if it was not
     * observed.
     */
    readonly readyAt?: Millis | undefined;
}

/** A job's result is of use to its caller until this many times its objective has passed. */
const LATE_FACTOR = 3;

/**
 * Estimates a job's objective: the time from acceptance within which it should be done.
 * @param predictMs - Returns the expected run time for a caller's estimate.
 */
export function estimateObjectiveMs(
    steps: readonly StepSpec[],
    queue: QueueConfig,
    predictMs: (estimateMs: Millis) => Millis,
): Millis {
    return queue.stretch * computeCriticalPathMs(steps, predictMs) + queue.targetMs;
}

/** Expected durations of a job, which all its steps share. */
export interface ExpectedDurations {
    /** Time from acceptance within which the job should be done. */
    readonly objectiveMs: Millis;
    /** For each step, the time until the job is done once the step starts. */
    readonly fromMs: readonly Millis[];
}

/**
 * Predicts the durations of a step's job.
 * @param predictMs - Returns the expected run time for a caller's estimate.
 */
export function estimateDurations(
    { occurrence }: Step,
    queue: QueueConfig,
    predictMs: (estimateMs: Millis) => Millis,
): ExpectedDurations {
    const specs = occurrence.steps.map(other => other.spec);
    return {
        objectiveMs: estimateObjectiveMs(specs, queue, predictMs),
        fromMs: computeCriticalPathsFromMs(specs, predictMs),
    };
}

/**
 * Ranks a step that has a task to start.
 *
 * @remarks In bursts more work waits than the workers can do in time. Work that can still meet its objective
 * goes before work that cannot, as otherwise late work always heads the queue and every job behind it becomes
 * late too.
 * @param wallNow - Wall-clock time.
 * @param expected - Expected durations of its job; by default from the caller's estimates.
 * @param waitedMs - For how long the task that has waited longest could have started.
 */
export function rankStep(
    step: Step,
    queue: QueueConfig,
    wallNow: number,
    expected: ExpectedDurations = estimateDurations(step, queue, estimate => estimate),
    waitedMs: Millis = Infinity,
): Urgency {
    const isRepair = step.repairRun !== undefined;
    const startAt = computeStartAt(step, wallNow - waitedMs);
    const { objectiveMs } = expected;
    const dueAt = startAt + objectiveMs;
    const endAt = wallNow + (expected.fromMs[step.number] ?? 0);
    const slackMs = dueAt - endAt;
    if (step.job.isBeyondRate) {
        return { step, queue, isRepair, lateness: 2, startAt, dueAt, slackMs };
    }
    if (slackMs >= 0) {
        return { step, queue, isRepair, lateness: 0, startAt, dueAt, slackMs };
    }
    const lateness = endAt <= startAt + LATE_FACTOR * objectiveMs ? 1 : 2;
    return { step, queue, isRepair, lateness, startAt, dueAt, slackMs };
}

/** Computes the objective from which a step was ranked. */
export function computeObjectiveMs({ startAt, dueAt }: Urgency): Millis {
    return dueAt - startAt;
}

/**
 * Computes the wall-clock time from which a step is timed: its job's acceptance, and for a long-running step, whose job is
 * never done, the time from which its task could have started.
 */
function computeStartAt({ job, occurrence, spec }: Step, readyAt: number): number {
    const acceptedAt = Math.max(job.acceptedAt, occurrence.dueAt);
    return spec.isLongRunning ? Math.max(acceptedAt, readyAt) : acceptedAt;
}

/**
 * Compares two steps: gangs with missing members first, then on time before late, then accounts within their share, then
 * by the queue's priority, then by due time.
 */
export function compareUrgency(left: Urgency, right: Urgency): number {
    return Number(right.isRepair) - Number(left.isRepair) ||
        left.lateness - right.lateness ||
        compareShare(left, right) ||
        left.queue.priority - right.queue.priority ||
        left.dueAt - right.dueAt;
}

/** Compares by client account: those within their share of the workers first. */
export function compareShare(
    left: Pick<Urgency, "isBeyondShare">,
    right: Pick<Urgency, "isBeyondShare">,
): number {
    return Number(left.isBeyondShare ?? false) - Number(right.isBeyondShare ?? false);
}
