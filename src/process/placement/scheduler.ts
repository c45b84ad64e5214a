/** Interface and shared state of the two schedulers: for slots and for tasks. */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { AllocationLedger } from "./allocation-ledger.js";
import type { ItemRecord } from "./item-record.js";
import type { Decision } from "./placement-core.js";
import type { Policy } from "./policy.js";
import type { RunTimeEstimator } from "./run-time-estimator.js";
import type { WaitingTracker } from "./waiting-tracker.js";

/** State that the schedulers share. */
export interface SchedulerContext {
    readonly ledger: AllocationLedger;
    readonly waiting: WaitingTracker;
    readonly estimator: RunTimeEstimator;
}

/** Places the work that occupies one kind of capacity. */
export interface Scheduler {
    /** Appends an item to its flow. */
    enqueue(record: ItemRecord, policy: Policy): void;
    /** Removes a waiting item; does nothing for items of the other scheduler. */
    remove(record: ItemRecord): void;
    /** Appends decisions until nothing more can be decided or the list has `maxDecisions` entries. */
    decide(now: Millis, random: Random, decisions: Decision[], maxDecisions: number): void;
    /** @returns Reasons why an item waits, as text. */
    explain(record: ItemRecord, now: Millis): readonly string[];
}
