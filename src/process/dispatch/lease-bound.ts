/** Bounds, on the leader's clock, how long a lease lasts that is measured on a worker's clock. */
import type { Millis } from "../../common/clock.js";

/**
 * A worker's clock may be slower than the leader's by 2%; another 1% and the margin cover the estimate of its
 * time.
 */
const CLOCK_FACTOR = 1.03;
const CLOCK_MARGIN_MS: Millis = 300;

/** Returns the time on the leader's clock after which a lease granted now has certainly expired. */
export function computeLeaseBound(leaseMs: Millis): Millis {
    return leaseMs * CLOCK_FACTOR + CLOCK_MARGIN_MS;
}
