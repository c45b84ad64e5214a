/**
 * Names of the placement policies by kind of work, read from the policy table. A tree with an unknown policy is
 * thus refused before it is written, and a new policy only needs a row in that table.
 */
import { POLICIES } from "../process/placement/policies/index.js";
import type { Policy } from "../process/placement/policy.js";
import { WorkKind } from "../request/work.js";

/** Policies that a branch of each kind may name; the first one, named like the kind, is the default. */
export const POLICY_NAMES: Readonly<Record<WorkKind, readonly [string, ...string[]]>> = {
    [WorkKind.service]: listPolicyNames(WorkKind.service),
    [WorkKind.batch]: listPolicyNames(WorkKind.batch),
    [WorkKind.gang]: listPolicyNames(WorkKind.gang),
    [WorkKind.short]: listPolicyNames(WorkKind.short),
};

/** Names of all policies. */
export const ALL_POLICY_NAMES: readonly string[] = [...new Set(Object.values(POLICY_NAMES).flat())];

function listPolicyNames(kind: WorkKind): readonly [string, ...string[]] {
    const policies: readonly (readonly [string, Policy])[] = Object.entries(POLICIES);
    const others = policies.filter(([name, policy]) => name !== kind && policy.kinds.includes(kind));
    return [kind, ...others.map(([name]) => name)];
}
