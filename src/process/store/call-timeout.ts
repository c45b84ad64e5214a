/** How long to wait for one answer of the store, learnt from its answers. */
import type { Millis } from "../../common/clock.js";

const SHORTEST_TIMEOUT_MS = 1_000;
const LONGEST_TIMEOUT_MS = 15_000;
/** Timeout as a multiple of the smoothed time to answer. */
const MARGIN = 4;
/** Share of a new sample in the smoothed time. */
const GAIN = 0.25;

/**
 * Timeout for calls to a store whose speed changes.
 *
 * @remarks With a fixed timeout, a store that answers after it takes effect each time and is never heard: every
 * write ends unknown. So a timeout doubles the next one, and answers bring it back to a multiple of their time.
 */
export class CallTimeout {
    private smoothed: Millis = 0;
    private current: Millis;

    /** @param shortest - First timeout, and the least one. */
    constructor(private readonly shortest: Millis = SHORTEST_TIMEOUT_MS) {
        this.current = shortest;
    }

    /** Returns the timeout for the next call. */
    get(): Millis {
        return this.current;
    }

    /** Takes in the time of a call that was answered. */
    observeAnswer(took: Millis): void {
        this.smoothed += (took - this.smoothed) * GAIN;
        const wanted = Math.max(took, this.smoothed) * MARGIN;
        this.current = Math.min(LONGEST_TIMEOUT_MS, Math.max(this.shortest, wanted));
    }

    /** Takes in that a call was not answered after a timeout. */
    observeTimeout(timeout: Millis): void {
        this.current = Math.min(LONGEST_TIMEOUT_MS, Math.max(this.current, timeout * 2));
    }
}
