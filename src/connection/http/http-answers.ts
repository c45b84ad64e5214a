/** Answers that the server gives before any handler runs. */
import type { Socket } from "node:net";
import { buildError } from "../../request/http/index.js";
import type { HttpReply } from "../../request/http/index.js";

const BUSY_RETRY_MS = 1_000;

/** Answer while too many requests, or too many bytes of bodies, are under way. */
export function buildBusy(what: string): HttpReply {
    return buildError(503, {
        kind: "notRun",
        reason: "overloaded",
        message: `this entry holds as many ${what} as it may`,
        remedy: "send it again after the time given, or send fewer at once",
        ran: "no",
        retryAfterMs: BUSY_RETRY_MS,
    });
}

/** Answer to a body over its limit. */
export function buildTooLarge(maxBytes: number): HttpReply {
    return buildError(413, {
        kind: "tooLarge",
        message: `the body is over the limit of ${maxBytes} bytes`,
        remedy: "send a smaller body, or ask the operators to raise maxBodyBytes",
        ran: "no",
    });
}

/** Answer to a body where the route takes none. */
export function buildUnexpectedBody(): HttpReply {
    return buildError(400, {
        kind: "invalid",
        message: "this request takes no body",
        remedy: "leave the body out",
        ran: "no",
    });
}

/** Answer where no route has the path, whatever the method. */
export function buildUnknownPath(method: string): HttpReply {
    return buildError(404, {
        kind: "notFound",
        message: `there is no such path for ${method}`,
        remedy: "use a path of docs/openapi.json",
        ran: "no",
    });
}

/** Answer where routes have the path, and none of them the method. */
export function buildWrongMethod(allowed: readonly string[]): HttpReply {
    return buildError(405, {
        kind: "wrongMethod",
        message: "the path does not take this method",
        remedy: `use ${allowed.join(" or ")}`,
        ran: "no",
    }, { allow: allowed.join(", ") });
}

/** Answer after a handler threw: a defect, and nobody knows how far it came. */
export function buildHandlerFailed(): HttpReply {
    return buildError(500, {
        kind: "internal",
        message: "the entry failed to handle the request",
        remedy: "check whether it took effect before you send it again; tell the operators the request id",
        ran: "unknown",
    });
}

interface ParseAnswer {
    readonly status: string;
    readonly reply: HttpReply;
}

const MALFORMED: ParseAnswer = {
    status: "400 Bad Request",
    reply: buildError(400, {
        kind: "malformed",
        message: "this is not a valid HTTP request",
        remedy: "send HTTP/1.1 as RFC 9112 describes it",
        ran: "no",
    }),
};

/** By the code of Node's parser error. */
const parseAnswers: Readonly<Record<string, ParseAnswer>> = {
    HPE_HEADER_OVERFLOW: {
        status: "431 Request Header Fields Too Large",
        reply: buildError(431, {
            kind: "headersTooLarge",
            message: "the request's headers are over the limit",
            remedy: "send fewer or shorter headers, or ask the operators to raise maxHeaderBytes",
            ran: "no",
        }),
    },
    ERR_HTTP_REQUEST_TIMEOUT: {
        status: "408 Request Timeout",
        reply: buildError(408, {
            kind: "tooSlow",
            message: "the request did not arrive whole in time",
            remedy: "send it faster, or in one piece",
            ran: "no",
            retryAfterMs: BUSY_RETRY_MS,
        }),
    },
};

/**
 * Answers what the parser could not read, and ends the connection: where the next request begins is unknown.
 * @param socket - Any answer before this one was whole already.
 * @param code - Code of the parser's error.
 */
export function writeParseAnswer(socket: Socket, code: string | undefined): void {
    const { status, reply } = parseAnswers[code ?? ""] ?? MALFORMED;
    const head = [
        `HTTP/1.1 ${status}`,
        `content-type: ${reply.contentType}`,
        `content-length: ${Buffer.byteLength(reply.body)}`,
        ...Object.entries(reply.headers ?? {}).map(([name, value]) => `${name}: ${value}`),
        "connection: close",
    ];
    socket.end(`${head.join("\r\n")}\r\n\r\n${String(reply.body)}`);
}
