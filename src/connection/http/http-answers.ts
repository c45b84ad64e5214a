/**
 * Replies of the server itself: to requests that it refuses before a handler runs, and after a handler
 * failed.
 */
import type { Writable } from "node:stream";
import { buildError } from "../../request/http/index.js";
import type { HttpReply } from "../../request/http/index.js";

const RETRY_AFTER_MS = 1_000;

/**
 * Builds the reply to a request over the limit of concurrent requests or of buffered body bytes.
 * @param what - The limited quantity, as named to the client.
 */
export function buildBusy(what: string): HttpReply {
    return buildError(503, {
        kind: "notRun",
        reason: "overloaded",
        message: `this entry holds as many ${what} as it may`,
        remedy: "send it again after the time given, or send fewer at once",
        ran: "no",
        retryAfterMs: RETRY_AFTER_MS,
    });
}

/** Builds the reply to a body over its size limit. */
export function buildTooLarge(maxBytes: number): HttpReply {
    return buildError(413, {
        kind: "tooLarge",
        message: `the body is over the limit of ${maxBytes} bytes`,
        remedy: "send a smaller body, or ask the operators to raise maxBodyBytes",
        ran: "no",
    });
}

/** Builds the reply to a body on a route that accepts none. */
export function buildUnexpectedBody(): HttpReply {
    return buildError(400, {
        kind: "invalid",
        message: "this request takes no body",
        remedy: "leave the body out",
        ran: "no",
    });
}

/** Builds the reply to a path that no route has for any method. */
export function buildUnknownPath(method: string): HttpReply {
    return buildError(404, {
        kind: "notFound",
        message: `there is no such path for ${method}`,
        remedy: "use a path of docs/openapi.json",
        ran: "no",
    });
}

/** Builds the reply to a method that no route of the path has. */
export function buildWrongMethod(allowed: readonly string[]): HttpReply {
    return buildError(405, {
        kind: "wrongMethod",
        message: "the path does not take this method",
        remedy: `use ${allowed.join(" or ")}`,
        ran: "no",
    }, { allow: allowed.join(", ") });
}

/**
 * Builds the reply after a handler threw. That is a defect, and it is unknown whether the request took
 * effect.
 */
export function buildHandlerFailed(): HttpReply {
    return buildError(500, {
        kind: "internal",
        message: "the entry failed to handle the request",
        remedy: "check whether it took effect before you send it again; tell the operators the request id",
        ran: "unknown",
    });
}

interface ParseErrorReply {
    readonly status: string;
    readonly reply: HttpReply;
}

const MALFORMED: ParseErrorReply = {
    status: "400 Bad Request",
    reply: buildError(400, {
        kind: "malformed",
        message: "this is not a valid HTTP request",
        remedy: "send HTTP/1.1 as RFC 9112 describes it",
        ran: "no",
    }),
};

/** Code of a request that did not arrive in time; the name of Node's own error for it. */
export const REQUEST_TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

/** Replies by the code of Node's parser error. */
const parseErrorReplies: Readonly<Record<string, ParseErrorReply>> = {
    HPE_HEADER_OVERFLOW: {
        status: "431 Request Header Fields Too Large",
        reply: buildError(431, {
            kind: "headersTooLarge",
            message: "the request's headers are over the limit",
            remedy: "send fewer or shorter headers, or ask the operators to raise maxHeaderBytes",
            ran: "no",
        }),
    },
    [REQUEST_TIMEOUT_CODE]: {
        status: "408 Request Timeout",
        reply: buildError(408, {
            kind: "tooSlow",
            message: "the request did not arrive whole in time",
            remedy: "send it faster, or in one piece",
            ran: "no",
            retryAfterMs: RETRY_AFTER_MS,
        }),
    },
};

/**
 * Replies to input that the HTTP parser could not read, and ends the connection, since it is unknown where
 * the next request begins.
 * @param connection - Its previous replies must be complete.
 * @param code - Code of the parser's error.
 */
export function writeParseErrorReply(connection: Writable, code: string | undefined): void {
    const { status, reply } = parseErrorReplies[code ?? ""] ?? MALFORMED;
    const head = [
        `HTTP/1.1 ${status}`,
        `content-type: ${reply.contentType}`,
        `content-length: ${Buffer.byteLength(reply.body)}`,
        ...Object.entries(reply.headers ?? {}).map(([name, value]) => `${name}: ${value}`),
        "connection: close",
    ];
    connection.end(`${head.join("\r\n")}\r\n\r\n${String(reply.body)}`);
}
