/** When the runs of steps last began or ended, and which orders were refused since. Kept by the leader that saw it. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";

/** An order that did not start its run. */
export interface RefusedOrder {
    readonly workerId: string;
    readonly reason: string;
}

/** What is known of one step. */
export interface StepRecord {
    /** When a run last began or ended; undefined before the first. */
    movedAt: Millis | undefined;
    /** Orders that were refused since a run last began. */
    refusals: number;
    lastRefusal: RefusedOrder | undefined;
}

/** The history; see the module comment. */
export class StepHistory {
    private readonly records = new WeakMap<Step, StepRecord>();

    /** Takes in that a run has begun. */
    observeBegin(step: Step, now: Millis): void {
        const record = this.getRecord(step);
        record.movedAt = now;
        record.refusals = 0;
        record.lastRefusal = undefined;
    }

    /** Takes in that a run which had begun has ended. */
    observeEnd(step: Step, now: Millis): void {
        this.getRecord(step).movedAt = now;
    }

    /** Takes in that an order did not start its run. */
    observeRefusal(step: Step, refusal: RefusedOrder): void {
        const record = this.getRecord(step);
        record.refusals += 1;
        record.lastRefusal = refusal;
    }

    /** Finds what is known of a step. */
    find(step: Step): Readonly<StepRecord> | undefined {
        return this.records.get(step);
    }

    /** Returns when a step, or one that it waited for, last had a run that began or ended; undefined where none did. */
    findLastMove(step: Step): Millis | undefined {
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
