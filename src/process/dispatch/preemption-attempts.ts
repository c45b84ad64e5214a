/** Tracks when gangs that lack capacity last attempted a preemption, and the result. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";

/**
 * Interval between the attempts of a gang: an attempt takes a millisecond, and each ended run changes which
 * runs could be stopped.
 */
const ATTEMPT_INTERVAL_MS: Millis = 100;
/** Time that a preemption may take: a stop takes up to 0.4 s, and its end is known 0.1 s later. */
const PREEMPTION_TIME_MS: Millis = 500;

interface Attempt {
    readonly at: Millis;
    readonly isPreempting: boolean;
}

/** Preemption attempts of one leader, across passes. */
export class PreemptionAttempts {
    private readonly attempts = new WeakMap<Step, Attempt>();

    /** Tells whether a step may attempt a preemption again. */
    isDue(step: Step, now: Millis): boolean {
        const attempt = this.attempts.get(step);
        return attempt === undefined || now - attempt.at >= ATTEMPT_INTERVAL_MS;
    }

    /** Tells whether runs are being stopped for a step. */
    isPreempting(step: Step, now: Millis): boolean {
        const attempt = this.attempts.get(step);
        return attempt?.isPreempting === true && now - attempt.at < PREEMPTION_TIME_MS;
    }

    /**
     * Records an attempt.
     * @param isPreempting - Whether enough runs could be stopped for the whole step.
     */
    observe(step: Step, now: Millis, isPreempting: boolean): void {
        this.attempts.set(step, { at: now, isPreempting });
    }
}
