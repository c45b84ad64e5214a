/** The clock of one member under test: pausing it pauses everything that the member would do. */
import type { Clock, Millis, Timer } from "../../common/clock.js";

/**
 * A clock whose callbacks are held back while its member is paused and run in order afterwards. Port answers and
 * peer messages are delivered through it too, so that a pause holds them back as well.
 */
export class PausableClock implements Clock {
    private readonly held: (() => void)[] = [];
    private paused = false;
    private killed = false;
    private draining = false;

    /** @param base - The clock of the whole test. */
    constructor(private readonly base: Clock) {}

    now(): Millis {
        return this.base.now();
    }

    wallNow(): Millis {
        return this.base.wallNow();
    }

    schedule(delay: Millis, callback: () => void): Timer {
        let cancelled = false;
        const timer = this.base.schedule(delay, () =>
            this.post(() => {
                if (!cancelled) {
                    callback();
                }
            }));
        return {
            cancel() {
                cancelled = true;
                timer.cancel();
            },
        };
    }

    /** Runs a callback of the member now, or when it is resumed; never once it is killed. */
    post(callback: () => void): void {
        if (this.killed) {
            return;
        }
        if (this.paused || this.draining) {
            this.held.push(callback);
            return;
        }
        callback();
    }

    /** Holds everything back, as a stopped process or a frozen VM does. */
    pause(): void {
        this.paused = true;
    }

    /** Runs what was held back, in order, and goes on. */
    resume(): void {
        this.paused = false;
        if (!this.draining && this.held.length > 0) {
            this.draining = true;
            this.base.schedule(0, () => this.drainNext());
        }
    }

    /** Drops everything for good, as the death of the process does. */
    kill(): void {
        this.killed = true;
        this.held.length = 0;
    }

    /** Tells whether the member was killed. */
    isKilled(): boolean {
        return this.killed;
    }

    /** Tells whether the member is paused. */
    isPaused(): boolean {
        return this.paused;
    }

    /** One callback for each turn, so that promise callbacks of one run before the next. */
    private drainNext(): void {
        if (this.paused || this.killed) {
            this.draining = false;
            return;
        }
        const next = this.held.shift();
        if (next === undefined) {
            this.draining = false;
            return;
        }
        next();
        this.base.schedule(0, () => this.drainNext());
    }
}
