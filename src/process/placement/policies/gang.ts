/**
 * Gang policy: members start together by a hold, so the rank orders only members that run alone; members are
 * packed next to each other.
 */
import { CapacityKind, type Policy } from "../policy.js";
import { computeBatchRank, computeFitCost } from "./batch.js";

/** All at once. */
export const gangPolicy: Policy = {
    kinds: ["gang"],
    capacity: CapacityKind.room,
    getLineKey: item => item.team,
    computeRank: computeBatchRank,
    computeCost: computeFitCost,
};
