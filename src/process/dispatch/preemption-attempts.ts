/** Tracks when gangs that lack capacity last attempted a preemption, and holds the capacity that it frees. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";
import { countMembers, takePlaces } from "./gang-assemblies.js";
import type { AssemblyChange, FreedCapacity } from "./gang-assemblies.js";
import type { PoolView, Slot } from "./pool-view.js";

/**
 * Interval between the attempts of a gang: an attempt takes a millisecond, and each ended run changes which
 * runs could be stopped.
 */
const ATTEMPT_INTERVAL_MS: Millis = 100;
/** Time for which freed capacity is held. Longer than this, more capacity stands idle than repeated stops would cost. */
export const PREEMPTION_TIME_MS: Millis = 500;

interface Attempt {
    readonly at: Millis;
    /** Members that the gang will have on each worker once the stopped runs have ended; undefined if it found too few. */
    readonly members: ReadonlyMap<string, number> | undefined;
}

/** Preemption attempts of one leader, across passes. */
export class PreemptionAttempts implements FreedCapacity {
    /** Stops are so short that a permit which is valid now will do. */
    readonly leadMs = 0;
    readonly maxDeferredShare = Infinity;
    private readonly attempts = new WeakMap<Step, Attempt>();

    /** Capacity is withheld in the order of urgency only. */
    holdAll(): void {}

    count(): number {
        return 0;
    }

    has(): boolean {
        return false;
    }

    release(): void {}

    takeChanges(): readonly AssemblyChange[] {
        return [];
    }

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
        takePlaces(step, pool, attempt.members);
        return true;
    }

    /**
     * Records an attempt.
     * @param slots - The worker of each member afterwards; undefined if too few runs could be stopped for the whole gang.
     */
    observe(step: Step, now: Millis, slots: readonly Slot[] | undefined): void {
        this.attempts.set(step, { at: now, members: slots && countMembers(slots) });
    }
}
