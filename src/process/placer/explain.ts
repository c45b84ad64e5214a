/** Says in words why the tasks of a job wait at a placer, or where they run. */
import type { Millis } from "../../common/clock.js";
import type { PlacementCore } from "../placement/placement-core.js";
import type { AttemptBook } from "./attempt-book.js";

/** Tasks of one job that an explanation names at most. */
const MAX_ATTEMPTS_EXPLAINED = 10;

/**
 * Explains a job.
 * @param book - Attempts of the placer.
 * @param core - Its decisions.
 * @param jobId - The job.
 * @param memberId - The placer's entry.
 * @param now - This instant.
 * @returns A line for each of the first tasks; empty if the placer knows of none.
 */
export function explainJob(
    book: AttemptBook,
    core: PlacementCore,
    jobId: string,
    memberId: string,
    now: Millis,
): readonly string[] {
    return book.listOfJob(jobId, MAX_ATTEMPTS_EXPLAINED).map(attempt => {
        const where = attempt.workerId === undefined ? "" : ` on worker ${attempt.workerId}`;
        const reasons = core.explain(attempt.order.attempt, now).join("; ");
        return `task ${attempt.order.index}: ${attempt.state}${where} at placer ${memberId}: ${reasons}`;
    });
}
