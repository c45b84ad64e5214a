/** Ownership of slices: the table, the assignment of slices to members, and the authority to act. */
export { DOMAIN_GROUPS, findWorkerSlice } from "./assignment.js";
export { MEMBER_PREFIX } from "./member-lease.js";
export { type OwnershipOptions, OwnershipRole } from "./ownership-role.js";
export { SliceKind, type SliceName } from "./table-changes.js";
export { type OwnershipTable, Predecessor, TABLE_KEY } from "./table.js";
