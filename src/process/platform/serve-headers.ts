/** HTTP headers that carry the fence and the other fields of a service request to a worker. */
import type { ServeOrder } from "../ports/index.js";

/** Names of the request headers. Text values are percent-encoded. */
export const ServeHeader = {
    epoch: "x-cactusrack-epoch",
    bootId: "x-cactusrack-boot-id",
    notAfter: "x-cactusrack-not-after",
    requestId: "x-cactusrack-request-id",
    branch: "x-cactusrack-branch",
    timeoutMs: "x-cactusrack-timeout-ms",
} as const;

/** Header of a reply that refuses a request before it was run. Its value is the reason. */
export const REFUSAL_HEADER = "x-cactusrack-refusal";

/** Builds the headers of a service request. */
export function buildServeHeaders(order: ServeOrder): Record<string, string> {
    const headers: Record<string, string> = {
        "content-type": order.contentType,
        [ServeHeader.epoch]: String(order.epoch),
        [ServeHeader.notAfter]: String(order.notAfter),
        [ServeHeader.requestId]: encodeURIComponent(order.requestId),
        [ServeHeader.branch]: encodeURIComponent(order.branch),
        [ServeHeader.timeoutMs]: String(order.timeoutMs),
    };
    if (order.bootId !== undefined) {
        headers[ServeHeader.bootId] = encodeURIComponent(order.bootId);
    }
    return headers;
}

/**
 * Parses a service request from its received headers and body.
 * @returns The request; undefined if a required header is missing or malformed.
 */
export function parseServeHeaders(
    headers: Readonly<Record<string, string | string[] | undefined>>,
    body: Uint8Array,
): ServeOrder | undefined {
    const getText = (name: string): string | undefined => decodeText(headers[name]);
    const [epoch, notAfter, timeoutMs] = [ServeHeader.epoch, ServeHeader.notAfter, ServeHeader.timeoutMs]
        .map(name => Number(getText(name) ?? NaN));
    const requestId = getText(ServeHeader.requestId);
    const branch = getText(ServeHeader.branch);
    if (
        epoch === undefined || notAfter === undefined || timeoutMs === undefined ||
        Number.isNaN(epoch + notAfter + timeoutMs) || requestId === undefined || branch === undefined
    ) {
        return undefined;
    }
    const contentType = String(headers["content-type"] ?? "application/octet-stream");
    const bootId = getText(ServeHeader.bootId);
    return { epoch, notAfter, timeoutMs, requestId, branch, bootId, body, contentType };
}

function decodeText(value: string | string[] | undefined): string | undefined {
    try {
        return typeof value === "string" ? decodeURIComponent(value) : undefined;
    }
    catch {
        return undefined;
    }
}
