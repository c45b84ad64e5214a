/**
 * Reserves workers for tasks that must run exclusively.
 *
 * @remarks In a pool where each worker always runs something, a task that needs a worker for itself would
 * wait forever, and its job with it. So a worker is drained for it.
 */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";
import type { PoolView, Slot } from "./pool-view.js";

/** Workers in the pool for each one that may be drained at a time. */
const WORKERS_PER_DRAINING_WORKER = 16;
/** Longest time for which a worker is drained. */
const MAX_DRAIN_MS: Millis = 10_000;

/** What a reservation for a step's exclusive tasks is made from. */
export interface ReservedSearch {
    readonly step: Step;
    /** Workers that may run it. */
    readonly candidates: readonly Slot[];
    /** Knows how many workers are being drained. */
    readonly pool: PoolView;
    readonly now: Millis;
}

/**
 * Chooses a worker for a task that must run exclusively: an idle one, else the one with the fewest runs.
 * @returns Undefined if none may be reserved.
 */
export function chooseReserved({ step, candidates, pool, now }: ReservedSearch): Slot | undefined {
    const open = candidates.filter(slot => slot.isOpenTo(step) && !slot.isReserved);
    const idle = open.find(slot => slot.canTakeAlone(step));
    const limit = Math.max(1, Math.floor(pool.slots.length / WORKERS_PER_DRAINING_WORKER));
    if (idle !== undefined || pool.countDraining() >= limit) {
        return idle;
    }
    return chooseFewestRuns(open.filter(slot => canBecomeIdle(slot, now)));
}

/** Tells whether all runs of a worker, if any, will probably end soon. */
export function canBecomeIdle({ worker }: Slot, now: Millis): boolean {
    return [...worker.runs.values()].every(({ isOpenEnded, expectedMs, orderedAt }) => {
        const leftMs = expectedMs === Infinity ? 0 : orderedAt + expectedMs - now;
        return !isOpenEnded && leftMs <= MAX_DRAIN_MS;
    });
}

function chooseFewestRuns(slots: readonly Slot[]): Slot | undefined {
    return slots.reduce<Slot | undefined>(
        (best, slot) => best === undefined || slot.worker.runs.size < best.worker.runs.size ? slot : best,
        undefined,
    );
}
