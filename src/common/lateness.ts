/** Tells how late a process is, so that it does not take its own lateness for the silence of others. */
import type { Clock, Millis, Timer } from "./clock.js";

const TICK_MS: Millis = 50;
/** A tick that is late by more than this shows that the process did nothing of its own for as long. */
const TOLERANCE_MS: Millis = 50;
/** Time in which the weight of a lateness in the mean falls to about a third. */
const MEAN_OVER_MS: Millis = 700;
/** Ticks over which lateness is remembered. */
const REMEMBERED_TICKS = 20;

/** How late a process is. */
export interface Lateness {
    /** Returns how late a timer fired at most within the last second or so; what is late now counts too. */
    getLatenessMs(): Millis;
    /** Returns by how much timers are late on the mean; times long past weigh less and less. */
    getMeanLatenessMs(): Millis;
}

/** Timers of a process with processor time to spare are less late than this. */
const LATE_MS: Millis = 100;

/** Tells whether a process has no processor time to spare. */
export function isLate(lateness: Lateness): boolean {
    return lateness.getLatenessMs() >= LATE_MS;
}

/** A process that is always on time. */
export const ON_TIME: Lateness = { getLatenessMs: () => 0, getMeanLatenessMs: () => 0 };

/**
 * Measures the delay of timers.
 *
 * @remarks Timers that are due run before arrived answers are read, so a timer alone cannot tell a silent party from a late
 * process. Attentive time stands still while the process is late.
 */
export class LatenessMeter implements Lateness {
    private readonly recent: Millis[] = [];
    private meanMs: Millis = 0;
    private attentiveMs: Millis = 0;
    private tickedAt: Millis;
    private timer: Timer;

    /** @param clock - Whose timers are watched. */
    constructor(private readonly clock: Clock) {
        this.tickedAt = clock.now();
        this.timer = this.scheduleTick();
    }

    /** Returns an instant that advances only while this process is able to hear others. */
    getAttentiveMs(): Millis {
        return this.attentiveMs + this.getAttentiveSinceTick();
    }

    getLatenessMs(): Millis {
        const overdue = this.clock.now() - this.tickedAt - TICK_MS;
        return Math.max(0, overdue, ...this.recent);
    }

    getMeanLatenessMs(): Millis {
        return this.meanMs;
    }

    /** Ends the measurement. */
    close(): void {
        this.timer.cancel();
    }

    private getAttentiveSinceTick(): Millis {
        return Math.min(this.clock.now() - this.tickedAt, TICK_MS + TOLERANCE_MS);
    }

    private scheduleTick(): Timer {
        return this.clock.schedule(TICK_MS, () => this.observeTick());
    }

    private observeTick(): void {
        const now = this.clock.now();
        this.attentiveMs += this.getAttentiveSinceTick();
        const elapsed = now - this.tickedAt;
        const lateness = Math.max(0, elapsed - TICK_MS);
        this.meanMs += (lateness - this.meanMs) * (1 - Math.exp(-elapsed / MEAN_OVER_MS));
        this.recent.push(lateness);
        if (this.recent.length > REMEMBERED_TICKS) {
            this.recent.shift();
        }
        this.tickedAt = now;
        this.timer = this.scheduleTick();
    }
}
