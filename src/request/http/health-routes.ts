/** Health and readiness probes for the platform's balancer and supervisor. */
import { Access } from "./exchange.js";
import type { Exchange, HttpReply, Route, RouteContext } from "./exchange.js";
import { buildError, buildJson, buildOutcomeReply } from "./replies.js";

const DRAINING_RETRY_MS = 1_000;

export const HEALTH_ROUTES: readonly Route[] = [
    {
        method: "GET",
        path: "/healthz",
        access: Access.open,
        takesBody: false,
        handle: () => buildJson(200, { status: "ok" }),
    },
    {
        method: "GET",
        path: "/readyz",
        access: Access.open,
        takesBody: false,
        handle: handleReadiness,
    },
];

function handleReadiness(context: RouteContext, exchange: Exchange): HttpReply {
    if (context.isDraining()) {
        return buildError(503, {
            kind: "draining",
            message: "this entry is shutting down",
            remedy: "send new requests to another entry",
            ran: "no",
            retryAfterMs: DRAINING_RETRY_MS,
        }, { "x-request-id": exchange.requestId });
    }
    const refusal = context.callers.findRefusal();
    return refusal === undefined ? buildJson(200, { status: "ready" }) : buildOutcomeReply(refusal);
}
