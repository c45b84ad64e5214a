/** State of one request or task from enqueueing until release. */
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import type { Flow } from "./flow.js";
import type { WorkItem } from "./placement-core.js";
import type { WorkerRecord } from "./worker-record.js";

/** Lifecycle state of an item at this placer; `held` is placed for a gang that has not started yet. */
export const ItemState = {
    queued: "queued",
    held: "held",
    running: "running",
} as const;
export type ItemState = (typeof ItemState)[keyof typeof ItemState];

/** An item and its position in a queue or on a worker. */
export class ItemRecord {
    state: ItemState = ItemState.queued;
    worker: WorkerRecord | undefined;
    /** Instant at which the item was placed or held; a gang member gets a new one when the gang starts. */
    startedAt: Millis = 0;
    /** Expected run time, corrected by observed run times. */
    expectedMs: Millis;
    /** Reason for the choice of the worker, for the log and `explain`. */
    reason = "";
    /** Id of the gang whose hold the item belongs to. */
    holdId: string | undefined;
    /** Owner of the reservation ahead of which the item was backfilled. */
    backfilledFor: string | undefined;
    /** The flow in which the item waits, and its neighbours there. */
    flow: Flow | undefined;
    previous: ItemRecord | undefined;
    next: ItemRecord | undefined;

    constructor(
        readonly item: WorkItem,
        readonly branch: BranchSettings | undefined,
        expectedMs: Millis,
    ) {
        this.expectedMs = expectedMs;
    }
}
