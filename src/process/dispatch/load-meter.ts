/** How many nodes some kind of work keeps busy. */
import type { Clock, Millis } from "../../common/clock.js";

/** Time over which the load is measured. */
const SPAN_MS: Millis = 2_000;

/** The load of the last seconds, of which each moment counts less as it gets older. */
export class LoadMeter {
    private load = 0;
    private at: Millis = 0;

    /** @param clock - Tells how old what was added is. */
    constructor(private readonly clock: Clock) {}

    /** Adds work that keeps one node busy for a time. */
    add(tookMs: Millis): void {
        this.load = this.compute() + tookMs / SPAN_MS;
        this.at = this.clock.now();
    }

    /** Returns how many nodes are kept busy. */
    compute(): number {
        return this.load * Math.exp((this.at - this.clock.now()) / SPAN_MS);
    }
}
