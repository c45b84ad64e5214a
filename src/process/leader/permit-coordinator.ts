/** Requests advice about the workers of each step, and stores the permits that the advice service grants. */
import type { Millis } from "../../common/clock.js";
import type { AdviceDispatcher } from "../dispatch/advice-dispatcher.js";
import { CapacityClaims } from "../dispatch/capacity-claims.js";
import { REQUEST_REFRESH_MS, StepPermits } from "../dispatch/permits.js";
import type { PermitRequest } from "../dispatch/plan.js";
import { RequestCosts } from "../dispatch/request-costs.js";
import type { AdviceRequest } from "../dispatch/request-shares.js";
import { AllowedShares } from "../dispatch/request-size.js";
import type { Step } from "../jobs/job.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";
import type { LeaderContext } from "./context.js";

/** Time between two replacements of a request, per queued request and per worker that it chooses among. */
const REFRESH_EACH_MS: Millis = 0.06;
/** Number of groups into which the requests of one pass are spread when they are replaced. */
const REFRESH_SPREAD = 8;

/** A request to the advice service that has not been answered. */
interface PendingRequest {
    readonly step: Step;
    readonly permits: StepPermits;
    readonly workerIds: readonly string[];
    readonly hasCapacity: boolean;
    /** Validity of its permits. */
    readonly validMs: Millis;
}

/** When and by which node a request was sent. */
interface SentRequest {
    readonly askedAt: Millis;
    /** Since when its step had wanted an answer. */
    readonly wantedSince: Millis;
    readonly nodeName: string | undefined;
}

/**
 * Tracks at most one advice request per step, from the planning pass that makes it to the permits that answer
 * it.
 */
export class PermitCoordinator {
    /** Capacity that steps with a request in flight will probably use. */
    readonly claims = new CapacityClaims();
    /** Share of the workers in a request that the advice service allows, by queue. */
    readonly allowedShares = new AllowedShares();
    /** Time that the advice service takes for a step, by queue. */
    readonly costs = new RequestCosts();
    private readonly permits = new WeakMap<Step, StepPermits>();
    /** Requests that were not sent to a node yet. */
    private readonly waiting = new Map<Step, AdviceRequest>();
    /** Number of requests that were queued or replaced. */
    private requestCount = 0;
    /** Number of workers among which a request chooses. */
    private workerCount = 0;
    private closed = false;

    /** @param advice - Distributes requests over the nodes. */
    constructor(
        private readonly context: Pick<LeaderContext, "clock" | "log" | "metrics" | "requestPass">,
        private readonly advice: AdviceDispatcher,
    ) {}

    /** Returns a step's permits; creates an empty set for an unknown step. */
    getPermits(step: Step): StepPermits {
        const known = this.permits.get(step);
        if (known !== undefined) {
            return known;
        }
        const created = new StepPermits();
        this.permits.set(step, created);
        return created;
    }

    /**
     * Queues the requests of a pass: one for each step, unless its request is in flight.
     *
     * @remarks When steps make more requests than the nodes can send, a request that was queued for seconds
     * is answered after other steps have taken its step's capacity. Its permits expire unused and are
     * requested again, until hardly any answer leads to a start and jobs wait beside idle workers. So queued
     * requests are regularly replaced by ones for workers with free capacity, and withdrawn once their step
     * does not want them.
     * @param permitRequests - The requests of the pass.
     * @param now - When the pass began. Staleness is judged at this time: a request that becomes stale during
     * the pass was not replaced by it, and would be withdrawn though its step still wants it.
     * @param workers - Number of workers among which each request chooses.
     */
    requestPermits(permitRequests: readonly PermitRequest[], now: Millis, workers = 0): void {
        this.workerCount = workers;
        const stale = this.takeStale(now);
        if (permitRequests.length === 0 && stale.length === 0) {
            return;
        }
        // A step may request renewals and new workers in one pass: a request with capacity wins, then the
        // first.
        const ordered = [...permitRequests].sort((left, right) =>
            Number(right.hasCapacity) - Number(left.hasCapacity)
        );
        ordered.forEach(permitRequest => this.addRequest(permitRequest, now));
        stale.filter(step => !this.waiting.has(step)).forEach(step => this.getPermits(step).endRequest());
        this.advice.replaceWaiting([...this.waiting.values()]);
    }

    /** Marks all requests as no longer wanted. */
    close(): void {
        this.closed = true;
    }

    /**
     * Computes when a request is to be replaced, spread over time: replacing the requests of hundreds of
     * waiting steps in one pass, several times a second, would take a large part of the leader's processor
     * time.
     */
    private computeRefreshMs(): Millis {
        this.requestCount += 1;
        const spread = 1 + (this.requestCount % REFRESH_SPREAD) / REFRESH_SPREAD;
        return Math.max(REQUEST_REFRESH_MS, this.waiting.size * this.workerCount * REFRESH_EACH_MS * spread);
    }

    private takeStale(now: Millis): readonly Step[] {
        const stale = [...this.waiting.keys()].filter(step => this.getPermits(step).isRequestStale(now));
        stale.forEach(step => this.waiting.delete(step));
        return stale;
    }

    private addRequest({ urgency, workerIds, hasCapacity }: PermitRequest, now: Millis): void {
        const { step, queue } = urgency;
        const permits = this.getPermits(step);
        if (queue.advice === undefined || this.waiting.has(step) || !permits.canRequest(now)) {
            return;
        }
        permits.startRequest(now, workerIds.length, this.computeRefreshMs());
        const pending: PendingRequest = {
            step,
            permits,
            workerIds,
            hasCapacity,
            validMs: queue.advice.validMs,
        };
        this.waiting.set(step, {
            step: step.name,
            workerIds,
            policy: queue.advice,
            priority: queue.priority,
            lateness: urgency.lateness,
            isBeyondShare: urgency.isBeyondShare,
            dueAt: urgency.dueAt,
            hasCapacity,
            isFirst: !permits.hasAnswer(),
            since: permits.getWantedSince() ?? now,
            isWanted: () => !this.closed && step.job.spec !== undefined && step.waiting > 0,
            handleSent: nodeName => this.handleSent(pending, nodeName),
            settle: (answer, askedAt, busyMs) => this.settle(pending, answer, askedAt, busyMs),
        });
    }

    private handleSent({ step, permits, workerIds }: PendingRequest, nodeName: string): void {
        this.waiting.delete(step);
        this.claims.add(step, workerIds);
        permits.observeSent(nodeName, this.context.clock.now());
    }

    private settle(
        pending: PendingRequest,
        answer: AdviceAnswer | undefined,
        askedAt: Millis,
        busyMs: Millis,
    ): void {
        const nodeName = pending.permits.getRequest()?.nodeName;
        pending.permits.endRequest();
        this.waiting.delete(pending.step);
        this.claims.remove(pending.step);
        if (answer === undefined) {
            return;
        }
        const wantedSince = pending.permits.getWantedSince();
        if (answer.kind === "done") {
            this.costs.observe(pending.step.job.queue, busyMs, !pending.permits.hasAnswer());
        }
        this.acceptAnswer(pending, answer);
        this.logAnswer(pending, answer, { askedAt, wantedSince: wantedSince ?? askedAt, nodeName });
        this.context.requestPass();
    }

    private logAnswer(
        { step, workerIds, permits, hasCapacity }: PendingRequest,
        answer: AdviceAnswer,
        { askedAt, wantedSince, nodeName }: SentRequest,
    ): void {
        const { clock, log, metrics } = this.context;
        const tookMs = clock.now() - askedAt;
        metrics.time("advice.took", tookMs, { answer: answer.kind });
        log.info("adviceGiven", {
            step: step.name,
            answer: answer.kind,
            nodeName,
            asked: workerIds.length,
            allowed: answer.kind === "done" ? answer.permits.length : 0,
            waiting: step.waiting,
            permits: permits.countUsable(clock.now()),
            hasCapacity,
            waitedMs: Math.round(askedAt - wantedSince),
            tookMs: Math.round(tookMs),
        });
    }

    private acceptAnswer({ step, permits, workerIds, validMs }: PendingRequest, answer: AdviceAnswer): void {
        const now = this.context.clock.now();
        if (answer.kind !== "done") {
            permits.observeFailure(now);
            return;
        }
        if (workerIds.every(workerId => permits.isUnknown(workerId))) {
            this.allowedShares.observe(step.job.queue, workerIds.length, answer.permits.length);
        }
        permits.accept(workerIds, answer.permits, now, validMs);
    }
}
