/** One HTTP request and its answer, as handlers see them; sockets and streams stay in `src/connection/http/`. */
import type { IncomingHttpHeaders } from "node:http";
import type { Clock, Millis } from "../../common/clock.js";
import type { OperatorGateway } from "../../process/operator-gateway.js";
import type { CallerGateway, SettingsSource } from "../../process/roles.js";
import type { Log, Metrics } from "../../process/telemetry.js";
import type { Caller } from "../work.js";

/** Who a token belongs to. */
export type Identity =
    | { readonly kind: "team"; readonly caller: Caller; }
    | { readonly kind: "operator"; readonly name: string; };

/** A request whose token, size and form were accepted. */
export interface Exchange {
    /** Unique in the cell; begins with the caller's own `x-request-id` if there was one. */
    readonly requestId: string;
    readonly identity: Identity | undefined;
    /** Values of the path's parameters; `*` is the rest of the path. */
    readonly params: Readonly<Record<string, string | undefined>>;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Uint8Array;
    /** Instant at which the request's headers had arrived. */
    readonly receivedAt: Millis;
}

/** An answer. */
export interface HttpReply {
    readonly status: number;
    readonly contentType: string;
    readonly body: string | Uint8Array;
    readonly headers?: Readonly<Record<string, string>>;
}

/** What handlers work with. */
export interface RouteContext {
    readonly callers: CallerGateway;
    readonly operators: OperatorGateway;
    readonly settings: SettingsSource;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly limits: RequestLimits;
    /** Whether the balancer should leave this entry out because it is shutting down. */
    isDraining(): boolean;
}

/** Limits of single requests. */
export interface RequestLimits {
    readonly maxBodyBytes: number;
    /** Deadline of a service request that names none. */
    readonly defaultDeadlineMs: Millis;
    readonly maxDeadlineMs: Millis;
    /** Longest time that a wait for a job's end is held. */
    readonly maxWaitMs: Millis;
    /** Time for the owner of a job to answer. */
    readonly homeTimeoutMs: Millis;
    readonly maxTasks: number;
    readonly maxPayloadBytes: number;
}

/** Limits that a deployment need not change. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = {
    maxBodyBytes: 8 * 1_048_576,
    defaultDeadlineMs: 30_000,
    maxDeadlineMs: 600_000,
    maxWaitMs: 60_000,
    homeTimeoutMs: 10_000,
    maxTasks: 10_000,
    maxPayloadBytes: 65_536,
};

/** Whose tokens a route takes. */
export const Access = {
    /** No token. */
    open: "open",
    /** A team's token. */
    team: "team",
    /** An operators' token. */
    operator: "operator",
    /** Either: a team sees its own work, operators see all. */
    reader: "reader",
} as const;
export type Access = (typeof Access)[keyof typeof Access];

/** A route of the interface. */
export interface Route {
    readonly method: "GET" | "POST";
    /** Path pattern as find-my-way reads it. */
    readonly path: string;
    readonly access: Access;
    /** Whether a body is read; of other requests it is an error to send one. */
    readonly takesBody: boolean;
    /** Looked at before the body is read; a reply ends the request. */
    readonly refuse?: (context: RouteContext) => HttpReply | undefined;
    readonly handle: (context: RouteContext, exchange: Exchange) => Promise<HttpReply> | HttpReply;
}
