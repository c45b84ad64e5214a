/** Short policy, waiting first: before batch work, fair between callers. */
import { CapacityKind, type Policy } from "../policy.js";
import { computeFitCost, URGENT_RANK } from "./batch.js";

/** Rank of short work: after urgent work and before batch work. */
const SHORT_RANK = -1e9;

/** Waiting first. */
export const shortPolicy: Policy = {
    kinds: ["short", "batch"],
    capacity: CapacityKind.room,
    getLineKey: item => `${item.team}/${item.callerId}`,
    computeRank: line => line.urgent ? URGENT_RANK + line.getHeadQueuedAt() : SHORT_RANK + line.startTag,
    computeCost: computeFitCost,
};
