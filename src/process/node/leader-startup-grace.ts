/** How long a node waits for a new leader that it cannot reach before it claims the leadership. */
import type { Millis } from "../../common/clock.js";
import type { LeaderRecord } from "../leadership/leader-record.js";
import { computeTimeoutFactor } from "../leadership/timeout-factor.js";

/** Scaled by the VM's slowness, and doubled for each previous leader that was not observed to be ready. */
const BASE_GRACE_MS: Millis = 1_500;
const MAX_GRACE_MS: Millis = 8_000;

/**
 * Grace periods of leaders that are not known to have finished starting.
 *
 * @remarks A new leader on a small VM appears dead while it loads the journal. If it were replaced at once,
 * so would be each of its successors. Each gets more time than the previous one, unless its process ended.
 */
export class LeaderStartupGrace {
    /** Latest epoch whose leader is known to have loaded the journal. */
    private readyEpoch = 0;

    /** Records that the leader of an epoch has loaded the journal. */
    observeReady(epoch: number): void {
        this.readyEpoch = Math.max(this.readyEpoch, epoch);
    }

    /**
     * Counts the consecutive leaders, up to and including this one, that were not observed to load the
     * journal. A claim that follows this leader stores the count in its record.
     */
    countFailedBefore(record: LeaderRecord | undefined): number {
        if (record === undefined || this.isKnownReady(record)) {
            return 0;
        }
        return (record.failedBefore ?? 0) + 1;
    }

    /**
     * Returns what remains of a leader's grace period.
     * @param record - The leader's record.
     * @param firstSeenAt - When this node first observed the leader's epoch.
     * @param now - The current time on the same clock.
     */
    computeRemaining(record: LeaderRecord | undefined, firstSeenAt: Millis, now: Millis): Millis {
        if (record === undefined || this.isKnownReady(record)) {
            return 0;
        }
        const graceMs = Math.min(
            MAX_GRACE_MS,
            BASE_GRACE_MS * computeTimeoutFactor(record.cores) * 2 ** (record.failedBefore ?? 0),
        );
        return Math.max(0, firstSeenAt + graceMs - now);
    }

    private isKnownReady({ epoch }: LeaderRecord): boolean {
        return this.readyEpoch >= epoch;
    }
}
