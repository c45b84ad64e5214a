/** Lets a worker delay its replies to renewals until something changes (long polling). */
import type { Clock, Millis } from "../common/clock.js";

/** Calls that wait for the next change. */
export class ReportWaiters {
    private readonly waiting = new Set<() => void>();

    /** @param clock - Measures the limits of the waits. */
    constructor(private readonly clock: Clock) {}

    /**
     * Waits for a change.
     * @param limit - Longest wait.
     */
    wait(limit: Millis): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                timer.cancel();
                this.waiting.delete(finish);
                resolve();
            };
            const timer = this.clock.schedule(limit, finish);
            this.waiting.add(finish);
        });
    }

    /** Ends all waits. */
    wake(): void {
        for (const finish of [...this.waiting]) {
            finish();
        }
    }
}
