/** A budget of calls per second. */
import type { Clock, Millis, Timer } from "../../common/clock.js";

interface Waiter {
    readonly deadline: Millis;
    readonly settle: (granted: boolean) => void;
}

/** Callers that may wait for the budget at once; more are told at once that there is none. */
const MAX_WAITERS = 2_000;

/** A token bucket whose callers wait in order. */
export class TokenBucket {
    private readonly waiters: Waiter[] = [];
    private tokens: number;
    private refilledAt: Millis;
    private timer: Timer | undefined;

    /**
     * @param clock - Where time comes from.
     * @param rate - Tokens per second.
     */
    constructor(private readonly clock: Clock, private rate: number) {
        this.tokens = this.getBurst();
        this.refilledAt = clock.now();
    }

    /** Changes the rate from now on. */
    setRate(rate: number): void {
        this.fill();
        this.rate = Math.max(rate, MIN_RATE);
        this.tokens = Math.min(this.tokens, this.getBurst());
        this.grantWaiting();
    }

    /**
     * Takes a token, waiting for one if there is none.
     * @param deadline - Instant after which it is no longer wanted.
     * @returns Whether it was granted in time.
     */
    take(deadline: Millis): Promise<boolean> {
        this.fill();
        if (this.waiters.length === 0 && this.tokens >= 1) {
            this.tokens--;
            return Promise.resolve(true);
        }
        if (this.waiters.length >= MAX_WAITERS || deadline <= this.clock.now()) {
            return Promise.resolve(false);
        }
        return new Promise(resolve => {
            this.waiters.push({ deadline, settle: resolve });
            this.scheduleGrant();
        });
    }

    /** Takes a token whether or not there is one; others wait longer for it. */
    takeAnyway(): void {
        this.fill();
        this.tokens = Math.max(this.tokens - 1, -this.getBurst());
    }

    /** Refuses all that wait. */
    close(): void {
        this.timer?.cancel();
        this.timer = undefined;
        this.waiters.splice(0).forEach(waiter => waiter.settle(false));
    }

    /** One second's worth, so that a quiet entry may write a group at once. */
    private getBurst(): number {
        return Math.max(1, this.rate);
    }

    private fill(): void {
        const now = this.clock.now();
        const earned = (now - this.refilledAt) / 1_000 * this.rate;
        this.tokens = Math.min(this.getBurst(), this.tokens + earned);
        this.refilledAt = now;
    }

    private scheduleGrant(): void {
        if (this.timer !== undefined || this.waiters.length === 0) {
            return;
        }
        const wait = Math.max(MIN_WAIT_MS, (1 - this.tokens) / this.rate * 1_000);
        this.timer = this.clock.schedule(wait, () => {
            this.timer = undefined;
            this.fill();
            this.grantWaiting();
        });
    }

    private grantWaiting(): void {
        const now = this.clock.now();
        while (this.waiters.length > 0) {
            const late = (this.waiters[0]?.deadline ?? now) < now;
            if (!late && this.tokens < 1) {
                break;
            }
            if (!late) {
                this.tokens--;
            }
            this.waiters.shift()?.settle(!late);
        }
        this.scheduleGrant();
    }
}

const MIN_WAIT_MS = 1;
/** Tokens per second that a budget never goes below: a member with none could not even leave. */
const MIN_RATE = 0.5;
