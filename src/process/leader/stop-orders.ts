/** Orders to stop a run, repeated until its end is known. */
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { WorkerSession } from "../dispatch/worker-session.js";
import type { RunRecord } from "../dispatch/worker-state.js";
import type { LeaderContext } from "./context.js";

/** Time after an unanswered order until it is repeated. */
const RETRY_MS: Millis = 400;
/** Time from the end of a stopped run until its worker has reported it. */
const END_REPORT_MS: Millis = 100;

/**
 * Orders a run to stop, and repeats the order if its end is not known in time.
 * @param findSession - Returns the session of the run's worker; undefined once no further order is needed.
 */
export async function sendStops(
    { clock, stopMs }: Pick<LeaderContext, "clock" | "stopMs">,
    run: RunRecord,
    findSession: () => WorkerSession | undefined,
): Promise<void> {
    for (let session = findSession(); session !== undefined; session = findSession()) {
        const answer = await session.stop({ task: run.task, run: run.run });
        if (answer.kind === "done") {
            run.settledAfter = Math.min(run.settledAfter, answer.value);
        }
        await sleep(clock, answer.kind === "done" ? stopMs + END_REPORT_MS : RETRY_MS);
    }
}
