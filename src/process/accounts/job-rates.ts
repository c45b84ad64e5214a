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

/** Turns of refused jobs that are remembered at most; the oldest are dropped first. */
const MAX_TURNS = 20_000;
/** Time for which a turn is kept for a caller that comes later than it was told. */
const TURN_GRACE_MS: Millis = 10_000;

interface Bucket {
    /** Jobs to which the account is entitled at `at`; fractions accumulate. */
    jobs: number;
    at: Millis;
    /** Until when the account's rate is promised to jobs that were refused. */
    promisedUntil: Millis;
}

/** A job that was accepted, as far as its account's rate is concerned. */
export interface RatedJob {
    readonly account: string | undefined;
    readonly isBeyondRate: boolean;
    /** Wall-clock time. */
    readonly acceptedAt: number;
}

/**
 * Counts each account's jobs against its rate.
 *
 * @remarks The rate goes to jobs that were not refused before. If refused jobs that come back took it, an
 * account that sends many times its rate would have all of its jobs run late, and none in time.
 */
export class JobRates {
    private readonly buckets = new Map<string, Bucket>();
    /** When refused jobs are welcome, by job id, in the order in which they were refused. */
    private readonly turns = new Map<string, Millis>();
    /** Number of jobs that earlier leaders accepted lately, by account. */
    private readonly inherited = new Map<string, number>();

    /**
     * @param clock - For the rates.
     * @param accepted - Jobs that earlier leaders accepted; the latest ones count against the rates.
     */
    constructor(private readonly clock: Clock, accepted: Iterable<RatedJob> = []) {
        const oldest = clock.wallNow() - BURST_MS;
        for (const { account, isBeyondRate, acceptedAt } of accepted) {
            if (account !== undefined && !isBeyondRate && acceptedAt > oldest) {
                this.inherited.set(account, (this.inherited.get(account) ?? 0) + 1);
            }
        }
    }

    /** Counts a job that is accepted. */
    take(account: AccountConfig, jobId: string): void {
        const bucket = this.fillBucket(account);
        if (this.isEntitled(account, jobId)) {
            bucket.jobs -= 1;
        }
        this.turns.delete(jobId);
    }

    /** Returns whether an account is entitled to a job now; one that was refused, when its turn has come. */
    isEntitled(account: AccountConfig, jobId: string): boolean {
        const turn = this.turns.get(jobId);
        return turn === undefined ? this.fillBucket(account).jobs >= 1 : this.clock.now() >= turn;
    }

    /**
     * Returns after what time the account will be entitled to a job that is refused now. Jobs that are refused one after the
     * other are given different times; a job keeps the time that it was given first.
     */
    reserveTurn(account: AccountConfig, jobId: string): Millis {
        const now = this.clock.now();
        const known = this.turns.get(jobId);
        if (known !== undefined) {
            return Math.max(0, known - now);
        }
        const bucket = this.fillBucket(account);
        const intervalMs = SECOND_MS / Math.max(account.weight, Number.EPSILON);
        bucket.promisedUntil = Math.max(now, bucket.promisedUntil) + intervalMs;
        this.turns.set(jobId, bucket.promisedUntil);
        this.dropOldTurns(now);
        return bucket.promisedUntil - now;
    }

    private dropOldTurns(now: Millis): void {
        for (const [jobId, turn] of this.turns) {
            if (this.turns.size <= MAX_TURNS && turn + TURN_GRACE_MS > now) {
                return;
            }
            this.turns.delete(jobId);
        }
    }

    private fillBucket(account: AccountConfig): Bucket {
        const now = this.clock.now();
        const limit = Math.max(1, account.weight * BURST_MS / SECOND_MS);
        const bucket = this.buckets.get(account.name) ?? {
            jobs: limit - (this.inherited.get(account.name) ?? 0),
            at: now,
            promisedUntil: now,
        };
        bucket.jobs = Math.min(limit, bucket.jobs + (now - bucket.at) * account.weight / SECOND_MS);
        bucket.at = now;
        this.buckets.set(account.name, bucket);
        return bucket;
    }
}
