/** Limits of the home role. They are not settings: they follow from the sizes in docs/CAPACITY.md. */
import type { Millis } from "../../common/clock.js";

/** Limits of the home role. */
export interface HomeOptions {
    /** Number of keys in the ring of a slice that is opened for the first time. */
    readonly slots: number;
    /** Maximum number of orders of one slice waiting at one placer; twice as many for urgent ones. */
    readonly placerWindow: number;
    /** Interval between rounds of offers. */
    readonly tickMs: Millis;
    /** Maximum number of offers in one round. */
    readonly offersPerTick: number;
    /** Maximum number of withdrawals in one round, so that many cancellations at once cannot delay offers. */
    readonly withdrawalsPerTick: number;
    /** Time after which an unconfirmed order is sent again. */
    readonly resendMs: Millis;
    /** Maximum number of jobs of one slice that have not ended. */
    readonly maxOpenJobs: number;
    /** Maximum number of pending requests of one slice. */
    readonly maxOpenRequests: number;
    /** Maximum number of callers that wait for an end. */
    readonly maxWaiters: number;
    /** Timeout of a caller's write, after which the caller learns that the store is unavailable. */
    readonly writeTimeoutMs: Millis;
    /** Time for which a placer holds capacity for a gang. */
    readonly gangHoldMs: Millis;
    /** Timeout of one call to a placer. */
    readonly callTimeoutMs: Millis;
}

/** Limits in force unless a test or bench overrides them. */
export const DEFAULT_HOME_OPTIONS: HomeOptions = {
    slots: 256,
    placerWindow: 32,
    tickMs: 50,
    offersPerTick: 256,
    withdrawalsPerTick: 500,
    resendMs: 2_000,
    maxOpenJobs: 5_000,
    maxOpenRequests: 2_000,
    maxWaiters: 2_000,
    writeTimeoutMs: 3_000,
    gangHoldMs: 5_000,
    callTimeoutMs: 1_000,
};
