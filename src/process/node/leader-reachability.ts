/** Decides when a node claims the leadership of a leader that it cannot reach. */
import type { Millis } from "../../common/clock.js";
import type { LeaderView } from "../leadership/leader-record.js";

/** Consecutive refused connections after which a leader counts as dead. */
const REFUSALS_BEFORE_CLAIM = 2;
/** For this long a deposed leader makes no claim after refused connections: it may be partitioned itself. */
const DEPOSED_BACKOFF_MS: Millis = 3_000;
/**
 * How long a leader with a live lease may be unreachable before this node claims; doubles with each claim
 * made for this reason.
 */
const UNREACHABLE_TIMEOUT_MS: Millis = 2_500;

/** A link that was lost longer ago than this says nothing about the leader's present state. */
const RECENT_LOSS_MS: Millis = 1_500;

/**
 * Tracks the attempts to reach the leader and decides when to claim the leadership.
 *
 * @remarks Two nodes that reach the store but not each other could claim the leadership from each other over
 * and over. While the leader's lease is live, a node therefore claims after refused connections only if it
 * was not deposed recently, and after unanswered ones only after a timeout that doubles with each such claim.
 */
export class LeaderReachability {
    private refusals = 0;
    private failingSince: Millis | undefined;
    private timeoutMs = UNREACHABLE_TIMEOUT_MS;
    private deposedAt: Millis = -Infinity;
    private linkLostAt: Millis = -Infinity;
    private lostEpoch = 0;
    private wasLostSilently = false;

    /** Records that a leader was reached. */
    observeLeader(): void {
        this.refusals = 0;
        this.failingSince = undefined;
        this.timeoutMs = UNREACHABLE_TIMEOUT_MS;
    }

    /**
     * Records that the link to the leader of an epoch was lost.
     * @param wasSilent - Whether the link timed out, rather than being closed.
     */
    observeLinkLost(epoch: number, now: Millis, wasSilent = false): void {
        this.lostEpoch = epoch;
        this.linkLostAt = now;
        this.wasLostSilently = wasSilent;
    }

    /** Returns whether the link to the leader of an epoch timed out recently. */
    isRecentlySilent(epoch: number, now: Millis): boolean {
        return this.wasLostSilently && this.isRecentLoss(epoch, now);
    }

    /**
     * Decides whether to claim without another attempt to connect: an attempt to reach a VM that lost power
     * takes the whole dial timeout. Applies only if the link to this leader timed out recently and its lease
     * has expired. A leader of a later epoch may not have its lease yet, and one that closed its link was
     * running: both are tried first.
     * @returns Why to claim the leadership; undefined to connect first.
     */
    decideBeforeAttempt(view: LeaderView, now: Millis): string | undefined {
        const wentSilent = this.wasLostSilently && this.isRecentLoss(view.record?.epoch, now);
        return wentSilent && !view.isAlive ?
            "the leader's link timed out and its lease has expired" :
            undefined;
    }

    /** Records that this node leads. */
    observeClaim(): void {
        this.refusals = 0;
        this.failingSince = undefined;
    }

    /** Records that this node no longer leads. */
    observeDeposed(now: Millis): void {
        this.deposedAt = now;
    }

    /**
     * Decides after a failed attempt to connect.
     * @param view - The leader as last read from the store.
     * @param kind - Whether the connection was refused or not answered.
     * @returns Why to claim the leadership; undefined to try again.
     */
    decideOnFailure(view: LeaderView, kind: "refused" | "silent", now: Millis): string | undefined {
        this.failingSince ??= now;
        this.refusals = kind === "refused" ? this.refusals + 1 : 0;
        if (!view.isAlive) {
            return "the leader's lease has expired";
        }
        if (this.refusals >= REFUSALS_BEFORE_CLAIM && now - this.deposedAt > DEPOSED_BACKOFF_MS) {
            return "nothing listens at the leader's address";
        }
        if (now - this.failingSince > this.timeoutMs) {
            this.timeoutMs *= 2;
            return "the leader is unreachable";
        }
        return undefined;
    }

    private isRecentLoss(epoch: number | undefined, now: Millis): boolean {
        return epoch === this.lostEpoch && now - this.linkLostAt < RECENT_LOSS_MS;
    }
}
