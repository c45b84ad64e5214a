/** Waiting times between tries: exponential with jitter. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";

const FIRST_DELAY_MS = 50;
const LONGEST_DELAY_MS = 2_000;

/**
 * Computes the wait before the next try.
 * @param tries - Tries that have failed so far, at least 1.
 * @param random - For the jitter: entries that lost the store together must not come back together.
 * @returns Milliseconds: between half of and the whole of a delay that doubles up to a limit.
 */
export function computeBackoff(tries: number, random: Random): Millis {
    const delay = Math.min(LONGEST_DELAY_MS, FIRST_DELAY_MS * 2 ** (tries - 1));
    return delay / 2 + random.pickFraction() * (delay / 2);
}
