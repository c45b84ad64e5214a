/** Workers that recently refused or did not answer orders, by step. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";

/**
 * Pause of a worker for a step after its first refusal; each further one in quick succession doubles it up to
 * the longest.
 */
const FIRST_PAUSE_MS: Millis = 300;
const LONGEST_PAUSE_MS: Millis = 10_000;

interface Pause {
    /** On this node's clock. */
    readonly until: Millis;
    readonly lengthMs: Millis;
}

/**
 * Pauses of workers for steps whose orders they refused.
 *
 * @remarks The best worker for a task may refuse its order for a reason that leaves the worker's state
 * unchanged. It would be the best one again in the next pass, and the task would never start though other
 * workers would accept it. The reason may concern only this step, so the worker stays available to all
 * others.
 */
export class OrderRefusals {
    private readonly pauses = new WeakMap<Step, Map<string, Pause>>();

    /**
     * Records that a worker did not accept an order.
     * @param from - When the pause begins: once the task can be assigned again.
     */
    observe(step: Step, workerId: string, from: Millis): void {
        const workers = this.pauses.get(step) ?? new Map<string, Pause>();
        const last = workers.get(workerId);
        // After so long without a refusal the worker has accepted orders in between. A long-running step
        // would otherwise keep its long pauses for ever.
        const isRepeated = last !== undefined && from - last.until < LONGEST_PAUSE_MS;
        const lengthMs = isRepeated ? Math.min(LONGEST_PAUSE_MS, last.lengthMs * 2) : FIRST_PAUSE_MS;
        this.pauses.set(step, workers.set(workerId, { until: from + lengthMs, lengthMs }));
    }

    /** Lists the workers that are paused for a step. */
    listPaused(step: Step, now: Millis): ReadonlySet<string> {
        const workers = this.pauses.get(step);
        if (workers === undefined) {
            return NO_WORKERS;
        }
        return new Set([...workers].filter(([, { until }]) => now < until).map(([workerId]) => workerId));
    }
}

const NO_WORKERS: ReadonlySet<string> = new Set();
