/** The decisions of one placer. */
export { createPlacementCore, type PlacementCoreOptions } from "./core.js";
export * from "./placement-core.js";
export { POLICIES, type PolicyName } from "./policies/index.js";
export { CapacityKind, type LineView, type PlaceView, type Policy, type SpreadCount } from "./policy.js";
export { type ShareGrant, ShareHolder, ShareLender, type ShareReport } from "./quota-shares.js";
