/** The capacity that is available to one waiting step, and which step uses most of the rest. */
import type { Millis } from "../../common/clock.js";
import { countFitting } from "../../common/resources.js";
import type { StepPermits } from "../dispatch/permits.js";
import type { PoolView, Slot } from "../dispatch/pool-view.js";
import type { Step } from "../jobs/job.js";

/** Capacity available to one step. */
export interface StepCapacity {
    /** Number of usable workers in the pool. */
    readonly poolUsable: number;
    /** Number of usable workers that are suitable for the step and permitted to run it. */
    readonly usable: number;
    /** Number of the step's tasks for which they have free capacity now. */
    readonly places: number;
    /** Number of these places with a valid permit. */
    readonly permittedPlaces: number;
    /** The step that uses most of these workers' processors; undefined if nothing runs there. */
    readonly mostTakenBy: string | undefined;
}

/**
 * Computes the capacity for a waiting step.
 * @param pool - The usable workers of its pool.
 * @param permits - Undefined if the queue needs no permits.
 * @param now - On this node's clock.
 */
export function computeStepCapacity(
    step: Step,
    pool: PoolView,
    permits: StepPermits | undefined,
    now: Millis,
): StepCapacity {
    const candidates = pool.slots.filter(slot =>
        slot.isSuitable(step) && (permits === undefined || permits.isAllowed(slot.id))
    );
    const permitted = candidates.filter(slot =>
        permits === undefined || permits.getUsable(slot.id, now) !== undefined
    );
    return {
        poolUsable: pool.slots.length,
        usable: candidates.length,
        places: sumPlaces(step, candidates),
        permittedPlaces: sumPlaces(step, permitted),
        mostTakenBy: findLargestUser(candidates),
    };
}

/** Counts the tasks that fit, at most as many as wait. */
function sumPlaces(step: Step, slots: readonly Slot[]): number {
    let places = 0;
    for (const slot of slots) {
        const fitting = countFitting(step.spec.demand, slot.free);
        places += Math.max(0, Math.min(fitting, slot.countPlacesLeft(step)));
    }
    return Math.min(places, step.waiting);
}

function findLargestUser(slots: readonly Slot[]): string | undefined {
    const usedCpu = new Map<string, number>();
    let largest: string | undefined;
    for (const { worker } of slots) {
        for (const { step, demand } of worker.runs.values()) {
            const sum = (usedCpu.get(step) ?? 0) + demand.cpuMillis;
            usedCpu.set(step, sum);
            if (largest === undefined || sum > (usedCpu.get(largest) ?? 0)) {
                largest = step;
            }
        }
    }
    return largest;
}
