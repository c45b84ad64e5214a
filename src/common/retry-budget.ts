/**
 * Limits retries to a share of new requests.
 *
 * @remarks Without a limit, every caller would retry when its peers slow down or fail, and the retries would overload
 * them, or the caller's own link, further. A retry takes a token, and only new requests add tokens.
 */

/** Sizes of a budget, in tokens. */
export interface RetryBudgetSizes {
    /** The largest burst of retries after a quiet period. */
    readonly maxTokens: number;
    /** Tokens at the beginning, so that the first failures of a new process can be retried. */
    readonly initialTokens: number;
}

/** The retry budget of one kind of requests. */
export class RetryBudget {
    private tokens: number;

    constructor(private readonly sizes: RetryBudgetSizes) {
        this.tokens = sizes.initialTokens;
    }

    /**
     * Adds tokens for a new request.
     * @param retryShare - Retries allowed per new request, from 0 to 1.
     */
    recordRequest(retryShare: number): void {
        this.tokens = Math.min(this.sizes.maxTokens, this.tokens + retryShare);
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
