/**
 * A hedged call: a call to a worker that is made a second time if no answer comes soon.
 *
 * @remarks Some workers leave a few in a hundred calls unanswered for seconds. One lost order keeps a gang of
 * 20 from starting, and one lost report hides every ended run on its worker. Calls are idempotent, so a
 * second one does no harm. That one of two calls was refused says nothing while the other may have been
 * carried out.
 */
import { waitForTimeout } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { WorkerAnswer } from "../ports/task-worker-port.js";

type Send<Value> = () => Promise<WorkerAnswer<Value>>;

/** A call and how to hedge it. */
export interface HedgedCall<Value> {
    readonly clock: Clock;
    readonly sendFirst: Send<Value>;
    readonly sendAgain: Send<Value>;
    /** Time without an answer after which the second call is made. */
    readonly hedgeDelayMs: Millis;
    /** Asked at that time: whether the second call is still wanted and may be made. */
    readonly isWanted: () => boolean;
    /** The second call is made. */
    readonly handleHedged: () => void;
    /** The second call was answered before the first, whose answer counts as lost. */
    readonly handleLostAnswer: () => void;
}

/**
 * Makes the call.
 * @returns The most conclusive answer: of a call that was carried out, else of one that may have been.
 */
export async function callHedged<Value>(options: HedgedCall<Value>): Promise<WorkerAnswer<Value>> {
    const first = options.sendFirst();
    const early = await Promise.race([first, waitForTimeout(options.clock, options.hedgeDelayMs)]);
    if (early !== undefined || !options.isWanted()) {
        return early ?? first;
    }
    options.handleHedged();
    const attempts = [first, sendHedge(options, first)];
    const firstSettled = await Promise.race(attempts);
    if (firstSettled.kind === "done" || firstSettled.kind === "replaced") {
        return firstSettled;
    }
    const answers = await Promise.all(attempts);
    return answers.find(answer => answer.kind === "done") ??
        answers.find(answer => answer.kind === "unknown") ??
        firstSettled;
}

async function sendHedge<Value>(
    { sendAgain, handleLostAnswer }: HedgedCall<Value>,
    first: Promise<WorkerAnswer<Value>>,
): Promise<WorkerAnswer<Value>> {
    let hasFirstEnded = false;
    void first.then(() => hasFirstEnded = true);
    const answer = await sendAgain();
    if (answer.kind === "done" && !hasFirstEnded) {
        handleLostAnswer();
    }
    return answer;
}
