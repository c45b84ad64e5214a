/** Limits of the home role. Operators do not set them: they follow from the sizes in docs/CAPACITY.md. */
import type { Millis } from "../../common/clock.js";

/** Limits of the home role. */
export interface HomeOptions {
    /** Keys of the ring of a slice that nobody has opened yet. */
    readonly slots: number;
    /** Orders that one slice has waiting at one placer at most; urgent ones may fill it twice. */
    readonly placerWindow: number;
    /** Time between two rounds of offers. */
    readonly tickMs: Millis;
    /** Offers of one round at most. */
    readonly offersPerTick: number;
    /** Withdrawals of one round at most, so that a wave of cancellations cannot hold up offers. */
    readonly withdrawalsPerTick: number;
    /** Time after which an order that was not confirmed is sent again. */
    readonly resendMs: Millis;
    /** Jobs of one slice without an end at most. */
    readonly maxOpenJobs: number;
    /** Requests of one slice under way at most. */
    readonly maxOpenRequests: number;
    /** Callers that wait for an end at most. */
    readonly maxWaiters: number;
    /** Time for a caller's write before the caller is told that the store is away. */
    readonly writePatienceMs: Millis;
    /** Time that a hold for a gang lasts at a placer. */
    readonly gangHoldMs: Millis;
    /** Time for one call to a placer. */
    readonly callTimeoutMs: Millis;
}

/** Limits that hold unless a test or bench changes them. */
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
    writePatienceMs: 3_000,
    gangHoldMs: 5_000,
    callTimeoutMs: 1_000,
};
