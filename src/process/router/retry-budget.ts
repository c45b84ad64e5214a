/**
 * Bounds retries to a share of fresh requests.
 *
 * @remarks The failure it guards against: workers that slow down or fail make every front try again, and the
 * retries finish them off. It shows as load on workers above what callers sent. The guard holds because a retry
 * takes a token and only fresh requests bring tokens; this is the only layer that retries service requests.
 */

/** Tokens kept at most: retries that may come in a burst after a quiet time. */
const MAX_TOKENS = 100;
/** Tokens at the start, so that the first failures of a new process can be retried. */
const FIRST_TOKENS = 10;

/** The retry budget of one branch at one front. */
export class RetryBudget {
    private tokens = FIRST_TOKENS;

    /** Counts a fresh request. @param retryShare - Retries allowed for each, from 0 to 1. */
    recordFresh(retryShare: number): void {
        this.tokens = Math.min(MAX_TOKENS, this.tokens + retryShare);
    }

    /** Takes a token; returns whether there was one. */
    tryTake(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
