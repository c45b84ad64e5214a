/** How long a node leaves a new leader alone that it cannot reach. Pure. */
import type { Millis } from "../../common/clock.js";
import type { LeaderRecord } from "../leadership/leader-record.js";
import { computeTimeoutFactor } from "../leadership/timeout-factor.js";

/** Time that a new leader is given on the smallest VMs; doubles with each take-over that was not seen to end. */
const FIRST_PATIENCE_MS: Millis = 1_500;
const LONGEST_PATIENCE_MS: Millis = 8_000;

/**
 * Patience with leaders that have not been seen to lead yet.
 *
 * @remarks Failure guarded against: a new leader sounds dead while it loads the journal on a small VM, is replaced, and so is
 * each that follows. Every one is given more time than the last, unless its process has ended.
 */
export class ClaimPatience {
    /** Last epoch whose leader was seen to have loaded the journal. */
    private readyEpoch = 0;

    /** Takes in that a leader has loaded the journal. */
    observeReady(epoch: number): void {
        this.readyEpoch = Math.max(this.readyEpoch, epoch);
    }

    /** Returns what the record of a claim after this leader is to say. */
    countFailedBefore(record: LeaderRecord | undefined): number {
        if (record === undefined || this.isSeenReady(record)) {
            return 0;
        }
        return (record.failedBefore ?? 0) + 1;
    }

    /**
     * Returns how much longer a leader is left alone.
     * @param record - The leader's.
     * @param firstSeenAt - When this node first knew of its epoch.
     * @param now - On the same clock.
     */
    computeRemaining(record: LeaderRecord | undefined, firstSeenAt: Millis, now: Millis): Millis {
        if (record === undefined || this.isSeenReady(record)) {
            return 0;
        }
        const patience = Math.min(
            LONGEST_PATIENCE_MS,
            FIRST_PATIENCE_MS * computeTimeoutFactor(record.cores) * 2 ** (record.failedBefore ?? 0),
        );
        return Math.max(0, firstSeenAt + patience - now);
    }

    private isSeenReady({ epoch }: LeaderRecord): boolean {
        return this.readyEpoch >= epoch;
    }
}
