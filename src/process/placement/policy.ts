/** Interface of a scheduling policy: which waiting item is next, and which fitting worker takes it. */
import type { WorkKind } from "../../request/work.js";
import type { Flow } from "./flow.js";
import type { WorkItem } from "./placement-core.js";
import type { WorkerRecord } from "./worker-record.js";

/** Kind of capacity that the items of a policy occupy. */
export const CapacityKind = {
    /** One slot of a running service. */
    slot: "slot",
    /** Processors, memory and accelerators. */
    room: "room",
} as const;
export type CapacityKind = (typeof CapacityKind)[keyof typeof CapacityKind];

/** The part of a flow that a policy may read. */
export type FlowView = Pick<Flow, "branch" | "urgent" | "team" | "startTag" | "getHeadQueuedAt">;

/** The part of a candidate worker that a policy may read. */
export type CandidateView = Readonly<
    Pick<WorkerRecord, "view" | "freeCpu" | "freeMemory" | "freeAccelerators" | "inFlight">
>;

/** Counts a branch's tasks by location, for policies that spread them. */
export interface SpreadCounter {
    /** @returns Number of tasks of the item's branch in the same rack or failure domain as the worker. */
    countNear(item: WorkItem, candidate: CandidateView): number;
}

/**
 * A scheduling policy. It has no state of its own: everything is passed in, so equal calls give equal
 * decisions.
 */
export interface Policy {
    /** Kinds of work whose branches may name this policy. */
    readonly kinds: readonly WorkKind[];
    readonly capacity: CapacityKind;
    /** @returns Key of the flow that an item joins; the items of a flow are served in order of arrival. */
    getFlowKey(item: WorkItem): string;
    /**
     * Ranks a flow against the others; the lowest rank is served first.
     * @returns A number that does not depend on the current time, so that the order stays valid as time
     * passes; it may fall only when the flow's team releases resources.
     */
    computeRank(flow: FlowView): number;
    /** Computes the cost of placing the item on a worker that can take it; the lowest cost is chosen. */
    computeCost(item: WorkItem, candidate: CandidateView, spread: SpreadCounter): number;
}
