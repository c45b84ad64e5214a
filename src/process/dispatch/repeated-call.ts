/**
 * A call to a worker that is made once more if no answer comes soon.
 *
 * @remarks The failure guarded against: some workers leave a few in a hundred calls unanswered for seconds. One order is
 * enough to keep a gang of 20 from starting, and one report hides every end on its worker. Calls are idempotent, so a second
 * try does no harm; that one of two was refused says nothing while the other may have been carried out.
 */
import { waitForTimeout } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { WorkerAnswer } from "../ports/task-worker-port.js";

type Send<Value> = () => Promise<WorkerAnswer<Value>>;

/** What repeating a call needs. */
export interface RepeatedCall<Value> {
    readonly clock: Clock;
    readonly sendFirst: Send<Value>;
    readonly sendAgain: Send<Value>;
    /** Time for the first answer. */
    readonly patienceMs: Millis;
    /** Asked when that has passed: whether an answer is still wanted. */
    readonly isWanted: () => boolean;
    /** The call is made again. */
    readonly handleRepeated: () => void;
    /** The second call was answered and the first was not: its answer is lost. */
    readonly handleLostAnswer: () => void;
}

/**
 * Makes the call.
 * @param options - See {@link RepeatedCall}.
 * @returns The answer that says most: one that was carried out, else one that may have been.
 */
export async function callTwice<Value>(options: RepeatedCall<Value>): Promise<WorkerAnswer<Value>> {
    const first = options.sendFirst();
    const early = await Promise.race([first, waitForTimeout(options.clock, options.patienceMs)]);
    if (early !== undefined || !options.isWanted()) {
        return early ?? first;
    }
    options.handleRepeated();
    const tries = [first, sendSecond(options, first)];
    const soonest = await Promise.race(tries);
    if (soonest.kind === "done" || soonest.kind === "replaced") {
        return soonest;
    }
    const answers = await Promise.all(tries);
    return answers.find(answer => answer.kind === "done") ??
        answers.find(answer => answer.kind === "unknown") ??
        soonest;
}

async function sendSecond<Value>(
    { sendAgain, handleLostAnswer }: RepeatedCall<Value>,
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
