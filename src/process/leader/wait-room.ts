/** How much room there is for one waiting step, and who has most of what is taken. */
import type { Millis } from "../../common/clock.js";
import type { StepPermits } from "../dispatch/permits.js";
import type { PoolView, Slot } from "../dispatch/pool-view.js";
import { countFitting } from "../dispatch/question-size.js";
import type { Step } from "../jobs/job.js";

/** Room for one step. */
export interface WaitRoom {
    /** Usable workers of the pool. */
    readonly poolUsable: number;
    /** Usable workers that may and could run the step. */
    readonly usable: number;
    /** Tasks of the step for which they have room now. */
    readonly places: number;
    /** Those of them for which no permit lacks or has run out. */
    readonly permittedPlaces: number;
    /** Step that has most of these workers' processors; undefined where nothing runs there. */
    readonly mostTakenBy: string | undefined;
}

/**
 * Computes the room for a step.
 * @param step - A step that waits.
 * @param pool - The usable workers of its pool.
 * @param permits - What the advice service has said; undefined where the queue needs no permits.
 * @param now - On our clock.
 */
export function computeWaitRoom(
    step: Step,
    pool: PoolView,
    permits: StepPermits | undefined,
    now: Millis,
): WaitRoom {
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
        mostTakenBy: findLargestTaker(candidates),
    };
}

/** Sums up the tasks that fit; more than wait are of no use. */
function sumPlaces(step: Step, slots: readonly Slot[]): number {
    let places = 0;
    for (const slot of slots) {
        const fitting = countFitting(step.spec.demand, slot.free);
        places += Math.max(0, Math.min(fitting, slot.countPlacesLeft(step)));
    }
    return Math.min(places, step.waiting);
}

function findLargestTaker(slots: readonly Slot[]): string | undefined {
    const taken = new Map<string, number>();
    let largest: string | undefined;
    for (const { worker } of slots) {
        for (const { step, demand } of worker.runs.values()) {
            const sum = (taken.get(step) ?? 0) + demand.cpuMillis;
            taken.set(step, sum);
            if (largest === undefined || sum > (taken.get(largest) ?? 0)) {
                largest = step;
            }
        }
    }
    return largest;
}
