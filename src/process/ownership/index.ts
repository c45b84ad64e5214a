/** Ownership of slices: the table, who should own what, and the right to act. */
export { DOMAIN_GROUPS, findWorkerSlice } from "./assignment.js";
export { MEMBER_PREFIX } from "./member-lease.js";
export { type OwnershipOptions, OwnershipRole } from "./ownership-role.js";
export { SliceKind, type SliceName } from "./plan.js";
export { type OwnershipTable, Predecessor, TABLE_KEY } from "./table.js";
