/** One request or task from the moment it waits until it is released. */
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import type { Line } from "./line.js";
import type { WorkItem } from "./placement-core.js";
import type { WorkerRecord } from "./worker-record.js";

/** Where an item is in its life at this placer. */
export const ItemState = {
    queued: "queued",
    held: "held",
    running: "running",
} as const;
export type ItemState = (typeof ItemState)[keyof typeof ItemState];

/** An item and its place in the queue or on a worker. */
export class ItemRecord {
    state: ItemState = ItemState.queued;
    worker: WorkerRecord | undefined;
    /** Instant of the start decision. */
    startedAt: Millis = 0;
    /** Corrected estimate of its run time. */
    expectedMs: Millis;
    /** Why it runs where it runs, in words. */
    reason = "";
    /** Gang whose hold it belongs to. */
    holdId: string | undefined;
    /** Owner of the reservation in front of which it was started. */
    backfilledFor: string | undefined;
    /** The waiting line it stands in, and its neighbours there. */
    line: Line | undefined;
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
