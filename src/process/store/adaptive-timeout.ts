/** Adaptive timeout for calls to the store, derived from its recent response times. */
import type { Millis } from "../../common/clock.js";

const MIN_TIMEOUT_MS = 1_000;
const MAX_TIMEOUT_MS = 15_000;
/** Timeout as a multiple of the smoothed response time. */
const TIMEOUT_MULTIPLIER = 4;
/** Weight of a new sample in the smoothed response time (exponential moving average). */
const SMOOTHING_WEIGHT = 0.25;

/**
 * Timeout for calls to a store whose response time varies.
 *
 * @remarks With a fixed timeout, a store slower than it would apply every write but no answer would arrive in
 * time, so every write would end as `unknown`. Each timeout therefore doubles the next one, and each answer
 * resets it to a multiple of the response time.
 */
export class AdaptiveTimeout {
    private smoothedResponseTime: Millis = 0;
    private current: Millis;

    /** @param minTimeout - Initial and minimum timeout, in milliseconds. */
    constructor(private readonly minTimeout: Millis = MIN_TIMEOUT_MS) {
        this.current = minTimeout;
    }

    /** Returns the timeout for the next call, in milliseconds. */
    get(): Millis {
        return this.current;
    }

    /** Records the response time of an answered call. */
    observeAnswer(responseTime: Millis): void {
        this.smoothedResponseTime += (responseTime - this.smoothedResponseTime) * SMOOTHING_WEIGHT;
        const desired = Math.max(responseTime, this.smoothedResponseTime) * TIMEOUT_MULTIPLIER;
        this.current = Math.min(MAX_TIMEOUT_MS, Math.max(this.minTimeout, desired));
    }

    /** Records that a call with this timeout was not answered. */
    observeTimeout(timeout: Millis): void {
        this.current = Math.min(MAX_TIMEOUT_MS, Math.max(this.current, timeout * 2));
    }
}
