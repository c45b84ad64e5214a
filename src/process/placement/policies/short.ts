/** Policy for short tasks, which favors short waits: ahead of batch work, and fair between callers. */
import { CapacityKind, type Policy } from "../policy.js";
import { computeFitCost, URGENT_RANK } from "./batch.js";

/** Base rank of short work: after urgent work and before batch work. */
const SHORT_RANK = -1e9;

/** The policy for short tasks. */
export const shortPolicy: Policy = {
    kinds: ["short", "batch"],
    capacity: CapacityKind.room,
    getFlowKey: item => `${item.team}/${item.callerId}`,
    computeRank: flow => flow.urgent ? URGENT_RANK + flow.getHeadQueuedAt() : SHORT_RANK + flow.startTag,
    computeCost: computeFitCost,
};
