/**
 * Spreads questions to the advice service over the cluster's nodes.
 *
 * @remarks The load this answers: the service serves one call at a time for each calling VM, and all questions together
 * take more time than there is, so one caller would fall behind for ever; with every node asking each has time to spare. While
 * there are short questions some nodes are kept for them, else the quick work waits behind a question that takes longer than
 * its whole slack.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { Log } from "../telemetry.js";
import { LoadMeter } from "./load-meter.js";

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
    /** Whether something could probably start with the answer. */
    readonly hasRoom: boolean;
    /** When its step first wanted the answer. */
    readonly since: Millis;
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
/** Questions up to this long may go to a kept node once they have waited too long. */
const BRIEF_QUESTION_MS: Millis = 250;
/** Share of the nodes that is kept for short questions at most, where there are at least two. */
const SHORT_SHARE = 0.34;
/** Nodes kept at most, however many there are. */
const MAX_KEPT_NODES = 8;
/** Nodes kept for each one that short questions keep busy: they come unevenly. */
const KEPT_PER_BUSY_NODE = 2;
/** With this many nodes one is kept for as long as a short question came lately; with fewer none can be spared for it. */
const LEAST_NODES_KEPT = 3;
const SHORT_MEMORY_MS: Millis = 10_000;
/** Busy nodes below which no node is kept where none can be spared. */
const LEAST_SHORT_LOAD = 0.02;
/** Whoever has a question that has waited this long gets a share of the nodes' time. */
const SHARE_PATIENCE_MS: Millis = 1_000;
/** A question that nobody could be asked for this long shows that the nodes cannot put all questions. */
const SHORTAGE_PATIENCE_MS: Millis = 3_000;
/** A shortage of nodes that can ask counts for this long: it does not end with the first question that is sent. */
const SHORTAGE_MEMORY_MS: Millis = 5_000;
/** Key of what steps without room are given of the nodes' time. */
const NO_ROOM = "noRoom";
/** Questions under way on one node: the second is on its way while the first is answered. */
const MAX_UNDER_WAY = 2;
/** Time allowed on top of what the question takes, as a factor and a constant. */
const TIMEOUT_FACTOR = 2;
const TIMEOUT_MARGIN_MS: Millis = 600;
/** Time for a caller's own word that its timeout has passed. */
const SILENCE_MARGIN_MS: Millis = 200;

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
    /** What its questions under way take together, by the policy's figures. */
    underWayMs: Millis;
    /** When its questions under way will have been answered, by the policy's figures. */
    busyUntil: Millis;
    /** Until when it is asked last. Not part of `busyUntil`, as timeouts count from there. */
    pausedUntil: Millis;
    /** Questions that failed since one was answered. */
    failures: number;
}

/** Whom a share of the nodes' time belongs to: a queue, by its priority, or the steps of all queues that have no room. */
type ShareKey = number | typeof NO_ROOM;

/** Returns how long the service takes for a question. */
function estimateQuestionMs({ policy, workerIds }: AdviceQuestion): Millis {
    return policy.decideMs + policy.perWorkerMs * workerIds.length;
}

function getShareKey({ priority, hasRoom }: AdviceQuestion): ShareKey {
    return hasRoom ? priority : NO_ROOM;
}

function compareQuestions(left: AdviceQuestion, right: AdviceQuestion): number {
    return Number(right.hasRoom) - Number(left.hasRoom) ||
        left.priority - right.priority ||
        Number(right.isFirst) - Number(left.isFirst) ||
        estimateQuestionMs(left) - estimateQuestionMs(right);
}

/** When a node is the one to ask, by the policy's figures and its failures. */
function getFreeAt({ busyUntil, pausedUntil }: CallerState): Millis {
    return Math.max(busyUntil, pausedUntil);
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
    private waiting: readonly AdviceQuestion[] = [];
    /** Nodes that questions of each share keep busy. */
    private readonly shareLoads = new Map<ShareKey, LoadMeter>();
    /** Nodes that short questions keep busy. */
    private readonly shortLoad: LoadMeter;
    /** When a question was last seen that nobody could be asked for long. */
    private lastShortageAt: Millis = -Infinity;
    /** When a short question was last sent. */
    private lastShortAt: Millis = -Infinity;

    /**
     * @param clock - For timeouts and estimates.
     * @param log - For callers that throw or do not answer.
     */
    constructor(private readonly clock: Clock, private readonly log: Log) {
        this.shortLoad = new LoadMeter(clock);
    }

    /** Adds a node that can ask. */
    addCaller(caller: AdviceCaller): void {
        this.callers.set(caller.nodeName, {
            caller,
            underWay: 0,
            underWayMs: 0,
            busyUntil: 0,
            pausedUntil: 0,
            failures: 0,
        });
        this.dispatch();
    }

    /** Removes a node; its questions under way end as failed by themselves. */
    removeCaller(nodeName: string): void {
        this.callers.delete(nodeName);
    }

    /**
     * Takes all questions that wait, in place of those that waited before: what could start with its answer goes first,
     * then the queue that goes first, then steps that have had no answer, then short questions.
     *
     * @remarks Were short questions to go first whatever their queue, all jobs of the last queue would be in time with
     * slack to spare, and fill the room that large gangs of the queue before it need.
     *
     * Failure guarded against: a queue that goes first puts questions as fast as the nodes ask them, and those behind it wait
     * for as long as that lasts, though their tasks would fit beside everything. So each queue gets its turn.
     */
    replaceWaiting(questions: readonly AdviceQuestion[]): void {
        this.waiting = [...questions].sort(compareQuestions);
        this.dispatch();
    }

    /** Tells whether the nodes could not put all questions lately. */
    isShort(): boolean {
        return this.clock.now() - this.lastShortageAt < SHORTAGE_MEMORY_MS;
    }

    /** Counts questions that no node has taken yet. */
    countWaiting(): number {
        return this.waiting.length;
    }

    private dispatch(): void {
        const unwanted: AdviceQuestion[] = [];
        const unsent: AdviceQuestion[] = [];
        const late = this.chooseLate();
        const others = this.waiting.filter(question => !late.includes(question));
        for (const question of [...late, ...others]) {
            const state = question.isWanted() ?
                this.chooseCaller(question, late.includes(question)) :
                undefined;
            if (!question.isWanted()) {
                unwanted.push(question);
            }
            else if (state === undefined) {
                unsent.push(question);
            }
            else {
                void this.send(state, question);
            }
        }
        this.waiting = unsent.sort(compareQuestions);
        const now = this.clock.now();
        if (unsent.some(({ since }) => now - since >= SHORTAGE_PATIENCE_MS)) {
            this.lastShortageAt = now;
        }
        unwanted.forEach(question => question.settle(undefined, 0));
    }

    /**
     * Chooses the question of each share that has waited longest, if that is too long and the share has had less than its part
     * of the nodes' time; the share first that has had the least.
     *
     * @remarks Failure guarded against: a gang's room is there only once less urgent work is stopped for it, and nothing is
     * stopped before it is known which workers may run the gang. Were questions of steps without room sent only while no
     * other waits, the gang would wait for as long as work comes that has room.
     *
     * Failure guarded against: a queue has more questions than the nodes can ask, so one of them is always late. Were it to go
     * first whatever the queue has had, each question of the queues before it would wait until it is late itself.
     */
    private chooseLate(): readonly AdviceQuestion[] {
        const now = this.clock.now();
        const longest = new Map<ShareKey, AdviceQuestion>();
        for (const question of this.waiting) {
            const key = getShareKey(question);
            if (question.since < (longest.get(key)?.since ?? Infinity)) {
                longest.set(key, question);
            }
        }
        const fairLoad = this.callers.size / Math.max(1, longest.size);
        return [...longest.values()]
            .filter(question =>
                now - question.since >= SHARE_PATIENCE_MS && this.getLoadOf(question) < fairLoad
            )
            .sort((left, right) => this.getLoadOf(left) - this.getLoadOf(right));
    }

    private getLoadOf(question: AdviceQuestion): number {
        return this.getShareLoad(getShareKey(question)).compute();
    }

    private getShareLoad(key: ShareKey): LoadMeter {
        const known = this.shareLoads.get(key);
        if (known !== undefined) {
            return known;
        }
        const created = new LoadMeter(this.clock);
        this.shareLoads.set(key, created);
        return created;
    }

    /**
     * Counts the nodes that are kept for short questions, by how busy those keep them.
     *
     * @remarks Failure guarded against: short questions come seldom, so no node is kept, and the next one waits behind a long
     * question for longer than a quick job's whole slack.
     */
    private countKept(): number {
        const nodes = this.callers.size;
        const load = this.shortLoad.compute();
        const isSpared = nodes >= LEAST_NODES_KEPT && this.clock.now() - this.lastShortAt < SHORT_MEMORY_MS;
        if (nodes < 2 || load < LEAST_SHORT_LOAD) {
            return isSpared ? 1 : 0;
        }
        return Math.min(MAX_KEPT_NODES, Math.ceil(nodes * SHORT_SHARE), Math.ceil(load * KEPT_PER_BUSY_NODE));
    }

    private observeSent(question: AdviceQuestion, tookMs: Millis): void {
        this.getShareLoad(getShareKey(question)).add(tookMs);
        if (tookMs <= SHORT_QUESTION_MS) {
            this.shortLoad.add(tookMs);
            this.lastShortAt = this.clock.now();
        }
    }

    /**
     * Chooses the node that is free first; nothing for a long question while only kept nodes are free.
     *
     * @remarks Failure guarded against: the few nodes that may put long questions are cut off from the service, and every
     * long question fails there while the kept nodes have nothing to do. Those take long questions too then.
     *
     * Failure guarded against: a node with two short questions under way is given the next short one as soon as one is
     * answered, so while short questions come without end no node is ever without one and no long question is sent. One that
     * has waited too long is sent beside a short one.
     */
    private chooseCaller(question: AdviceQuestion, hasTurn: boolean): CallerState | undefined {
        const states = [...this.callers.values()];
        const kept = this.countKept();
        const isShort = estimateQuestionMs(question) <= SHORT_QUESTION_MS;
        // A quick job's slack bears a brief question in front of its own.
        const isLateAndBrief = hasTurn && estimateQuestionMs(question) <= BRIEF_QUESTION_MS;
        const usual = isShort || isLateAndBrief ? states : states.slice(kept);
        const now = this.clock.now();
        const eligible = usual.some(state => now >= state.pausedUntil) ? usual : states;
        let best: CallerState | undefined;
        for (const state of eligible) {
            const isBesideShort = hasTurn && state.underWayMs <= SHORT_QUESTION_MS;
            const limit = isShort || isBesideShort ? MAX_UNDER_WAY : 1;
            if (state.underWay < limit && (best === undefined || getFreeAt(state) < getFreeAt(best))) {
                best = state;
            }
        }
        return best;
    }

    private observeAnswer(state: CallerState, answer: AdviceAnswer): void {
        const now = this.clock.now();
        if (answer.kind === "done") {
            state.failures = 0;
            state.pausedUntil = 0;
            // A service that is quicker than its figures must not push the estimate ahead with each answer: timeouts count
            // from there, and one lost answer would hold its step up for minutes.
            state.busyUntil = Math.min(state.busyUntil, now + state.underWayMs);
            return;
        }
        const pauseMs = Math.min(LONGEST_FAILURE_PAUSE_MS, FIRST_FAILURE_PAUSE_MS * 2 ** state.failures);
        state.failures += 1;
        state.pausedUntil = now + pauseMs;
        // Of what it was to take, nothing is known to be left.
        state.busyUntil = now;
    }

    private async send(state: CallerState, question: AdviceQuestion): Promise<void> {
        const askedAt = this.clock.now();
        const took = estimateQuestionMs(question);
        const begin = Math.max(askedAt, state.busyUntil);
        state.underWay += 1;
        state.underWayMs += took;
        state.busyUntil = begin + took;
        this.observeSent(question, took);
        question.handleSent(state.caller.nodeName);
        const timeout = (begin - askedAt + took) * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS;
        const answer = await this.requestAnswer(state.caller, question, timeout);
        state.underWay -= 1;
        state.underWayMs -= took;
        this.observeAnswer(state, answer);
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
