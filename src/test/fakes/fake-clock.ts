/** A clock that moves only when a test moves it. */
import { Heap } from "heap-js";
import type { Clock, Millis, Timer } from "../../common/clock.js";

interface Pending {
    readonly due: Millis;
    readonly order: number;
    readonly callback: () => void;
    cancelled: boolean;
}

/** Wall-clock time at instant 0 of every fake clock: 2026-01-01T00:00:00Z. */
export const FAKE_EPOCH_MS = 1_767_225_600_000;

/** A {@link Clock} under the control of a test; equal steps give equal orders of callbacks. */
export class FakeClock implements Clock {
    private instant: Millis = 0;
    private nextOrder = 0;
    private readonly pending = new Heap<Pending>((left, right) =>
        left.due - right.due || left.order - right.order
    );

    now(): Millis {
        return this.instant;
    }

    wallNow(): Millis {
        return FAKE_EPOCH_MS + this.instant;
    }

    schedule(delay: Millis, callback: () => void): Timer {
        const entry: Pending = {
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
     * Moves time forward, running what falls due in order; promise callbacks run after each timer.
     * @param duration - Milliseconds to move.
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
     * Moves time until a promise settles.
     * @param promise - What to wait for.
     * @param limit - Most milliseconds to move; beyond it the test fails.
     * @returns The promise's value.
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
                throw new Error(`nothing settled the promise within ${limit} ms of fake time`);
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
