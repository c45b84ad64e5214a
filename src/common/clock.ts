/**
 * The clock type of this project. Every duration and instant is a number of milliseconds.
 *
 * @remarks Instants come from a monotonic clock: they never jump and mean nothing outside the process.
 * Wall-clock time appears only in logs and in records that people read.
 */

/** A duration, or an instant of a monotonic clock, in milliseconds. */
export type Millis = number;

/** A pending call made by {@link Clock.schedule}. */
export interface Timer {
    /** Prevents the call if it has not happened yet; harmless otherwise. */
    cancel(): void;
}

/** Source of time for one process. Tests pass a fake one. */
export interface Clock {
    /**
     * Reads the monotonic clock.
     * @returns Milliseconds since an arbitrary start; never falls.
     */
    now(): Millis;
    /**
     * Reads the wall clock, for logs and records that people read; never for a decision.
     * @returns Milliseconds since the Unix epoch.
     */
    wallNow(): Millis;
    /**
     * Calls back once, no earlier than the delay.
     * @param delay - Milliseconds to wait; zero means as soon as possible, but not within this call.
     * @param callback - Runs on the event loop; must not throw.
     * @returns A handle that cancels the call.
     */
    schedule(delay: Millis, callback: () => void): Timer;
}

/** The clock of the running system. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wallNow: () => Date.now(),
    schedule(delay, callback) {
        if (delay <= 0) {
            // A timer of zero would wait for a millisecond, which each routed request would pay.
            const immediate = setImmediate(callback);
            return { cancel: () => clearImmediate(immediate) };
        }
        const handle = setTimeout(callback, delay);
        return { cancel: () => clearTimeout(handle) };
    },
};

/**
 * Waits on a clock.
 * @param clock - Where time comes from.
 * @param delay - Milliseconds to wait.
 * @returns A promise that resolves after the delay.
 */
export function sleep(clock: Clock, delay: Millis): Promise<void> {
    return new Promise(resolve => {
        clock.schedule(delay, resolve);
    });
}

/**
 * Calls back once a delay has passed and what had arrived by then has been read.
 *
 * @remarks Failure guarded against: a process whose processor is full runs the timers that are due before it reads its
 * sockets. A timeout then gives up a call whose answer has long arrived, and the call is made again, which takes more of the
 * processor still.
 * @param clock - Where time comes from.
 * @param delay - Milliseconds to wait.
 * @param callback - Runs on the event loop; must not throw.
 * @returns A handle that cancels the call.
 */
export function scheduleTimeout(clock: Clock, delay: Millis, callback: () => void): Timer {
    let timer = clock.schedule(delay, () => {
        timer = clock.schedule(0, callback);
    });
    return { cancel: () => timer.cancel() };
}

/**
 * Waits like {@link scheduleTimeout}.
 * @param clock - Where time comes from.
 * @param delay - Milliseconds to wait.
 */
export function waitForTimeout(clock: Clock, delay: Millis): Promise<void> {
    return new Promise(resolve => {
        scheduleTimeout(clock, delay, resolve);
    });
}
