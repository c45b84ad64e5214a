/** Placement decisions of one placer: the core, its policies and its quota shares. */
export { createPlacementCore, type PlacementCoreOptions } from "./core.js";
export * from "./placement-core.js";
export { POLICIES, type PolicyName } from "./policies/index.js";
export {
    type CandidateView,
    CapacityKind,
    type FlowView,
    type Policy,
    type SpreadCounter,
} from "./policy.js";
export { type ShareGrant, ShareHolder, ShareLender, type ShareReport } from "./quota-shares.js";
