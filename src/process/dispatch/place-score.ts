/** How good a worker is as the place of a task. Pure. */
import type { Step, Task } from "../jobs/job.js";
import type { Slot } from "./pool-view.js";

/** Weights in units of a whole worker's processors: a worker that failed the task is the last choice. */
const FAILED_HERE_PENALTY = 4;
const FAR_DATA_PENALTY = 2;
/**
 * Workers differ in speed by up to 1.6 to 1 for good, and by 5 to 1 in slow spells; a worker that takes twice as long is
 * chosen only where others would be left with a hole of two thirds of their processors.
 */
const SLOWNESS_WEIGHT = 1;
/** A permit that has to be asked for again costs a question of up to half a second. */
const EXPIRED_PERMIT_PENALTY = 1;

/** A worker that has room for a task. */
export interface Place {
    readonly step: Step;
    readonly task: Task;
    readonly slot: Slot;
    /** Whether nothing has to be asked before the task may start there. */
    readonly isPermitted: boolean;
}

/** Computes the score of a place; lower is better. The fullest worker is best, so that large holes stay for gangs. */
export function computePlaceScore({ step, task, slot, isPermitted }: Place): number {
    const { demand, dataRack } = step.spec;
    let score = (slot.free.cpuMillis - demand.cpuMillis) / slot.capacity.cpuMillis;
    score += SLOWNESS_WEIGHT * slot.slowness;
    if (task.failedOn.has(slot.id)) {
        score += FAILED_HERE_PENALTY;
    }
    if (dataRack !== undefined && slot.worker.record.rack !== dataRack) {
        score += FAR_DATA_PENALTY;
    }
    return isPermitted ? score : score + EXPIRED_PERMIT_PENALTY;
}
