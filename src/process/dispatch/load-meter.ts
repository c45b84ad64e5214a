/** Measures how many nodes one kind of work keeps busy. */
import type { Clock, Millis } from "../../common/clock.js";

/** Time constant of the exponential average. */
const AVERAGING_TIME_MS: Millis = 2_000;

/** Exponentially weighted load of the last seconds. */
export class LoadMeter {
    private load = 0;
    private updatedAt: Millis = 0;

    constructor(private readonly clock: Clock) {}

    /** Adds work that keeps one node busy for `busyMs`. */
    add(busyMs: Millis): void {
        this.load = this.compute() + busyMs / AVERAGING_TIME_MS;
        this.updatedAt = this.clock.now();
    }

    /** Returns the mean number of busy nodes. */
    compute(): number {
        return this.load * Math.exp((this.updatedAt - this.clock.now()) / AVERAGING_TIME_MS);
    }
}
