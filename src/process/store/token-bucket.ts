/** Rate limit for calls. */
import type { Clock, Millis, Timer } from "../../common/clock.js";

interface Waiter {
    readonly deadline: Millis;
    readonly settle: (granted: boolean) => void;
}

/** Maximum number of waiting callers; further ones are rejected immediately. */
const MAX_WAITERS = 2_000;

/** A token bucket that serves waiting callers in FIFO order. */
export class TokenBucket {
    private readonly waiters: Waiter[] = [];
    private tokens: number;
    private lastRefillAt: Millis;
    private timer: Timer | undefined;

    /**
     * @param rate - Tokens per second.
     */
    constructor(private readonly clock: Clock, private rate: number) {
        this.tokens = this.getBurst();
        this.lastRefillAt = clock.now();
    }

    /** Sets the rate, in tokens per second. */
    setRate(rate: number): void {
        this.fill();
        this.rate = Math.max(rate, MIN_RATE);
        this.tokens = Math.min(this.tokens, this.getBurst());
        this.grantWaiting();
    }

    /**
     * Takes a token, waiting for one if none is available.
     * @param deadline - Instant after which the token is no longer needed.
     * @returns Whether a token was granted by the deadline.
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

    /** Takes a token even if none is available; the debt, at most one burst, delays other callers. */
    takeUnconditionally(): void {
        this.fill();
        this.tokens = Math.max(this.tokens - 1, -this.getBurst());
    }

    /** Rejects all waiting callers. */
    close(): void {
        this.timer?.cancel();
        this.timer = undefined;
        this.waiters.splice(0).forEach(waiter => waiter.settle(false));
    }

    /** Capacity: the tokens of one second, so that an idle entry can send a group of writes at once. */
    private getBurst(): number {
        return Math.max(1, this.rate);
    }

    private fill(): void {
        const now = this.clock.now();
        const earned = (now - this.lastRefillAt) / 1_000 * this.rate;
        this.tokens = Math.min(this.getBurst(), this.tokens + earned);
        this.lastRefillAt = now;
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
            const expired = (this.waiters[0]?.deadline ?? now) < now;
            if (!expired && this.tokens < 1) {
                break;
            }
            if (!expired) {
                this.tokens--;
            }
            this.waiters.shift()?.settle(!expired);
        }
        this.scheduleGrant();
    }
}

const MIN_WAIT_MS = 1;
/** Minimum rate, in tokens per second: a member without any budget could not even leave the cell. */
const MIN_RATE = 0.5;
