/**
 * Spreads questions to the advice service over the cluster's nodes.
 *
 * @remarks The load this answers: the service serves one call at a time for each calling VM, a question takes from
 * 8 ms to 600 ms, and all questions together take 1.4 s in each second at the small deployments' ordinary load. One
 * caller would fall behind for ever; with every node asking, each is busy for a quarter of the time. Some nodes are
 * kept for short questions, else the quick work waits behind a question that takes longer than its whole slack.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { Log } from "../telemetry.js";

/** A node that can ask. */
export interface AdviceCaller {
    readonly nodeName: string;
    /** Is to settle within the timeout; see {@link AdviceDesk} for what does not. */
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
    /** Called when a node is asked. */
    readonly handleSent: (nodeName: string) => void;
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
/** Time for a caller's own word that its timeout has passed. */
const SILENCE_MARGIN_MS: Millis = 200;

/** A node whose question failed is asked last for this long: it may be cut off from the service. */
const FAILED_CALLER_PAUSE_MS: Millis = 1_000;

interface CallerState {
    readonly caller: AdviceCaller;
    underWay: number;
    /** What its questions under way take together, by the policy's figures. */
    underWayMs: Millis;
    /** When its questions under way will have been answered, by the policy's figures. */
    busyUntil: Millis;
    /** Until when it counts as cut off from the service. */
    failedUntil: Millis;
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

/**
 * The desk; see the module comment.
 *
 * @remarks Failure guarded against: a caller throws, or never answers. A step puts one question at a time, so one that is
 * never settled keeps it from asking for ever, and its tasks stand still beside empty workers. Every question is settled
 * within its timeout, as failed if need be, whatever the caller does.
 */
export class AdviceDesk {
    private readonly callers = new Map<string, CallerState>();
    private waiting: AdviceQuestion[] = [];

    /**
     * @param clock - For timeouts and estimates.
     * @param log - For callers that throw or do not answer.
     */
    constructor(private readonly clock: Clock, private readonly log: Log) {}

    /** Adds a node that can ask. */
    addCaller(caller: AdviceCaller): void {
        this.callers.set(caller.nodeName, {
            caller,
            underWay: 0,
            underWayMs: 0,
            busyUntil: 0,
            failedUntil: 0,
        });
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

    /**
     * Chooses the node that is free first; nothing for a long question while only kept nodes are free.
     *
     * @remarks Failure guarded against: the few nodes that may put long questions are cut off from the service, and every
     * long question fails there while the kept nodes have nothing to do. Those take long questions too then.
     */
    private chooseCaller(question: AdviceQuestion): CallerState | undefined {
        const states = [...this.callers.values()];
        const kept = states.length < 2 ? 0 : Math.min(MAX_KEPT_NODES, Math.ceil(states.length * SHORT_SHARE));
        const isShort = estimateQuestionMs(question) <= SHORT_QUESTION_MS;
        const usual = isShort ? states : states.slice(kept);
        const now = this.clock.now();
        const eligible = usual.some(state => now >= state.failedUntil) ? usual : states;
        let best: CallerState | undefined;
        for (const state of eligible) {
            const limit = isShort ? MAX_UNDER_WAY : 1;
            if (state.underWay < limit && state.busyUntil < (best?.busyUntil ?? Infinity)) {
                best = state;
            }
        }
        return best;
    }

    private async send(state: CallerState, question: AdviceQuestion): Promise<void> {
        const askedAt = this.clock.now();
        const took = estimateQuestionMs(question);
        const begin = Math.max(askedAt, state.busyUntil);
        state.underWay += 1;
        state.underWayMs += took;
        state.busyUntil = begin + took;
        question.handleSent(state.caller.nodeName);
        const timeout = (begin - askedAt + took) * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS;
        const answer = await this.requestAnswer(state.caller, question, timeout);
        state.underWay -= 1;
        state.underWayMs -= took;
        const now = this.clock.now();
        // A service that is quicker than its figures must not push the estimate ahead with each answer: timeouts count from
        // there, and one lost answer would hold its step up for minutes.
        if (answer.kind === "done") {
            state.busyUntil = Math.min(state.busyUntil, now + state.underWayMs);
        }
        else {
            state.failedUntil = now + FAILED_CALLER_PAUSE_MS;
            state.busyUntil = state.failedUntil;
        }
        question.settle(answer, askedAt);
        this.dispatch();
    }

    private async requestAnswer(
        caller: AdviceCaller,
        { step, workerIds }: AdviceQuestion,
        timeout: Millis,
    ): Promise<AdviceAnswer> {
        const limit = timeout + SILENCE_MARGIN_MS;
        let timer: Timer | undefined;
        const silence = new Promise<never>((...[, reject]) => {
            timer = this.clock.schedule(limit, () => reject(new Error(`no answer within ${limit} ms`)));
        });
        try {
            return await Promise.race([caller.requestPermits(step, workerIds, timeout), silence]);
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            this.log.warn("CR1619", "adviceCallerFailed", { step, nodeName: caller.nodeName, message });
            return { kind: "failed", message };
        }
        finally {
            timer?.cancel();
        }
    }
}
