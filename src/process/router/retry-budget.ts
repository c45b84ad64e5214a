/**
 * Limits retries to a share of new requests.
 *
 * @remarks Without a limit, every gateway would retry when workers slow down or fail, and the retries would
 * overload the workers further. A retry takes a token, and only new requests add tokens. This is the only
 * layer that retries service requests, so the limit is not multiplied by retries elsewhere.
 */

/** Maximum number of tokens: the largest burst of retries after a quiet period. */
const MAX_TOKENS = 100;
/** Initial number of tokens, so that the first failures of a new process can be retried. */
const INITIAL_TOKENS = 10;

/** The retry budget of one branch at one gateway. */
export class RetryBudget {
    private tokens = INITIAL_TOKENS;

    /**
     * Adds tokens for a new request.
     * @param retryShare - Retries allowed per new request, from 0 to 1.
     */
    recordRequest(retryShare: number): void {
        this.tokens = Math.min(MAX_TOKENS, this.tokens + retryShare);
    }

    /**
     * Takes a token if one is left.
     * @returns Whether there was one.
     */
    tryTake(): boolean {
        if (this.tokens < 1) {
            return false;
        }
        this.tokens--;
        return true;
    }
}
