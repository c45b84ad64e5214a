/**
 * Limits the write rate of all home slices of an entry. Up to a burst, writes go out at once; beyond it they
 * are spaced out, so that the batches grow rather than the number of writes.
 */
import type { Clock, Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";

const BURST_WRITES = 16;
const SECOND_MS: Millis = 1_000;

/** Grants turns to write in the order of the requests, by the generic cell rate algorithm (GCRA). */
export class CommitPacer {
    /** Time at which the turns granted so far are used up at the steady rate. */
    private theoreticalArrivalTime: Millis = -Infinity;

    /**
     * @param getRate - Returns the writes per second that are allowed now.
     */
    constructor(private readonly clock: Clock, private readonly getRate: () => number) {}

    /** Waits until the next write may go out. */
    async takeTurn(): Promise<void> {
        const now = this.clock.now();
        const spacing = SECOND_MS / this.getRate();
        const turnAt = this.theoreticalArrivalTime - (BURST_WRITES - 1) * spacing;
        this.theoreticalArrivalTime = Math.max(this.theoreticalArrivalTime, now) + spacing;
        if (turnAt > now) {
            await sleep(this.clock, turnAt - now);
        }
    }
}
