/** One HTTP request whose end says whether it was sent at all. */
import type { Dispatcher } from "undici";
import { scheduleTimeout } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";

/** A request. */
export interface HttpRequest {
    readonly method: "GET" | "PUT" | "POST" | "DELETE";
    /** Path with query. */
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Uint8Array | string;
    readonly timeout: Millis;
    /** Most bytes of the answer's body. */
    readonly maxBytes: number;
}

/** How it ended. */
export type HttpEnd =
    | {
        readonly kind: "response";
        readonly status: number;
        readonly headers: Readonly<Record<string, string | string[] | undefined>>;
        readonly body: Buffer;
    }
    | HttpFailure;

/** An end without an answer. */
export type HttpFailure =
    /** Not a byte of it left this process. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** It was at least partly sent, and no whole answer came. */
    | { readonly kind: "lost"; readonly message: string; };

/** What a failure means to whoever asked: a request that was not sent had no effect, one that was lost may have had. */
export type FailureMeaning =
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

/**
 * Converts a failure.
 * @param failure - How the request ended.
 */
export function convertFailure({ kind, message }: HttpFailure): FailureMeaning {
    return { kind: kind === "notSent" ? "unavailable" : "unknown", message };
}

/**
 * Sends a request.
 *
 * @remarks The failure guarded against: a request that took effect is reported as not sent, and is repeated
 * elsewhere. The library calls `onRequestStart` before the first byte is written, and writes none if it is
 * aborted there; so only an end before that call is `notSent`.
 * @param dispatcher - The connections to use.
 * @param clock - Where the timeout comes from.
 * @param request - What to send.
 */
export function sendHttpRequest(
    dispatcher: Dispatcher,
    clock: Clock,
    request: HttpRequest,
): Promise<HttpEnd> {
    return new Promise(resolve => {
        const collector = new ResponseCollector(request.maxBytes, end => {
            timer.cancel();
            resolve(end);
        });
        const timer = scheduleTimeout(clock, request.timeout, () => {
            collector.cancel(`no answer within ${request.timeout} ms`);
        });
        const { method, path, headers, body } = request;
        // The library's own timeouts are off: this one covers the whole exchange.
        dispatcher.dispatch(
            { method, path, headers, body, headersTimeout: 0, bodyTimeout: 0 },
            collector.handler,
        );
    });
}

/** Gathers the parts of one answer and decides how the request ended. */
class ResponseCollector {
    /** What the library calls. */
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

    constructor(private readonly maxBytes: number, private readonly settle: (end: HttpEnd) => void) {}

    /** Gives the request up, whether or not it was sent. */
    cancel(message: string): void {
        this.fail(message);
        this.controller?.abort(new Error(message));
    }

    private handleStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.ended) {
            controller.abort(new Error("given up before it was sent"));
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

    private finish(end: HttpEnd): void {
        if (!this.ended) {
            this.ended = true;
            this.settle(end);
        }
    }
}
