/**
 * When the runs of steps last began or ended, and which orders were refused since, as observed by this
 * leader.
 */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";

/** An order that did not start its run. */
export interface RefusedOrder {
    readonly workerId: string;
    readonly reason: string;
}

/** What is known about one step. */
export interface StepRecord {
    /** When a run last began or ended; undefined before the first. */
    movedAt: Millis | undefined;
    /** Number of orders that were refused since a run last began. */
    refusals: number;
    lastRefusal: RefusedOrder | undefined;
}

/** Records the starts, ends and refusals of steps, in memory only. */
export class StepHistory {
    private readonly records = new WeakMap<Step, StepRecord>();

    /** Records that a run has begun; this clears the refusals. */
    observeBegin(step: Step, now: Millis): void {
        const record = this.getRecord(step);
        record.movedAt = now;
        record.refusals = 0;
        record.lastRefusal = undefined;
    }

    /** Records that a run which had begun has ended. */
    observeEnd(step: Step, now: Millis): void {
        this.getRecord(step).movedAt = now;
    }

    /** Records that an order did not start its run. */
    observeRefusal(step: Step, refusal: RefusedOrder): void {
        const record = this.getRecord(step);
        record.refusals += 1;
        record.lastRefusal = refusal;
    }

    /** Finds what is known about a step. */
    find(step: Step): Readonly<StepRecord> | undefined {
        return this.records.get(step);
    }

    /**
     * Returns when a run of a step, or of one that it depends on, last began or ended; undefined if none did.
     */
    findLastChange(step: Step): Millis | undefined {
        let last = this.records.get(step)?.movedAt;
        for (const number of step.spec.after) {
            const earlier = step.occurrence.steps[number];
            const movedAt = earlier && this.records.get(earlier)?.movedAt;
            if (movedAt !== undefined && movedAt > (last ?? -Infinity)) {
                last = movedAt;
            }
        }
        return last;
    }

    private getRecord(step: Step): StepRecord {
        const known = this.records.get(step);
        if (known !== undefined) {
            return known;
        }
        const created: StepRecord = { movedAt: undefined, refusals: 0, lastRefusal: undefined };
        this.records.set(step, created);
        return created;
    }
}
