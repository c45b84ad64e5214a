/** Requests to the advice service, made one after the other as by the passes of a leader. */
import type { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceRequest } from "../../process/dispatch/request-shares.js";

/**
 * The required fields of a test's request; the others default to those of the first request of a step with
 * free capacity.
 */
export type TestRequest =
    & Pick<AdviceRequest, "step" | "workerIds" | "policy" | "priority">
    & Partial<AdviceRequest>;

/** Builds a request; fields that are left out are those of a timely first request with free capacity. */
export function buildRequest(testRequest: TestRequest): AdviceRequest {
    return {
        hasCapacity: true,
        isFirst: true,
        lateness: 0,
        dueAt: 0,
        since: 0,
        isWanted: () => true,
        handleSent: () => undefined,
        settle: () => undefined,
        ...testRequest,
    };
}

/** Keeps the waiting requests, as a leader does. */
export class RequestQueue {
    private readonly waiting = new Set<AdviceRequest>();

    constructor(private readonly dispatcher: AdviceDispatcher) {}

    /** Adds a request behind those that wait. */
    enqueue(testRequest: TestRequest): void {
        const request: AdviceRequest = {
            ...buildRequest(testRequest),
            handleSent: nodeName => {
                this.waiting.delete(request);
                testRequest.handleSent?.(nodeName);
            },
            settle: (answer, askedAt, busyMs) => {
                this.waiting.delete(request);
                testRequest.settle?.(answer, askedAt, busyMs);
            },
        };
        this.waiting.add(request);
        this.refresh();
    }

    /** Passes the waiting requests on once more, as each pass does. */
    refresh(): void {
        this.dispatcher.replaceWaiting([...this.waiting]);
    }
}
