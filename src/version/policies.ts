/**
 * Names of the placement policies, by kind of work. The handlers stand in `src/process/placement/`; the names
 * stand here so that a tree with an unknown policy is refused before it is written.
 */
import { WorkKind } from "../request/work.js";

/** Policies that a branch of each kind may name; the first one is the default. */
export const POLICY_NAMES: Readonly<Record<WorkKind, readonly [string, ...string[]]>> = {
    [WorkKind.service]: ["service"],
    [WorkKind.batch]: ["batch", "short"],
    [WorkKind.gang]: ["gang"],
    [WorkKind.short]: ["short", "batch"],
};

/** Names of all policies. */
export const ALL_POLICY_NAMES: readonly string[] = [...new Set(Object.values(POLICY_NAMES).flat())];
