/**
 * Bounds the orders to start runs that are under way at once, so that a rush of them does not fill this
 * leader's link or processor.
 *
 * @remarks Orders, reports and the journal share one link. Behind hundreds of orders on a narrow one, reports
 * of all workers time out, the workers count as unreachable, and the calls that are then repeated keep the
 * link full. The bound follows from how soon orders are answered, as with TCP's congestion window (additive
 * increase, multiplicative decrease; Jacobson, 1988), so it needs no knowledge of the link.
 */
import type { Clock, Millis } from "../../common/clock.js";
import { isLate } from "../../common/lateness.js";
import type { Lateness } from "../../common/lateness.js";

const INITIAL_LIMIT = 48;
const MIN_LIMIT = 16;
const MAX_LIMIT = 4_096;
/** An order that takes longer than this has waited behind others. */
const SLOW_ORDER_MS: Millis = 150;
const DECREASE_FACTOR = 0.7;

/** The window of one leader. */
export class OrderWindow {
    private limit = INITIAL_LIMIT;
    private openCount = 0;
    /** Orders that began before this say nothing on the current limit. */
    private reducedAt: Millis = -Infinity;

    /**
     * @param lateness - Of this process. While it is late, it reads all answers late, and fewer orders would
     * only leave its link idle.
     */
    constructor(private readonly clock: Clock, private readonly lateness: Lateness) {}

    /** Returns how many more starts may be begun. */
    countFree(): number {
        return Math.max(0, this.limit - this.openCount);
    }

    /** Records that a start was begun: its assignment is being made durable, and its order follows. */
    open(): void {
        this.openCount += 1;
    }

    /** Records that a start has ended, with or without an order. */
    close(): void {
        this.openCount -= 1;
    }

    /**
     * Adapts the limit to an order that was answered, or has timed out.
     * @param sentAt - When it was sent.
     */
    observeOrder(sentAt: Millis): void {
        const now = this.clock.now();
        if (now - sentAt <= SLOW_ORDER_MS || isLate(this.lateness)) {
            // A limit that is not used says nothing about what the link carries.
            this.limit = this.openCount >= this.limit / 2 ? Math.min(MAX_LIMIT, this.limit + 1) : this.limit;
            return;
        }
        if (sentAt >= this.reducedAt) {
            this.limit = Math.max(MIN_LIMIT, Math.floor(this.limit * DECREASE_FACTOR));
            this.reducedAt = now;
        }
    }
}
