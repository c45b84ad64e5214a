/** When this process first knew of each epoch, on its own monotonic clock. */
import type { Millis } from "../../common/clock.js";

/**
 * Times of epochs.
 *
 * @remarks A new leader has to wait until leases that earlier leaders gave have surely run out, and the wait counts from
 * when those leaders lost their place. The claim of an epoch was made before any process heard of it, so the time at
 * which this one did is late enough, and earlier than the time of its own claim. A process that is suspended finds less
 * time passed than there was, which only makes the wait longer.
 */
export class EpochHistory {
    /** Epochs and times, both rising. */
    private readonly seen: { readonly epoch: number; readonly at: Millis; }[] = [];

    /** Takes in that an epoch is known of. */
    observe(epoch: number, now: Millis): void {
        if (epoch > (this.seen.at(-1)?.epoch ?? 0)) {
            this.seen.push({ epoch, at: now });
        }
    }

    /**
     * Returns a time at which the leader of an epoch had surely lost its place.
     * @param epoch - An earlier leader's.
     * @param now - The answer where nothing better is known.
     */
    findLossTime(epoch: number, now: Millis): Millis {
        return this.seen.find(entry => entry.epoch > epoch)?.at ?? now;
    }

    /**
     * Returns when this process first knew of an epoch.
     * @param epoch - Any.
     * @param now - The answer where it does not know of it yet.
     */
    findFirstSeen(epoch: number, now: Millis): Millis {
        return this.seen.find(entry => entry.epoch === epoch)?.at ?? now;
    }
}
