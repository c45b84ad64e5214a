/** Scores workers as places for a task. */
import type { Step, Task } from "../jobs/job.js";
import type { Slot } from "./pool-view.js";

/**
 * Weights in units of a whole worker's processors. A worker on which the task has failed is the last choice.
 */
const FAILED_HERE_PENALTY = 4;
const REMOTE_DATA_PENALTY = 2;
/**
 * Workers differ in speed permanently by up to 1.6 to 1, and by 5 to 1 in slow spells. At this weight a
 * worker that takes twice as long is chosen only if any other would be left with two thirds more of its
 * processors free.
 */
const SLOWNESS_WEIGHT = 1;
/** Renewing a permit costs a request of up to half a second. */
const EXPIRED_PERMIT_PENALTY = 1;

/** A worker with enough free capacity for a task. */
export interface Place {
    readonly step: Step;
    readonly task: Task;
    readonly slot: Slot;
    /** Whether the task may start there without a permit request. */
    readonly isPermitted: boolean;
}

/**
 * Computes the score of a place; lower is better. The fullest worker scores best, so that large gaps remain
 * for gangs.
 */
export function computePlaceScore({ step, task, slot, isPermitted }: Place): number {
    const { demand, dataRack } = step.spec;
    let score = (slot.free.cpuMillis - demand.cpuMillis) / slot.capacity.cpuMillis;
    score += SLOWNESS_WEIGHT * slot.slowness;
    if (task.failedOn.has(slot.id)) {
        score += FAILED_HERE_PENALTY;
    }
    if (dataRack !== undefined && slot.worker.record.rack !== dataRack) {
        score += REMOTE_DATA_PENALTY;
    }
    return isPermitted ? score : score + EXPIRED_PERMIT_PENALTY;
}
