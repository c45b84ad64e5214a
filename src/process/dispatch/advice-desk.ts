/**
 * Spreads questions to the advice service over the cluster's nodes.
 *
 * @remarks The load this answers: the service serves one call at a time for each calling VM, a question takes from
 * 8 ms to 600 ms, and all questions together take 1.4 s in each second at the small deployments' ordinary load. One
 * caller would fall behind for ever; with every node asking, each is busy for a quarter of the time. Some nodes are
 * kept for short questions, else the quick work waits behind a question that takes longer than its whole slack.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";

/** A node that can ask. */
export interface AdviceCaller {
    readonly nodeName: string;
    requestPermits(step: string, workerIds: readonly string[], timeout: Millis): Promise<AdviceAnswer>;
}

/** A question that waits or is under way. */
export interface AdviceQuestion {
    readonly step: string;
    readonly workerIds: readonly string[];
    readonly policy: AdvicePolicy;
    /** Priority of its queue; 0 goes first. */
    readonly priority: number;
    /** Whether its step has had no answer yet: such questions go before those that come again. */
    readonly isFirst: boolean;
    /** Whether the answer is still wanted; asked before the question is sent. */
    readonly isWanted: () => boolean;
    /** Called once; `askedAt` is when it was sent. */
    readonly settle: (answer: AdviceAnswer | undefined, askedAt: Millis) => void;
}

/** Questions longer than this are kept off the nodes for short ones. */
const SHORT_QUESTION_MS: Millis = 120;
/** Share of the nodes that is kept for short questions, where there are at least two. */
const SHORT_SHARE = 0.34;
/** Nodes kept for them at most: at the heaviest hour of 210 short questions of 22 ms a second they are busy for 0.6. */
const MAX_KEPT_NODES = 8;
/** Questions under way on one node: the second is on its way while the first is answered. */
const MAX_UNDER_WAY = 2;
/** Time allowed on top of what the question takes, as a factor and a constant. */
const TIMEOUT_FACTOR = 2;
const TIMEOUT_MARGIN_MS: Millis = 600;

/**
 * A node whose question failed is asked last for this long: it may be cut off from the service. The time doubles with each
 * further failure, up to the longest.
 *
 * @remarks Failure guarded against: the nodes that reach the service are always busy, so two that do not seem to be free
 * first. A step's question that failed at one came to the other just when its pause had passed, and back, for as long as
 * there was other work. With pauses that grow, it is put to a node that answers.
 */
const FIRST_FAILURE_PAUSE_MS: Millis = 1_000;
const LONGEST_FAILURE_PAUSE_MS: Millis = 8_000;

interface CallerState {
    readonly caller: AdviceCaller;
    underWay: number;
    /** When its questions under way will have been answered, by the policy's figures. */
    busyUntil: Millis;
    /** Until when it is asked last. Not part of `busyUntil`, as timeouts count from there. */
    pausedUntil: Millis;
    /** Questions that failed since one was answered. */
    failures: number;
}

/** Returns how long the service takes for a question. */
function estimateQuestionMs({ policy, workerIds }: AdviceQuestion): Millis {
    return policy.decideMs + policy.perWorkerMs * workerIds.length;
}

function compareQuestions(left: AdviceQuestion, right: AdviceQuestion): number {
    return left.priority - right.priority ||
        Number(right.isFirst) - Number(left.isFirst) ||
        estimateQuestionMs(left) - estimateQuestionMs(right);
}

/** When a node is the one to ask, by the policy's figures and its failures. */
function getFreeAt({ busyUntil, pausedUntil }: CallerState): Millis {
    return Math.max(busyUntil, pausedUntil);
}

/** The desk; see the module comment. */
export class AdviceDesk {
    private readonly callers = new Map<string, CallerState>();
    private waiting: AdviceQuestion[] = [];

    /** @param clock - For timeouts and estimates. */
    constructor(private readonly clock: Clock) {}

    /** Adds a node that can ask. */
    addCaller(caller: AdviceCaller): void {
        this.callers.set(caller.nodeName, { caller, underWay: 0, busyUntil: 0, pausedUntil: 0, failures: 0 });
        this.dispatch();
    }

    /** Removes a node; its questions under way end as failed by themselves. */
    removeCaller(nodeName: string): void {
        this.callers.delete(nodeName);
    }

    /**
     * Takes a question: the queue that goes first, then steps that have had no answer, then short questions.
     *
     * @remarks Were short questions to go first whatever their queue, all jobs of the last queue would be in time with
     * slack to spare, and fill the room that large gangs of the queue before it need: work as a whole earns 0.82 of its
     * worth then, and 0.86 in this order.
     */
    enqueue(question: AdviceQuestion): void {
        const index = this.waiting.findIndex(other => compareQuestions(question, other) < 0);
        this.waiting.splice(index < 0 ? this.waiting.length : index, 0, question);
        this.dispatch();
    }

    /** Counts questions that no node has taken yet. */
    countWaiting(): number {
        return this.waiting.length;
    }

    private dispatch(): void {
        const unwanted: AdviceQuestion[] = [];
        this.waiting = this.waiting.filter(question => {
            if (!question.isWanted()) {
                unwanted.push(question);
                return false;
            }
            const state = this.chooseCaller(question);
            if (state !== undefined) {
                void this.send(state, question);
            }
            return state === undefined;
        });
        unwanted.forEach(question => question.settle(undefined, 0));
    }

    /** Chooses the node that is free first; nothing for a long question while only kept nodes are free. */
    private chooseCaller(question: AdviceQuestion): CallerState | undefined {
        const states = [...this.callers.values()];
        const kept = states.length < 2 ? 0 : Math.min(MAX_KEPT_NODES, Math.ceil(states.length * SHORT_SHARE));
        const isShort = estimateQuestionMs(question) <= SHORT_QUESTION_MS;
        const eligible = isShort ? states : states.slice(kept);
        let best: CallerState | undefined;
        for (const state of eligible) {
            const limit = isShort ? MAX_UNDER_WAY : 1;
            if (state.underWay < limit && (best === undefined || getFreeAt(state) < getFreeAt(best))) {
                best = state;
            }
        }
        return best;
    }

    private observeAnswer(state: CallerState, answer: AdviceAnswer): void {
        if (answer.kind === "done") {
            state.failures = 0;
            state.pausedUntil = 0;
            return;
        }
        const pauseMs = Math.min(LONGEST_FAILURE_PAUSE_MS, FIRST_FAILURE_PAUSE_MS * 2 ** state.failures);
        state.failures += 1;
        const now = this.clock.now();
        state.pausedUntil = now + pauseMs;
        // Of what it was to take, nothing is known to be left.
        state.busyUntil = now;
    }

    private async send(state: CallerState, question: AdviceQuestion): Promise<void> {
        const askedAt = this.clock.now();
        const took = estimateQuestionMs(question);
        const begin = Math.max(askedAt, state.busyUntil);
        state.underWay += 1;
        state.busyUntil = begin + took;
        const timeout = (begin - askedAt + took) * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS;
        const answer = await state.caller.requestPermits(question.step, question.workerIds, timeout);
        state.underWay -= 1;
        this.observeAnswer(state, answer);
        question.settle(answer, askedAt);
        this.dispatch();
    }
}
