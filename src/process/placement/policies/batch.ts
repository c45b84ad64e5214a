/**
 * Batch policy, which favors packing: weighted dominant-resource fairness over teams, aging, and best fit in
 * all dimensions.
 *
 * @remarks The rank is the instant at which waiting began plus a delay in proportion to the team's dominant
 * share. It does not use the current time: newer work gets higher ranks, so others pass waiting work only for
 * as long as its team's share is worth, and nothing starves.
 */
import type { WorkItem } from "../placement-core.js";
import {
    type CandidateView,
    CapacityKind,
    type FlowView,
    type Policy,
    type SpreadCounter,
} from "../policy.js";

/** Delay, in milliseconds at aging 1, that a dominant share of the whole cell is worth: a minute for 1%. */
const SHARE_WORTH_MS = 100 * 60_000;
const MIN_AGING = 0.001;
/** Base rank of urgent work, below that of any other work. */
export const URGENT_RANK = -1e12;
/** Cost added for each task of the branch in the same rack or failure domain, for branches that spread. */
const SPREAD_COST = 0.25;

/** @returns The rank of a batch flow. */
export function computeBatchRank(flow: FlowView): number {
    if (flow.urgent) {
        return URGENT_RANK + flow.getHeadQueuedAt();
    }
    const aging = Math.max(flow.branch.agingPerMinute, MIN_AGING);
    const share = flow.team.getDominantShare() / Math.max(flow.branch.weight, MIN_AGING);
    return flow.getHeadQueuedAt() + share * SHARE_WORTH_MS / aging;
}

/** @returns Sum of the unused shares of the worker, imbalance of processors and memory, and spread cost. */
export function computeFitCost(item: WorkItem, candidate: CandidateView, spread: SpreadCounter): number {
    const { capacity } = candidate.view;
    const cpu = (candidate.freeCpu - item.resources.cpuMillis) / Math.max(1, capacity.cpuMillis);
    const memory = (candidate.freeMemory - item.resources.memoryMib) / Math.max(1, capacity.memoryMib);
    const accelerators = capacity.accelerators === 0 ?
        0 :
        (candidate.freeAccelerators - item.resources.accelerators) / capacity.accelerators;
    return cpu + memory + accelerators + Math.abs(cpu - memory) +
        SPREAD_COST * spread.countNear(item, candidate);
}

/** The policy for batch work. */
export const batchPolicy: Policy = {
    kinds: ["batch", "short"],
    capacity: CapacityKind.room,
    getFlowKey: item => item.team,
    computeRank: computeBatchRank,
    computeCost: computeFitCost,
};
