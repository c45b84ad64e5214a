/** Measures the timer delay of a process, so that it does not mistake its own delay for a silent peer. */
import type { Clock, Millis, Timer } from "./clock.js";
import { computeMax } from "./lists.js";

const TICK_MS: Millis = 50;
/** A tick that is delayed by more than this shows that the process was unresponsive for that time. */
const TOLERANCE_MS: Millis = 50;
/** Time constant of the exponential mean: the weight of a sample falls to about a third in this time. */
const MEAN_TIME_CONSTANT_MS: Millis = 700;
/** Number of recent ticks over which the maximum lateness is taken. */
const RECENT_TICKS = 20;

/** How far the timers of a process are delayed. */
export interface Lateness {
    /** Returns the maximum timer delay over about the last second, including a timer that is overdue now. */
    getLatenessMs(): Millis;
    /** Returns the exponentially weighted mean of the timer delay. */
    getMeanLatenessMs(): Millis;
}

/** Timers of a process with spare processor time are delayed by less than this. */
const LATE_THRESHOLD_MS: Millis = 100;

/** Returns whether a process has no spare processor time. */
export function isLate(lateness: Lateness): boolean {
    return lateness.getLatenessMs() >= LATE_THRESHOLD_MS;
}

/** Lateness of a process whose timers are never delayed. */
export const ON_TIME: Lateness = { getLatenessMs: () => 0, getMeanLatenessMs: () => 0 };

/**
 * Measures the delay of timers.
 *
 * @remarks Due timers run before answers that have arrived are read, so a timer alone cannot distinguish a
 * silent peer from a delayed process. Responsive time does not advance while the process is delayed.
 */
export class LatenessMeter implements Lateness {
    private readonly recentLateness: Millis[] = [];
    private meanMs: Millis = 0;
    private responsiveMs: Millis = 0;
    private lastTickAt: Millis;
    private timer: Timer;

    /** @param clock - The clock whose timers are measured. */
    constructor(private readonly clock: Clock) {
        this.lastTickAt = clock.now();
        this.timer = this.scheduleTick();
    }

    /** Returns the time, in milliseconds, during which this process was able to receive messages. */
    getResponsiveMs(): Millis {
        return this.responsiveMs + this.getResponsiveSinceTick();
    }

    getLatenessMs(): Millis {
        const overdue = this.clock.now() - this.lastTickAt - TICK_MS;
        return computeMax(this.recentLateness, Math.max(0, overdue));
    }

    getMeanLatenessMs(): Millis {
        return this.meanMs;
    }

    /** Stops the measurement. */
    close(): void {
        this.timer.cancel();
    }

    private getResponsiveSinceTick(): Millis {
        return Math.min(this.clock.now() - this.lastTickAt, TICK_MS + TOLERANCE_MS);
    }

    private scheduleTick(): Timer {
        return this.clock.schedule(TICK_MS, () => this.observeTick());
    }

    private observeTick(): void {
        const now = this.clock.now();
        this.responsiveMs += this.getResponsiveSinceTick();
        const elapsed = now - this.lastTickAt;
        const lateness = Math.max(0, elapsed - TICK_MS);
        this.meanMs += (lateness - this.meanMs) * (1 - Math.exp(-elapsed / MEAN_TIME_CONSTANT_MS));
        this.recentLateness.push(lateness);
        if (this.recentLateness.length > RECENT_TICKS) {
            this.recentLateness.shift();
        }
        this.lastTickAt = now;
        this.timer = this.scheduleTick();
    }
}
