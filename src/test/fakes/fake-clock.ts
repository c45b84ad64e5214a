/** A clock that advances only when a test advances it. */
import { Heap } from "heap-js";
import type { Clock, Millis, Timer } from "../../common/clock.js";

interface PendingTimer {
    readonly due: Millis;
    readonly order: number;
    readonly callback: () => void;
    cancelled: boolean;
}

/** Wall-clock time at instant 0 of every fake clock: 2026-01-01T00:00:00Z. */
export const FAKE_EPOCH_MS = 1_767_225_600_000;

/** A {@link Clock} under the control of a test; callbacks run in a deterministic order. */
export class FakeClock implements Clock {
    private instant: Millis = 0;
    private nextOrder = 0;
    private readonly pending = new Heap<PendingTimer>((left, right) =>
        left.due - right.due || left.order - right.order
    );

    now(): Millis {
        return this.instant;
    }

    wallNow(): Millis {
        return FAKE_EPOCH_MS + this.instant;
    }

    schedule(delay: Millis, callback: () => void): Timer {
        const entry: PendingTimer = {
            due: this.instant + Math.max(0, delay),
            order: this.nextOrder++,
            callback,
            cancelled: false,
        };
        this.pending.push(entry);
        return {
            cancel() {
                entry.cancelled = true;
            },
        };
    }

    /**
     * Advances time and runs due timers in order; promise callbacks run after each timer.
     * @param duration - Milliseconds to advance.
     */
    async step(duration: Millis): Promise<void> {
        const end = this.instant + duration;
        await flushMicrotasks();
        for (;;) {
            const next = this.pending.peek();
            if (next === undefined || next.due > end) {
                break;
            }
            this.pending.pop();
            if (next.cancelled) {
                continue;
            }
            this.instant = next.due;
            next.callback();
            await flushMicrotasks();
        }
        this.instant = end;
    }

    /**
     * Advances time until a promise settles, and returns its value.
     * @param limit - Milliseconds of fake time after which an error is thrown.
     */
    async wait<Value>(promise: Promise<Value>, limit: Millis): Promise<Value> {
        let settled = false;
        const watched = promise.finally(() => {
            settled = true;
        });
        watched.catch(() => undefined);
        const end = this.instant + limit;
        await flushMicrotasks();
        while (!settled) {
            const due = this.pending.peek()?.due;
            if (due === undefined || due > end) {
                throw new Error(`the promise did not settle within ${limit} ms of fake time`);
            }
            await this.step(Math.max(0, due - this.instant));
        }
        return watched;
    }
}

/** Runs all promise callbacks that are due. */
export function flushMicrotasks(): Promise<void> {
    return new Promise(resolve => {
        setImmediate(resolve);
    });
}
