/** Renewals that a worker holds back until something changes. */
import type { Clock, Millis } from "../common/clock.js";

/** Callers that wait for the next change. */
export class ReportWaiters {
    private readonly waiting = new Set<() => void>();

    /** @param clock - Where the limits of the waits come from. */
    constructor(private readonly clock: Clock) {}

    /**
     * Waits for a change.
     * @param limit - Most milliseconds to wait.
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

    /** Lets all callers go on. */
    wake(): void {
        for (const finish of [...this.waiting]) {
            finish();
        }
    }
}
