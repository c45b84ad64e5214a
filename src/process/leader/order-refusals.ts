/** Which workers did not take the orders of which step lately. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";

/** Pause of a worker for a step after its first refusal; it doubles with each that follows soon, up to the longest. */
const FIRST_PAUSE_MS: Millis = 300;
const LONGEST_PAUSE_MS: Millis = 10_000;

interface Pause {
    /** On our clock. */
    readonly until: Millis;
    readonly lengthMs: Millis;
}

/**
 * Refusals of orders, by step and worker.
 *
 * @remarks Failure guarded against: the worker that is the best place for a task refuses its order for a reason that
 * changes nothing about the worker, and is the best place again in the next pass. The task never starts, while others would
 * take it. The reason may be about the step alone, so the worker stays open to all other steps.
 */
export class OrderRefusals {
    private readonly pauses = new WeakMap<Step, Map<string, Pause>>();

    /**
     * Takes in that a worker did not take an order.
     * @param from - When the task can be given to a worker again.
     */
    observe(step: Step, workerId: string, from: Millis): void {
        const workers = this.pauses.get(step) ?? new Map<string, Pause>();
        const last = workers.get(workerId);
        // A worker that has not refused for so long took orders in between: a service would have long pauses for ever.
        const isRepeated = last !== undefined && from - last.until < LONGEST_PAUSE_MS;
        const lengthMs = isRepeated ? Math.min(LONGEST_PAUSE_MS, last.lengthMs * 2) : FIRST_PAUSE_MS;
        this.pauses.set(step, workers.set(workerId, { until: from + lengthMs, lengthMs }));
    }

    /** Lists the workers that get nothing of a step for now. */
    listPaused(step: Step, now: Millis): ReadonlySet<string> {
        const workers = this.pauses.get(step);
        if (workers === undefined) {
            return NOBODY;
        }
        return new Set([...workers].filter(([, { until }]) => now < until).map(([workerId]) => workerId));
    }
}

const NOBODY: ReadonlySet<string> = new Set();
