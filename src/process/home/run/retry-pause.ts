/** How long tasks wait before they start again. Pure. */
import type { Millis } from "../../../common/clock.js";

export const RETRY_BASE_MS: Millis = 500;
const LONGEST_RETRY_MS: Millis = 30_000;

/**
 * Computes the pause before the next attempt.
 * @param count - Attempts in a row that ended badly, from 1.
 */
export function computeRetryPause(count: number): Millis {
    return Math.min(LONGEST_RETRY_MS, RETRY_BASE_MS * 2 ** (count - 1));
}

/**
 * Computes the pause after a task was lost with its worker.
 *
 * @remarks Failure guarded against: a task crashes each worker that starts it, one after the other, as a loss is no failure.
 * @param count - Losses in a row, from 1.
 */
export function computeLossPause(count: number): Millis {
    return count <= 1 ? 0 : computeRetryPause(count - 1);
}
