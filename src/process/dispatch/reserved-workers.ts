/**
 * Which workers are kept for tasks that must run alone. Pure.
 *
 * @remarks The load this answers: a pool in which each worker always runs something. A task that needs a worker for itself would
 * wait for ever, and its job with it, so one worker is left to run empty.
 */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";
import type { PoolView, Slot } from "./pool-view.js";

/** Workers for each one that is left to run empty. */
const WORKERS_PER_DRAINING = 16;
/** A worker is left to run empty only if that takes no longer. */
const LONGEST_WAIT_MS: Millis = 10_000;

/** Where a step's tasks that must run alone are looked for a place. */
export interface ReservedSearch {
    readonly step: Step;
    /** Workers that may run it. */
    readonly candidates: readonly Slot[];
    /** Knows how many workers are left to run empty already. */
    readonly pool: PoolView;
    readonly now: Millis;
}

/**
 * Chooses a worker for a task that must run alone: an idle one, else the one with the fewest runs.
 * @returns Undefined where none may be kept.
 */
export function chooseReserved({ step, candidates, pool, now }: ReservedSearch): Slot | undefined {
    const open = candidates.filter(slot => slot.isOpenTo(step) && !slot.isReserved);
    const idle = open.find(slot => slot.canTakeAlone(step));
    const limit = Math.max(1, Math.floor(pool.slots.length / WORKERS_PER_DRAINING));
    if (idle !== undefined || pool.countDraining() >= limit) {
        return idle;
    }
    return chooseFewestRuns(open.filter(slot => canBecomeIdle(slot, now)));
}

/** Tells whether all runs of a worker, if it has any, will probably end soon. */
export function canBecomeIdle({ worker }: Slot, now: Millis): boolean {
    return [...worker.runs.values()].every(({ isLasting, expectedMs, orderedAt }) => {
        const leftMs = expectedMs === Infinity ? 0 : orderedAt + expectedMs - now;
        return !isLasting && leftMs <= LONGEST_WAIT_MS;
    });
}

function chooseFewestRuns(slots: readonly Slot[]): Slot | undefined {
    return slots.reduce<Slot | undefined>(
        (best, slot) => best === undefined || slot.worker.runs.size < best.worker.runs.size ? slot : best,
        undefined,
    );
}
