/**
 * Batch policy, packing first: weighted dominant-resource fairness over teams, aging, best fit in all
 * dimensions.
 *
 * @remarks The rank is the instant at which waiting began, moved back by the team's dominant share. It needs no
 * present time: as time passes newer work gets ever higher ranks, so old work is passed by at most for as
 * long as its team's share is worth, and nothing starves.
 */
import type { WorkItem } from "../placement-core.js";
import { CapacityKind, type LineView, type PlaceView, type Policy, type SpreadCount } from "../policy.js";

/** Milliseconds of waiting that one whole cell of dominant share is worth at aging 1: a minute for 1%. */
const SHARE_WORTH_MS = 100 * 60_000;
const MIN_AGING = 0.001;
/** Rank of urgent work, below that of any other. */
export const URGENT_RANK = -1e12;
/** What one task nearby costs against a perfect fit, for branches that spread. */
const SPREAD_COST = 0.25;

/** @returns The rank of a batch line. */
export function computeBatchRank(line: LineView): number {
    if (line.urgent) {
        return URGENT_RANK + line.getHeadQueuedAt();
    }
    const aging = Math.max(line.branch.agingPerMinute, MIN_AGING);
    const share = line.team.getDominantShare() / Math.max(line.branch.weight, MIN_AGING);
    return line.getHeadQueuedAt() + share * SHARE_WORTH_MS / aging;
}

/** @returns What would be left unused, as a share of the worker, with unevenness between the dimensions added. */
export function computeFitCost(item: WorkItem, place: PlaceView, spread: SpreadCount): number {
    const { capacity } = place.view;
    const cpu = (place.freeCpu - item.resources.cpuMillis) / Math.max(1, capacity.cpuMillis);
    const memory = (place.freeMemory - item.resources.memoryMib) / Math.max(1, capacity.memoryMib);
    const accelerators = capacity.accelerators === 0 ?
        0 :
        (place.freeAccelerators - item.resources.accelerators) / capacity.accelerators;
    return cpu + memory + accelerators + Math.abs(cpu - memory) + SPREAD_COST * spread.countNear(item, place);
}

/** Packing first. */
export const batchPolicy: Policy = {
    kinds: ["batch", "short"],
    capacity: CapacityKind.room,
    getLineKey: item => item.team,
    computeRank: computeBatchRank,
    computeCost: computeFitCost,
};
