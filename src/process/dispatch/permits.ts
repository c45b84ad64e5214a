/** The advice service's answers about one step: which workers may run it, with permits that expire. */
import type { Millis } from "../../common/clock.js";
import type { Permit } from "../ports/task-worker-port.js";

/**
 * Part of a permit's validity that is reserved for the transit of the answer and of the order to the worker.
 * Validity counts from the service's decision; counted from the request, most of it would have passed before
 * the answer. A worker that finds a permit expired refuses the order, which does no harm.
 */
const PERMIT_MARGIN_MS: Millis = 300;

/** A waiting request is replaced at this age at the latest, as free capacity changes. */
export const REQUEST_REFRESH_MS: Millis = 250;
/** Backoff after a failed request: other nodes may still reach the service. */
const FAILURE_BACKOFF_MS: Millis = 150;

/** A request to the advice service that waits or is in flight. */
export interface OpenAdviceRequest {
    /** When it was first made. */
    readonly since: Millis;
    /** When it is to be replaced by what its step needs then, if it still waits. */
    readonly refreshAt: Millis;
    /** Number of workers named. */
    readonly workers: number;
    /** Node that sent it; undefined while it waits for one. */
    nodeName: string | undefined;
    /** When that node was given it. */
    sentAt: Millis | undefined;
}

/**
 * Time after which a worker that was left out of an answer may be named again; it doubles with each such
 * answer up to the maximum.
 */
const MIN_DENIAL_MS: Millis = 1_000;
const MAX_DENIAL_MS: Millis = 10_000;

interface Denial {
    /** When the worker may be named again, on the leader's clock. */
    readonly until: Millis;
    readonly durationMs: Millis;
}

interface HeldPermit {
    readonly token: string;
    /** On the leader's clock. */
    readonly usableUntil: Millis;
}

/** Permits, denials and the open request of one step. */
export class StepPermits {
    /** The request that waits or is in flight. */
    private request: OpenAdviceRequest | undefined;
    /** Since when an answer is wanted; undefined once there is one. */
    private wantedSince: Millis | undefined;
    private requestCount = 0;
    private failures = 0;
    /** After a failed request, when the next may be made. */
    private backoffUntil: Millis = -Infinity;
    private readonly held = new Map<string, HeldPermit>();
    private readonly denied = new Map<string, Denial>();

    /**
     * Records a new request, or the replacement of one that still waits.
     * @param now - On the leader's clock.
     * @param workers - Number of workers that it names.
     * @param refreshMs - Age at which it is to be replaced if it still waits.
     */
    startRequest(now: Millis, workers: number, refreshMs: Millis = REQUEST_REFRESH_MS): void {
        const since = this.request?.since ?? now;
        this.requestCount += this.request === undefined ? 1 : 0;
        this.wantedSince ??= now;
        this.request = {
            since,
            refreshAt: now + refreshMs,
            workers,
            nodeName: undefined,
            sentAt: undefined,
        };
    }

    /** Records which node sent the request. */
    observeSent(nodeName: string, now: Millis): void {
        if (this.request !== undefined) {
            this.request.nodeName = nodeName;
            this.request.sentAt = now;
        }
    }

    /** Returns since when an answer is wanted, regardless of withdrawn requests; undefined if none is. */
    getWantedSince(): Millis | undefined {
        return this.wantedSince;
    }

    /** Tells whether a waiting request is so old that its content may be outdated. */
    isRequestStale(now: Millis): boolean {
        const { request } = this;
        return request !== undefined && request.sentAt === undefined && now >= request.refreshAt;
    }

    /** Records that the request is settled. */
    endRequest(): void {
        this.request = undefined;
    }

    /** Returns the request that waits or is in flight. */
    getRequest(): Readonly<OpenAdviceRequest> | undefined {
        return this.request;
    }

    /** Counts the requests made; one that was withdrawn and made again counts twice. */
    countRequests(): number {
        return this.requestCount;
    }

    /** Counts the requests that failed since the last answer. */
    countFailures(): number {
        return this.failures;
    }

    countAllowed(): number {
        return this.held.size;
    }

    /** Counts the permits that are still valid. */
    countUsable(now: Millis): number {
        return [...this.held.values()].filter(({ usableUntil }) => now < usableUntil).length;
    }

    countDenied(): number {
        return this.denied.size;
    }

    /**
     * Applies an answer.
     *
     * @remarks An answer also leaves out workers that the service did not know at that moment. If such a
     * denial were final, the step would wait forever beside empty workers once the allowed ones are gone.
     * Denials therefore expire, each later than the last, so that a step that no worker may run costs few
     * requests.
     *
     * An allowed worker that a renewal leaves out is denied like any other. If it were kept, it would remain
     * the best place for a task that then waits for a permit nobody grants.
     * @param asked - Workers that were named.
     * @param permits - Permits for those that are allowed.
     * @param answeredAt - When the answer arrived.
     * @param validMs - How long permits are valid.
     */
    accept(asked: readonly string[], permits: readonly Permit[], answeredAt: Millis, validMs: Millis): void {
        this.failures = 0;
        this.wantedSince = undefined;
        const usableUntil = answeredAt + validMs - PERMIT_MARGIN_MS;
        const allowed = new Set(permits.map(permit => permit.workerId));
        for (const { workerId, token } of permits) {
            this.held.set(workerId, { token, usableUntil });
            this.denied.delete(workerId);
        }
        for (const workerId of asked) {
            if (!allowed.has(workerId)) {
                this.recordDenial(workerId, answeredAt);
            }
        }
    }

    /**
     * Records a failed request.
     *
     * @remarks While the service is unavailable every request fails within milliseconds. Repeated without a
     * pause, requests would take all of the leader's processor time.
     */
    observeFailure(now: Millis): void {
        this.failures += 1;
        this.backoffUntil = now + FAILURE_BACKOFF_MS;
    }

    /** Tells whether a request may be made now, or may replace one that waits. */
    canRequest(now: Millis): boolean {
        return (this.request === undefined || this.isRequestStale(now)) && now >= this.backoffUntil;
    }

    /** Tells whether the service has answered about any worker. */
    hasAnswer(): boolean {
        return this.held.size + this.denied.size > 0;
    }

    /** Expires a permit that its worker rejected; the worker still counts as allowed. */
    drop(workerId: string): void {
        const permit = this.held.get(workerId);
        if (permit !== undefined) {
            this.held.set(workerId, { ...permit, usableUntil: -Infinity });
        }
    }

    /** Tells whether a worker was neither allowed nor denied yet. */
    isUnknown(workerId: string): boolean {
        return !this.held.has(workerId) && !this.denied.has(workerId);
    }

    /** Tells whether a worker may run the step, even if its permit has expired. */
    isAllowed(workerId: string): boolean {
        return this.held.has(workerId);
    }

    /** Tells whether a worker's denial has expired, so that it may be named again. */
    isDenialOver(workerId: string, now: Millis): boolean {
        const denial = this.denied.get(workerId);
        return denial !== undefined && now >= denial.until;
    }

    /** Lists the workers that may run the step, including those whose permit has expired. */
    listAllowed(): Iterable<string> {
        return this.held.keys();
    }

    /** Returns the token of a worker's permit if it is still valid. */
    getUsable(workerId: string, now: Millis): string | undefined {
        const permit = this.held.get(workerId);
        return permit !== undefined && now < permit.usableUntil ? permit.token : undefined;
    }

    private recordDenial(workerId: string, now: Millis): void {
        const lastDurationMs = this.denied.get(workerId)?.durationMs;
        const durationMs = lastDurationMs === undefined ?
            MIN_DENIAL_MS :
            Math.min(MAX_DENIAL_MS, lastDurationMs * 2);
        this.held.delete(workerId);
        this.denied.set(workerId, { until: now + durationMs, durationMs });
    }
}
