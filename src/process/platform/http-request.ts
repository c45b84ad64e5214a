/** Single HTTP requests whose result says whether the request was sent at all. */
import type { Dispatcher } from "undici";
import { scheduleTimeout } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";

/** An HTTP request. */
export interface HttpRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    /** Path, including the query. */
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Uint8Array | string;
    readonly timeout: Millis;
    /** Largest body of the response that is accepted, in bytes. */
    readonly maxBytes: number;
}

/** Result of a request. */
export type HttpResult =
    | {
        readonly kind: "response";
        readonly status: number;
        readonly headers: Readonly<Record<string, string | string[] | undefined>>;
        readonly body: Buffer;
    }
    | HttpFailure;

/** Result of a request without a complete response. */
export type HttpFailure =
    /** No byte of the request left this process. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The request may have been sent, in part or completely, and no complete response arrived. */
    | { readonly kind: "lost"; readonly message: string; };

/** A failure as the calling code sees it: `unavailable` had no effect; `unknown` may have had its effect. */
export type FailureOutcome =
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

/** Converts a failure: a request that was not sent is `unavailable`, one that was lost is `unknown`. */
export function convertFailure({ kind, message }: HttpFailure): FailureOutcome {
    return { kind: kind === "notSent" ? "unavailable" : "unknown", message };
}

/**
 * Sends a request; never rejects.
 *
 * @remarks A request that took effect must not be reported as not sent, since it would be repeated elsewhere.
 * The library calls `onRequestStart` before it writes the first byte, and writes nothing if it is aborted
 * there. So the result is `notSent` only if the request ends before that call.
 */
export function sendHttpRequest(
    dispatcher: Dispatcher,
    clock: Clock,
    request: HttpRequest,
): Promise<HttpResult> {
    return new Promise(resolve => {
        const collector = new ResponseCollector(request.maxBytes, end => {
            timer.cancel();
            resolve(end);
        });
        const timer = scheduleTimeout(clock, request.timeout, () => {
            collector.cancel(`no answer within ${request.timeout} ms`);
        });
        const { method, path, headers, body } = request;
        // The library's own timeouts are disabled, as the timer above covers the whole exchange.
        dispatcher.dispatch(
            { method, path, headers, body, headersTimeout: 0, bodyTimeout: 0 },
            collector.handler,
        );
    });
}

/** Collects the parts of one response and decides the result of the request. */
class ResponseCollector {
    /** Callbacks for the library. */
    readonly handler: Dispatcher.DispatchHandler = {
        onRequestStart: controller => this.handleStart(controller),
        onResponseStart: (controller, status, headers) => {
            this.controller = controller;
            this.status = status;
            this.headers = headers;
        },
        onResponseData: (...[, chunk]) => this.receiveData(chunk),
        onResponseEnd: () => this.finishResponse(),
        onResponseError: (...[, error]) => this.fail(error.message),
    };
    private readonly chunks: Buffer[] = [];
    private controller: Dispatcher.DispatchController | undefined;
    private size = 0;
    private status = 0;
    private headers: Readonly<Record<string, string | string[] | undefined>> = {};
    private ended = false;

    constructor(private readonly maxBytes: number, private readonly settle: (end: HttpResult) => void) {}

    /** Aborts the request, whether or not it was sent. */
    cancel(message: string): void {
        this.fail(message);
        this.controller?.abort(new Error(message));
    }

    private handleStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.ended) {
            controller.abort(new Error("request was cancelled before it was sent"));
        }
    }

    private receiveData(chunk: Buffer): void {
        this.size += chunk.length;
        if (this.size > this.maxBytes) {
            this.cancel(`the answer is over ${this.maxBytes} bytes`);
            return;
        }
        this.chunks.push(chunk);
    }

    private finishResponse(): void {
        const { status, headers } = this;
        this.finish({ kind: "response", status, headers, body: Buffer.concat(this.chunks) });
    }

    private fail(message: string): void {
        this.finish({ kind: this.controller === undefined ? "notSent" : "lost", message });
    }

    private finish(end: HttpResult): void {
        if (!this.ended) {
            this.ended = true;
            this.settle(end);
        }
    }
}
