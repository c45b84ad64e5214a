/** Records when this process first learned of each epoch, on its own monotonic clock. */
import type { Millis } from "../../common/clock.js";

/**
 * The times at which epochs were first seen.
 *
 * @remarks A new leader waits until leases that earlier leaders granted have certainly expired, counted from
 * when those leaders lost their leadership. An epoch is claimed before any process learns of it, so the time
 * at which this process did is a safe upper bound, and earlier than its own claim. If the clock stops while
 * the process is suspended, the wait only becomes longer.
 */
export class EpochHistory {
    /** Both epochs and times increase. */
    private readonly seen: { readonly epoch: number; readonly at: Millis; }[] = [];

    /** Records an epoch if it is higher than all seen before. */
    observe(epoch: number, now: Millis): void {
        if (epoch > (this.seen.at(-1)?.epoch ?? 0)) {
            this.seen.push({ epoch, at: now });
        }
    }

    /**
     * Returns a time by which the leader of an epoch had certainly lost its leadership.
     * @param epoch - Epoch of an earlier leader.
     * @param now - Returned if no later epoch was seen.
     */
    findLossTime(epoch: number, now: Millis): Millis {
        return this.seen.find(entry => entry.epoch > epoch)?.at ?? now;
    }

    /**
     * Returns when this process first learned of an epoch.
     * @param now - Returned if the epoch was not seen yet.
     */
    findFirstSeen(epoch: number, now: Millis): Millis {
        return this.seen.find(entry => entry.epoch === epoch)?.at ?? now;
    }
}
