/**
 * Describes the effect of a branch's change on its work in general terms, without knowledge of the waiting
 * work.
 */
import { Adoption, type BranchSettings } from "../../version/index.js";

const EFFECTS_BY_ADOPTION: Readonly<Record<Adoption, string>> = {
    [Adoption.off]: 'new work of the branch is answered "not run", and what waits is given up so',
    [Adoption.shadow]: "work of the branch is decided and logged, and nothing is started",
    [Adoption.on]: "work of the branch is placed and started",
};

/**
 * Describes the effect of a change on a branch.
 * @param before - Its settings in force; undefined if it is new.
 * @param after - Its settings after the edit; undefined if it is removed.
 */
export function describeEffect(
    path: string,
    before: BranchSettings | undefined,
    after: BranchSettings | undefined,
): string {
    if (after === undefined) {
        return `"${path}" takes no more work: new work is refused, and what waits is given up as "not run"`;
    }
    if (before === undefined || before.adoption !== after.adoption) {
        return EFFECTS_BY_ADOPTION[after.adoption];
    }
    if (after.queueLimit < before.queueLimit) {
        return "what waits over the new queue limit stays; new work is shed until the queue is below it";
    }
    return "work that waits is decided by the new values from the moment they are in force";
}
