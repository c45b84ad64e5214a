/**
 * Service policy, which favors short waits: fair between branches by weight and then between callers, on the
 * less loaded of two sampled workers.
 */
import { CapacityKind, type Policy } from "../policy.js";

/** The policy for service requests. */
export const servicePolicy: Policy = {
    kinds: ["service"],
    capacity: CapacityKind.slot,
    getFlowKey: item => item.callerId,
    computeRank: flow => flow.startTag,
    computeCost: (_item, candidate) => candidate.inFlight / Math.max(1, candidate.view.slots),
};
