/** Backoff of tasks that failed or were lost with their workers. */
import type { Millis } from "../../../common/clock.js";

export const RETRY_BASE_MS: Millis = 500;
const MAX_RETRY_MS: Millis = 30_000;

/**
 * Computes the backoff before the next attempt.
 * @param count - Consecutive failed attempts, from 1.
 */
export function computeRetryBackoff(count: number): Millis {
    return Math.min(MAX_RETRY_MS, RETRY_BASE_MS * 2 ** (count - 1));
}

/**
 * Computes the backoff after a task was lost with its worker; none after the first loss.
 *
 * @remarks A loss does not count as a failure, so `maxAttempts` does not limit losses. Without this backoff, a task
 * that crashes its worker would quickly take down one worker after the other.
 * @param count - Consecutive losses, from 1.
 */
export function computeLossBackoff(count: number): Millis {
    return count <= 1 ? 0 : computeRetryBackoff(count - 1);
}
