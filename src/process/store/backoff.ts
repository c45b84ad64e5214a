/** Delays between attempts: exponential backoff with jitter. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";

const INITIAL_DELAY_MS = 50;
const MAX_DELAY_MS = 2_000;

/**
 * Computes the delay before the next attempt.
 * @param attempts - Number of failed attempts so far, at least 1.
 * @param random - Source of the jitter, which keeps entries that lost the store at the same time from
 * retrying together.
 * @returns Milliseconds: between 50% and 100% of a delay that doubles up to a limit.
 */
export function computeBackoff(attempts: number, random: Random): Millis {
    const delay = Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** (attempts - 1));
    return delay / 2 + random.pickFraction() * (delay / 2);
}
