/** What a node makes of a leader that it cannot reach. Pure. */
import type { Millis } from "../../common/clock.js";
import type { LeaderView } from "../leadership/leader-record.js";

/** Attempts that must find nothing listening before a leader counts as dead. */
const DEAD_REFUSALS = 2;
/** A node that was replaced as leader leaves the next claims to others: it may be the one that is cut off. */
const DEPOSED_PAUSE_MS: Millis = 3_000;
/** Time without a way to a leader that the store still hears; doubles with each claim made for this reason. */
const UNREACHABLE_CLAIM_MS: Millis = 2_500;

/** A link that was lost this long ago says nothing of the leader of now. */
const FRESH_LOSS_MS: Millis = 1_500;

/**
 * Attempts to reach the leader, and why to claim its place.
 *
 * @remarks Failure guarded against: a node that is cut off from the leader, but not from the store, claims; the leader
 * is cut off from it in turn and claims back, over and over. A leader that the store still hears is replaced by a node
 * that finds nothing listening only if that node was not replaced itself a moment ago, and by one that gets no answer
 * only after a time that doubles with each such claim.
 */
export class LeaderReach {
    private refusals = 0;
    private failingSince: Millis | undefined;
    private patience = UNREACHABLE_CLAIM_MS;
    private deposedAt: Millis = -Infinity;
    private linkLostAt: Millis = -Infinity;
    private lostEpoch = 0;
    private wasLostSilently = false;

    /** Takes in that a leader was reached. */
    observeLeader(): void {
        this.refusals = 0;
        this.failingSince = undefined;
        this.patience = UNREACHABLE_CLAIM_MS;
    }

    /**
     * Takes in that the link to the leader of an epoch was lost.
     * @param epoch - The leader's.
     * @param now - On our clock.
     * @param wasSilent - Whether nothing was heard over it any more, rather than that it was closed.
     */
    observeLinkLost(epoch: number, now: Millis, wasSilent = false): void {
        this.lostEpoch = epoch;
        this.linkLostAt = now;
        this.wasLostSilently = wasSilent;
    }

    /** Tells whether the link to the leader of an epoch has gone silent a moment ago. */
    isFreshlySilent(epoch: number, now: Millis): boolean {
        return this.wasLostSilently && this.isFreshLoss(epoch, now);
    }

    /**
     * Decides before an attempt: a leader that has just gone silent on its link, and that the store no longer hears, need
     * not be waited for once more. An attempt to connect to a VM without power takes the whole dial timeout. A leader of a later
     * epoch may have claimed the place a moment ago and not have its lease yet, and one that closed the link is there: both
     * are to be tried.
     */
    decideBeforeAttempt(view: LeaderView, now: Millis): string | undefined {
        const isFresh = this.wasLostSilently && this.isFreshLoss(view.record?.epoch, now);
        return isFresh && !view.isAlive ? "the leader's link and its lease are gone" : undefined;
    }

    /** Takes in that this node leads. */
    observeClaim(): void {
        this.refusals = 0;
        this.failingSince = undefined;
    }

    /** Takes in that this node no longer leads. */
    observeDeposed(now: Millis): void {
        this.deposedAt = now;
    }

    /**
     * Decides after an attempt that failed.
     * @param view - What the store says of the leader.
     * @param kind - Whether nothing listens at its address, or nothing was heard.
     * @param now - On our clock.
     * @returns Why to claim its place; undefined to try again.
     */
    decideOnFailure(view: LeaderView, kind: "refused" | "silent", now: Millis): string | undefined {
        this.failingSince ??= now;
        this.refusals = kind === "refused" ? this.refusals + 1 : 0;
        if (!view.isAlive) {
            return "the leader's lease has run out";
        }
        if (this.refusals >= DEAD_REFUSALS && now - this.deposedAt > DEPOSED_PAUSE_MS) {
            return "nothing listens at the leader's address";
        }
        if (now - this.failingSince > this.patience) {
            this.patience *= 2;
            return "no way to the leader";
        }
        return undefined;
    }

    private isFreshLoss(epoch: number | undefined, now: Millis): boolean {
        return epoch === this.lostEpoch && now - this.linkLostAt < FRESH_LOSS_MS;
    }
}
