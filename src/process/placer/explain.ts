/** Explains in text why the tasks of a job wait at a placer, or where they run. */
import type { Millis } from "../../common/clock.js";
import type { PlacementCore } from "../placement/placement-core.js";
import type { AttemptRegistry } from "./attempt-registry.js";

/** Maximum number of tasks of one job in an explanation. */
const MAX_ATTEMPTS_EXPLAINED = 10;

/**
 * Explains the state of a job's tasks at this placer.
 * @param memberId - Id of the entry that this placer runs on.
 * @returns One line for each of the first {@link MAX_ATTEMPTS_EXPLAINED} tasks; empty if the placer holds
 * none.
 */
export function explainJob(
    attempts: AttemptRegistry,
    core: PlacementCore,
    jobId: string,
    memberId: string,
    now: Millis,
): readonly string[] {
    return attempts.listOfJob(jobId, MAX_ATTEMPTS_EXPLAINED).map(attempt => {
        const where = attempt.workerId === undefined ? "" : ` on worker ${attempt.workerId}`;
        const reasons = core.explain(attempt.order.attempt, now).join("; ");
        return `task ${attempt.order.index}: ${attempt.state}${where} at placer ${memberId}: ${reasons}`;
    });
}
