/** The clock of one member under test; pausing it suspends all activity of the member. */
import type { Clock, Millis, Timer } from "../../common/clock.js";

/**
 * A clock whose callbacks are deferred while its member is paused and run in order afterwards. Port answers and
 * peer messages are delivered through it too, so that a pause also defers them.
 */
export class PausableClock implements Clock {
    private readonly deferred: (() => void)[] = [];
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

    /** Runs a callback of the member now, or after it is resumed; never once it is killed. */
    post(callback: () => void): void {
        if (this.killed) {
            return;
        }
        if (this.paused || this.draining) {
            this.deferred.push(callback);
            return;
        }
        callback();
    }

    /** Defers all callbacks, as a stopped process or a frozen VM does. */
    pause(): void {
        this.paused = true;
    }

    /** Resumes the member; the deferred callbacks run first, in order. */
    resume(): void {
        this.paused = false;
        if (!this.draining && this.deferred.length > 0) {
            this.draining = true;
            this.base.schedule(0, () => this.drainNext());
        }
    }

    /** Drops all deferred and future callbacks, as the death of the process does. */
    kill(): void {
        this.killed = true;
        this.deferred.length = 0;
    }

    /** Tells whether the member was killed. */
    isKilled(): boolean {
        return this.killed;
    }

    /** Tells whether the member is paused. */
    isPaused(): boolean {
        return this.paused;
    }

    /** Runs one deferred callback per timer, so that its promise callbacks run before the next one. */
    private drainNext(): void {
        if (this.paused || this.killed) {
            this.draining = false;
            return;
        }
        const next = this.deferred.shift();
        if (next === undefined) {
            this.draining = false;
            return;
        }
        next();
        this.base.schedule(0, () => this.drainNext());
    }
}
