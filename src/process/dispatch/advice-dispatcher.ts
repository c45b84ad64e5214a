/**
 * Distributes requests to the advice service over the cluster's nodes.
 *
 * @remarks The service serves one call at a time for each calling VM, and all requests together take more
 * time than there is, so a single caller would fall behind forever; with every node calling there is time to
 * spare. While there are short requests some nodes are reserved for them, as otherwise quick jobs wait behind
 * a request that takes longer than their whole slack.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { Log } from "../telemetry.js";
import { NodeReservation, SHORT_REQUEST_MS } from "./node-reservation.js";
import { compareRequests, estimateRequestMs, RequestShares } from "./request-shares.js";
import type { AdviceRequest } from "./request-shares.js";

/** A node that can call the advice service. */
export interface AdviceCaller {
    readonly nodeName: string;
    /** Should settle within the timeout; {@link AdviceDispatcher} handles callers that do not. */
    requestPermits(step: string, workerIds: readonly string[], timeout: Millis): Promise<AdviceAnswer>;
}

/** Requests up to this long may be sent by a reserved node once they have waited too long. */
const BRIEF_REQUEST_MS: Millis = 250;
/** A request that no node could send for this long shows that the nodes are overloaded. */
const OVERLOAD_WAIT_MS: Millis = 3_000;
/** How long an overload counts: it does not end with the first request that is sent. */
const OVERLOAD_MEMORY_MS: Millis = 5_000;
/** Requests in flight on one node: the second is in transit while the first is answered. */
const MAX_IN_FLIGHT = 2;
/** Timeout of a request: its expected time and that of those before it times the factor, plus the margin. */
const TIMEOUT_FACTOR = 2;
const TIMEOUT_MARGIN_MS: Millis = 600;
/** Time for a caller to report that its timeout has passed. */
const SILENCE_MARGIN_MS: Millis = 200;

/**
 * A node whose request failed is chosen last for this long, as it may be cut off from the service. The time
 * doubles with each further failure up to the maximum.
 *
 * @remarks The nodes that reach the service are always busy, so nodes that do not reach it seem free first.
 * If two of them paused for a constant time, a request that failed at one would move to the other just when
 * its pause had ended, and back, for as long as there is other work. With growing pauses it gets to a node
 * that reaches the service.
 */
const MIN_FAILURE_BACKOFF_MS: Millis = 1_000;
const MAX_FAILURE_BACKOFF_MS: Millis = 8_000;

interface CallerState {
    readonly caller: AdviceCaller;
    inFlightCount: number;
    /** Expected time of its requests in flight, by the policy's figures. */
    inFlightMs: Millis;
    /** When its requests in flight should be answered, by the policy's figures. */
    busyUntil: Millis;
    /** Until when it is chosen last. Not part of `busyUntil`, from which timeouts count. */
    backoffUntil: Millis;
    /** Requests that failed since the last answer. */
    failures: number;
    /** When its last request was answered. */
    lastAnswerAt: Millis;
}

/** Returns when a node can be chosen, by the policy's figures and its failures. */
function getFreeAt({ busyUntil, backoffUntil }: CallerState): Millis {
    return Math.max(busyUntil, backoffUntil);
}

/**
 * Distributes the requests of one leader.
 *
 * @remarks A caller may throw or never answer. A step has one request at a time, so one that is never settled
 * would keep it from making others, and its tasks would stand still beside empty workers. Every request is
 * therefore settled within its timeout, as failed if necessary, whatever the caller does.
 */
export class AdviceDispatcher {
    private readonly callers = new Map<string, CallerState>();
    private waiting: readonly AdviceRequest[] = [];
    private readonly shares: RequestShares;
    private readonly reservation: NodeReservation;
    /** When a request was last found that no node could send for long. */
    private lastOverloadAt: Millis = -Infinity;

    /** @param log - Logs callers that throw or do not answer. */
    constructor(private readonly clock: Clock, private readonly log: Log) {
        this.reservation = new NodeReservation(clock);
        this.shares = new RequestShares(clock);
    }

    /** Adds a node that can send requests. */
    addCaller(caller: AdviceCaller): void {
        this.callers.set(caller.nodeName, {
            caller,
            inFlightCount: 0,
            inFlightMs: 0,
            busyUntil: 0,
            backoffUntil: 0,
            failures: 0,
            lastAnswerAt: -Infinity,
        });
        this.dispatch();
    }

    /** Removes a node; its requests in flight settle by themselves. */
    removeCaller(nodeName: string): void {
        this.callers.delete(nodeName);
    }

    /** Replaces the waiting requests. */
    replaceWaiting(requests: readonly AdviceRequest[]): void {
        this.waiting = [...requests].sort(compareRequests);
        this.dispatch();
    }

    /** Tells whether the nodes could not send all requests lately. */
    isOverloaded(): boolean {
        return this.clock.now() - this.lastOverloadAt < OVERLOAD_MEMORY_MS;
    }

    /** Counts the nodes whose last request was answered, or that have sent none. */
    countReachable(): number {
        return [...this.callers.values()].filter(({ failures }) => failures === 0).length;
    }

    /** Counts requests that no node has been given yet. */
    countWaiting(): number {
        return this.waiting.length;
    }

    /**
     * Counts the nodes that can send requests, those with none in flight, and those reserved against the least
     * urgent requests.
     */
    countCallers(): { readonly all: number; readonly idle: number; readonly reserved: number; } {
        const idle = [...this.callers.values()].filter(({ inFlightCount }) => inFlightCount === 0);
        return {
            all: this.callers.size,
            idle: idle.length,
            reserved: this.reservation.count(Infinity, this.callers.size, this.isOverloaded()),
        };
    }

    private dispatch(): void {
        const unwanted: AdviceRequest[] = [];
        const unsent: AdviceRequest[] = [];
        const late = this.shares.chooseLate(this.waiting, this.callers.size);
        const others = this.waiting.filter(request => !late.includes(request));
        for (const request of [...late, ...others]) {
            const state = request.isWanted() ?
                this.chooseCaller(request, late.includes(request)) :
                undefined;
            if (!request.isWanted()) {
                unwanted.push(request);
            }
            else if (state === undefined) {
                unsent.push(request);
            }
            else {
                void this.send(state, request);
            }
        }
        this.waiting = unsent.sort(compareRequests);
        const now = this.clock.now();
        if (unsent.some(({ since }) => now - since >= OVERLOAD_WAIT_MS)) {
            this.lastOverloadAt = now;
        }
        unwanted.forEach(request => request.settle(undefined, 0, 0));
    }

    private observeSent(request: AdviceRequest, expectedMs: Millis): void {
        this.shares.observeSent(request, expectedMs);
        if (expectedMs <= SHORT_REQUEST_MS) {
            this.reservation.observeShortRequest(request.priority, expectedMs);
        }
    }

    /**
     * Chooses the node that is free first; none for a long request while only reserved nodes are free.
     *
     * @remarks If the few nodes that may send long requests are cut off from the service, every long request
     * fails there while the reserved nodes are idle, so these take long requests too then.
     *
     * A node with two short requests in flight gets the next short one as soon as one is answered. While
     * short requests keep coming no node would ever be without one and no long request would be sent, so one
     * that has waited too long is sent beside a short one.
     */
    private chooseCaller(request: AdviceRequest, isLate: boolean): CallerState | undefined {
        const states = [...this.callers.values()];
        const reserved = this.reservation.count(request.priority, states.length, this.isOverloaded());
        const isShort = estimateRequestMs(request) <= SHORT_REQUEST_MS;
        // A quick job's slack allows for a brief request in front of its own.
        const isLateAndBrief = isLate && estimateRequestMs(request) <= BRIEF_REQUEST_MS;
        const usual = isShort || isLateAndBrief ? states : states.slice(reserved);
        const now = this.clock.now();
        const eligible = usual.some(state => now >= state.backoffUntil) ? usual : states;
        let best: CallerState | undefined;
        for (const state of eligible) {
            const isBesideShort = isLate && state.inFlightMs <= SHORT_REQUEST_MS;
            const limit = isShort || isBesideShort ? MAX_IN_FLIGHT : 1;
            if (state.inFlightCount < limit && (best === undefined || getFreeAt(state) < getFreeAt(best))) {
                best = state;
            }
        }
        return best;
    }

    private observeAnswer(state: CallerState, answer: AdviceAnswer): void {
        const now = this.clock.now();
        if (answer.kind === "done") {
            state.failures = 0;
            state.backoffUntil = 0;
            // A service that is faster than its figures must not push the estimate ahead with each answer.
            // Timeouts count from there, and one lost answer would delay its step for minutes.
            state.busyUntil = Math.min(state.busyUntil, now + state.inFlightMs);
            return;
        }
        const backoffMs = Math.min(MAX_FAILURE_BACKOFF_MS, MIN_FAILURE_BACKOFF_MS * 2 ** state.failures);
        state.failures += 1;
        state.backoffUntil = now + backoffMs;
        // How much of its expected time is left is unknown.
        state.busyUntil = now;
    }

    private async send(state: CallerState, request: AdviceRequest): Promise<void> {
        const askedAt = this.clock.now();
        const expectedMs = estimateRequestMs(request);
        const startAt = Math.max(askedAt, state.busyUntil);
        state.inFlightCount += 1;
        state.inFlightMs += expectedMs;
        state.busyUntil = startAt + expectedMs;
        this.observeSent(request, expectedMs);
        request.handleSent(state.caller.nodeName);
        const timeout = (startAt - askedAt + expectedMs) * TIMEOUT_FACTOR + TIMEOUT_MARGIN_MS;
        const answer = await this.requestAnswer(state.caller, request, timeout);
        state.inFlightCount -= 1;
        state.inFlightMs -= expectedMs;
        const now = this.clock.now();
        // The service answers a node's requests one after the other.
        const busyMs = now - Math.max(askedAt, state.lastAnswerAt);
        state.lastAnswerAt = now;
        this.observeAnswer(state, answer);
        request.settle(answer, askedAt, busyMs);
        this.dispatch();
    }

    private async requestAnswer(
        caller: AdviceCaller,
        { step, workerIds }: AdviceRequest,
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
