/** What a policy decides: who is next and which of several fitting workers takes it. */
import type { WorkKind } from "../../request/work.js";
import type { Line } from "./line.js";
import type { WorkItem } from "./placement-core.js";
import type { WorkerRecord } from "./worker-record.js";

/** What the work of a policy takes up. */
export const CapacityKind = {
    /** One slot of a running service. */
    slot: "slot",
    /** Processors, memory and accelerators. */
    room: "room",
} as const;
export type CapacityKind = (typeof CapacityKind)[keyof typeof CapacityKind];

/** A waiting line, as far as a policy may read it. */
export type LineView = Pick<Line, "branch" | "urgent" | "team" | "startTag" | "getHeadQueuedAt">;

/** A worker, as far as a policy may read it. */
export type PlaceView = Readonly<
    Pick<WorkerRecord, "view" | "freeCpu" | "freeMemory" | "freeAccelerators" | "inFlight">
>;

/** How many tasks of the item's branch run where, for policies that spread. */
export interface SpreadCount {
    /** @returns Tasks of the item's branch in the same rack or failure domain as the worker. */
    countNear(item: WorkItem, place: PlaceView): number;
}

/**
 * One policy. It holds no state of its own: all it needs is passed in, so equal calls give equal decisions.
 */
export interface Policy {
    /** Kinds of work whose branches may name it. */
    readonly kinds: readonly WorkKind[];
    readonly capacity: CapacityKind;
    /** @returns Key of the waiting line that an item joins; the items of a line go in order of arrival. */
    getLineKey(item: WorkItem): string;
    /**
     * Ranks a waiting line against the others; the lowest goes first.
     * @returns A number that does not depend on the present instant, so that the order stays right as time
     * passes; it may fall only when the line's team gives resources back.
     */
    computeRank(line: LineView): number;
    /** Rates a worker that has room for the item; the lowest is chosen. */
    computeCost(item: WorkItem, place: PlaceView, spread: SpreadCount): number;
}
