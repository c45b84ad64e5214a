/** HTTP requests, answers and routes as handlers see them; sockets are left to `src/connection/http/`. */
import type { IncomingHttpHeaders } from "node:http";
import type { Clock, Millis } from "../../common/clock.js";
import type { OperatorGateway } from "../../process/operator-gateway.js";
import type { CallerGateway, SettingsSource } from "../../process/roles.js";
import type { Log, Metrics } from "../../process/telemetry.js";
import type { Caller } from "../work.js";

/** The owner of a token. */
export type Identity =
    | { readonly kind: "team"; readonly caller: Caller; }
    | { readonly kind: "operator"; readonly name: string; };

/** A request that passed the checks of its token, size and form. */
export interface Exchange {
    /** Unique in the cell; begins with the caller's `x-request-id` if given. */
    readonly requestId: string;
    readonly identity: Identity | undefined;
    /** Values of the path parameters; `*` is the rest of the path. */
    readonly params: Readonly<Record<string, string | undefined>>;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Uint8Array;
    /** Instant at which all headers of the request had arrived. */
    readonly receivedAt: Millis;
}

/** The answer to a request. */
export interface HttpReply {
    readonly status: number;
    readonly contentType: string;
    readonly body: string | Uint8Array;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Dependencies of the handlers. */
export interface RouteContext {
    readonly callers: CallerGateway;
    readonly operators: OperatorGateway;
    readonly settings: SettingsSource;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly limits: RequestLimits;
    /** Whether this entry is shutting down, so that the balancer should not use it. */
    isDraining(): boolean;
}

/** Limits that apply to each request. */
export interface RequestLimits {
    readonly maxBodyBytes: number;
    /** Deadline of a service request that specifies none. */
    readonly defaultDeadlineMs: Millis;
    readonly maxDeadlineMs: Millis;
    /** Longest time that a request may wait for the end of a job. */
    readonly maxWaitMs: Millis;
    /** Timeout of calls to the owner of a job. */
    readonly homeTimeoutMs: Millis;
    readonly maxTasks: number;
    readonly maxPayloadBytes: number;
}

/** Default limits; a deployment normally need not change them. */
export const DEFAULT_REQUEST_LIMITS: RequestLimits = {
    maxBodyBytes: 8 * 1_048_576,
    defaultDeadlineMs: 30_000,
    maxDeadlineMs: 600_000,
    maxWaitMs: 60_000,
    homeTimeoutMs: 10_000,
    maxTasks: 10_000,
    maxPayloadBytes: 65_536,
};

/** Whose tokens a route accepts. */
export const Access = {
    /** No token is required. */
    open: "open",
    /** A team's token. */
    team: "team",
    /** An operator's token. */
    operator: "operator",
    /** Either kind: a team sees its own work, operators see all. */
    reader: "reader",
} as const;
export type Access = (typeof Access)[keyof typeof Access];

/** A route of the HTTP interface. */
export interface Route {
    readonly method: "GET" | "POST";
    /** Path pattern in the syntax of find-my-way. */
    readonly path: string;
    readonly access: Access;
    /** Whether the route accepts a body; sending one to other routes is an error. */
    readonly takesBody: boolean;
    /** Called before the body is read; a reply ends the request. */
    readonly refuse?: (context: RouteContext) => HttpReply | undefined;
    readonly handle: (context: RouteContext, exchange: Exchange) => Promise<HttpReply> | HttpReply;
}
