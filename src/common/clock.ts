/**
 * Time source, timers and timeouts. Every duration and instant is a number of milliseconds.
 *
 * @remarks Instants come from a monotonic clock: they never jump and have no meaning outside the process.
 * Wall-clock time appears only in logs and in records that people read.
 */

/** A duration, or an instant of a monotonic clock, in milliseconds. */
export type Millis = number;

/** A pending call made by {@link Clock.schedule}. */
export interface Timer {
    /** Prevents the call if it has not happened yet; has no effect otherwise. */
    cancel(): void;
}

/** Time source of one process. Tests use a fake one. */
export interface Clock {
    /**
     * Reads the monotonic clock.
     * @returns Milliseconds since an arbitrary start; never decreases.
     */
    now(): Millis;
    /**
     * Reads the wall clock. Only for logs and records that people read, never for decisions.
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
            // `setTimeout` waits for at least a millisecond, which each routed request would pay.
            const immediate = setImmediate(callback);
            return { cancel: () => clearImmediate(immediate) };
        }
        const handle = setTimeout(callback, delay);
        return { cancel: () => clearTimeout(handle) };
    },
};

/** Returns a promise that resolves after a delay in milliseconds. */
export function sleep(clock: Clock, delay: Millis): Promise<void> {
    return new Promise(resolve => {
        clock.schedule(delay, resolve);
    });
}

/**
 * Calls back once a delay has passed and the input that had arrived by then has been read.
 *
 * @remarks An overloaded process runs its due timers before it reads its sockets. A plain timer would then
 * time out a call whose answer has already arrived, and the repeated call would add to the load.
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

/** Returns a promise that resolves when {@link scheduleTimeout} would call back. */
export function waitForTimeout(clock: Clock, delay: Millis): Promise<void> {
    return new Promise(resolve => {
        scheduleTimeout(clock, delay, resolve);
    });
}
