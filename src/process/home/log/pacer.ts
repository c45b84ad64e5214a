/**
 * Spreads the writes of a slice: at once while there are few, further apart as they become many, so that batches
 * grow instead of writes.
 */
import type { Clock, Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";

const BURST_WRITES = 4;
const SECOND_MS: Millis = 1_000;

/** A token bucket for the writes of one slice. */
export class CommitPacer {
    private tokens = BURST_WRITES;
    private refilledAt: Millis;

    /**
     * @param clock - Where time comes from.
     * @param getRate - Writes a second that this slice may use now.
     */
    constructor(private readonly clock: Clock, private readonly getRate: () => number) {
        this.refilledAt = clock.now();
    }

    /** Waits until the next write may go out. */
    async takeTurn(): Promise<void> {
        this.updateTokens();
        if (this.tokens < 1) {
            await sleep(this.clock, (1 - this.tokens) * SECOND_MS / this.getRate());
            this.updateTokens();
        }
        this.tokens = Math.max(0, this.tokens - 1);
    }

    private updateTokens(): void {
        const now = this.clock.now();
        const gained = (now - this.refilledAt) * this.getRate() / SECOND_MS;
        this.tokens = Math.min(BURST_WRITES, this.tokens + gained);
        this.refilledAt = now;
    }
}
