/**
 * Names of the placement policies, by kind of work, read from the table of handlers, so that a tree with an
 * unknown policy is refused before it is written and a new policy needs one row only.
 */
import { POLICIES } from "../process/placement/policies/index.js";
import type { Policy } from "../process/placement/policy.js";
import { WorkKind } from "../request/work.js";

/** Policies that a branch of each kind may name; the first one, named like the kind, is the default. */
export const POLICY_NAMES: Readonly<Record<WorkKind, readonly [string, ...string[]]>> = {
    [WorkKind.service]: listNames(WorkKind.service),
    [WorkKind.batch]: listNames(WorkKind.batch),
    [WorkKind.gang]: listNames(WorkKind.gang),
    [WorkKind.short]: listNames(WorkKind.short),
};

/** Names of all policies. */
export const ALL_POLICY_NAMES: readonly string[] = [...new Set(Object.values(POLICY_NAMES).flat())];

function listNames(kind: WorkKind): readonly [string, ...string[]] {
    const policies: readonly (readonly [string, Policy])[] = Object.entries(POLICIES);
    const others = policies.filter(([name, policy]) => name !== kind && policy.kinds.includes(kind));
    return [kind, ...others.map(([name]) => name)];
}
