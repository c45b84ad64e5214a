/** Service policy, waiting first: fair between branches by weight and between callers, least loaded of two. */
import { CapacityKind, type Policy } from "../policy.js";

/** Waiting first. */
export const servicePolicy: Policy = {
    kinds: ["service"],
    capacity: CapacityKind.slot,
    getLineKey: item => item.callerId,
    computeRank: line => line.startTag,
    computeCost: (_item, place) => place.inFlight / Math.max(1, place.view.slots),
};
