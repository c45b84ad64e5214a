/**
 * Gang policy: members start together through a hold, so the rank orders only members that run alone. Members
 * are packed by best fit.
 */
import { CapacityKind, type Policy } from "../policy.js";
import { computeBatchRank, computeFitCost } from "./batch.js";

/** The policy for gangs. */
export const gangPolicy: Policy = {
    kinds: ["gang"],
    capacity: CapacityKind.room,
    getFlowKey: item => item.team,
    computeRank: computeBatchRank,
    computeCost: computeFitCost,
};
