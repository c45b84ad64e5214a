/**
 * Distinguishes jobs to which client accounts are entitled from those beyond their rate.
 *
 * @remarks Answers the load of an account that sends many times its usual: what it sends beyond its rate is run while
 * there is room for it, behind the work of all others, and is refused first.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { AccountConfig } from "../../version/cluster-config.js";

/** Time for which an account may save up its rate. */
const BURST_MS: Millis = 1_000;
const SECOND_MS: Millis = 1_000;

interface Bucket {
    /** Jobs to which the account is entitled at `at`; fractions accumulate. */
    jobs: number;
    at: Millis;
    /** Until when the account's rate is promised to jobs that were refused. */
    promisedUntil: Millis;
}

/** Counts each account's jobs against its rate. */
export class JobRates {
    private readonly buckets = new Map<string, Bucket>();

    constructor(private readonly clock: Clock) {}

    /** Counts a job; returns whether the account was entitled to it. */
    take(account: AccountConfig): boolean {
        const bucket = this.fillBucket(account);
        if (bucket.jobs < 1) {
            return false;
        }
        bucket.jobs -= 1;
        return true;
    }

    /** Returns whether an account is entitled to a job now. */
    isEntitled(account: AccountConfig): boolean {
        return this.fillBucket(account).jobs >= 1;
    }

    /**
     * Returns after what time the account will be entitled to a job that is refused now. Jobs that are refused one after the
     * other are given different times.
     */
    reserveTurn(account: AccountConfig): Millis {
        const bucket = this.fillBucket(account);
        const now = this.clock.now();
        const intervalMs = SECOND_MS / Math.max(account.weight, Number.EPSILON);
        bucket.promisedUntil = Math.max(now, bucket.promisedUntil) + intervalMs;
        return bucket.promisedUntil - now;
    }

    private fillBucket(account: AccountConfig): Bucket {
        const now = this.clock.now();
        const limit = Math.max(1, account.weight * BURST_MS / SECOND_MS);
        const bucket = this.buckets.get(account.name) ?? { jobs: limit, at: now, promisedUntil: now };
        bucket.jobs = Math.min(limit, bucket.jobs + (now - bucket.at) * account.weight / SECOND_MS);
        bucket.at = now;
        this.buckets.set(account.name, bucket);
        return bucket;
    }
}
