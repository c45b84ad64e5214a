/** Tells how late a process is, so that it does not take its own lateness for the silence of others. */
import type { Clock, Millis, Timer } from "./clock.js";

const TICK_MS: Millis = 50;
/** A tick that is late by more than this shows that the process did nothing of its own for as long. */
const TOLERANCE_MS: Millis = 50;
/** Ticks over which lateness is remembered. */
const REMEMBERED_TICKS = 20;

/**
 * Measures the delay of timers.
 *
 * @remarks Answers that arrive while the processor is taken are read after the timers that are due, so a timer alone cannot
 * say that nothing has arrived. Attentive time stands still while the process is late; silence measured in it is the other
 * party's.
 */
export class LatenessMeter {
    private readonly recent: Millis[] = [];
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

    /** Returns how late a timer fired at most within the last second or so; what is late now counts too. */
    getLatenessMs(): Millis {
        const overdue = this.clock.now() - this.tickedAt - TICK_MS;
        return Math.max(0, overdue, ...this.recent);
    }

    /** Returns by how much timers were late on the mean within the last second or so. */
    getMeanLatenessMs(): Millis {
        const sum = this.recent.reduce((total, lateness) => total + lateness, 0);
        return this.recent.length === 0 ? 0 : sum / this.recent.length;
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
        this.recent.push(Math.max(0, now - this.tickedAt - TICK_MS));
        if (this.recent.length > REMEMBERED_TICKS) {
            this.recent.shift();
        }
        this.tickedAt = now;
        this.timer = this.scheduleTick();
    }
}
