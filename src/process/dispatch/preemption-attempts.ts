/** Tracks when gangs that lack capacity last attempted a preemption, and holds the capacity that it frees. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";
import type { PoolView, Slot } from "./pool-view.js";

/**
 * Interval between the attempts of a gang: an attempt takes a millisecond, and each ended run changes which
 * runs could be stopped.
 */
const ATTEMPT_INTERVAL_MS: Millis = 100;
/** Time for which freed capacity is held. Longer than this, more capacity stands idle than repeated stops would cost. */
const PREEMPTION_TIME_MS: Millis = 500;

interface Attempt {
    readonly at: Millis;
    /** Members that the gang will have on each worker once the stopped runs have ended; undefined if it found too few. */
    readonly members: ReadonlyMap<string, number> | undefined;
}

/** Preemption attempts of one leader, across passes. */
export class PreemptionAttempts {
    private readonly attempts = new WeakMap<Step, Attempt>();

    /** Tells whether a step may attempt a preemption again. */
    isDue(step: Step, now: Millis): boolean {
        const attempt = this.attempts.get(step);
        return attempt === undefined || now - attempt.at >= ATTEMPT_INTERVAL_MS;
    }

    /**
     * Deducts the capacity that is being freed for a gang from what others may use in a pass: less urgent tasks would take
     * each piece as it comes free, and the gang would stop others for it again and again.
     * @returns Whether runs are being stopped for the step.
     */
    hold(step: Step, pool: PoolView, now: Millis): boolean {
        const attempt = this.attempts.get(step);
        if (attempt?.members === undefined || now - attempt.at >= PREEMPTION_TIME_MS) {
            return false;
        }
        for (const [workerId, count] of attempt.members) {
            const slot = pool.get(workerId);
            for (let placed = slot?.countPlaced(step) ?? count; placed < count; placed++) {
                slot?.take(step);
            }
        }
        return true;
    }

    /**
     * Records an attempt.
     * @param slots - The worker of each member afterwards; undefined if too few runs could be stopped for the whole gang.
     */
    observe(step: Step, now: Millis, slots: readonly Slot[] | undefined): void {
        const members = slots && new Map<string, number>();
        slots?.forEach(({ id }) => members?.set(id, (members.get(id) ?? 0) + 1));
        this.attempts.set(step, { at: now, members });
    }
}
