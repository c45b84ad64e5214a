/**
 * Spreads the writes of all home slices of an entry: at once while there are few, further apart as they become
 * many, so that batches grow instead of writes.
 */
import type { Clock, Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";

const BURST_WRITES = 16;
const SECOND_MS: Millis = 1_000;

/** Gives out turns to write, in the order in which they are asked for (generic cell rate algorithm). */
export class CommitPacer {
    /** Instant at which the turns given out so far would be used up at the steady rate. */
    private usedUntil: Millis = -Infinity;

    /**
     * @param clock - Where time comes from.
     * @param getRate - Writes a second that may be used now.
     */
    constructor(private readonly clock: Clock, private readonly getRate: () => number) {}

    /** Waits until the next write may go out. */
    async takeTurn(): Promise<void> {
        const now = this.clock.now();
        const spacing = SECOND_MS / this.getRate();
        const turnAt = this.usedUntil - (BURST_WRITES - 1) * spacing;
        this.usedUntil = Math.max(this.usedUntil, now) + spacing;
        if (turnAt > now) {
            await sleep(this.clock, turnAt - now);
        }
    }
}
