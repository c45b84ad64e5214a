/**
 * Handles single HTTP requests: finds the route, checks the token, reads the body, runs the handler, writes
 * the reply.
 */
import findMyWay from "find-my-way";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Millis } from "../../common/clock.js";
import { makeUniqueId } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import { decideAccess, ROUTES, TokenTable } from "../../request/http/index.js";
import type {
    Exchange,
    HttpReply,
    Identity,
    OperatorToken,
    Route,
    RouteContext,
} from "../../request/http/index.js";
import { hasBody, readBody } from "./body-reader.js";
import type { BodyResult } from "./body-reader.js";
import {
    buildBusy,
    buildHandlerFailed,
    buildTooLarge,
    buildUnexpectedBody,
    buildUnknownPath,
    buildWrongMethod,
} from "./http-answers.js";
import type { HttpLimits } from "./http-limits.js";
import { getConnection } from "./http-listener.js";

/** Options of {@link RequestRunner}. */
export interface RequestRunnerOptions {
    readonly context: RouteContext;
    readonly limits: HttpLimits;
    readonly random: Random;
    readonly operatorTokens: readonly OperatorToken[];
}

/** Request ids of callers that are accepted as part of the id; others are ignored. */
const REQUEST_ID_PATTERN = /^[\w.:-]{1,64}$/;
/** Time for which the rest of a refused body is read and discarded, so that the client can read the reply. */
const BODY_DRAIN_MS: Millis = 1_000;
const MAX_PARAM_LENGTH = 256;

/** State of a request, from the arrival of its headers to the end of its reply. */
interface RequestState {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly receivedAt: Millis;
    readonly needsContinue: boolean;
    route: Route | undefined;
    identity: Identity | undefined;
}

/** A route and its path parameters. */
interface RouteMatch {
    readonly route: Route;
    readonly params: Exchange["params"];
}

/** Runs the requests of one server. */
export class RequestRunner {
    private readonly router = findMyWay({ ignoreTrailingSlash: true, maxParamLength: MAX_PARAM_LENGTH });
    private readonly tokens: TokenTable;
    private readonly idPrefix: string;
    private lastId = 0;
    private inFlight = 0;

    constructor(private readonly options: RequestRunnerOptions) {
        this.tokens = new TokenTable(options.operatorTokens);
        this.idPrefix = makeUniqueId(options.random);
        for (const route of ROUTES) {
            this.router.on(route.method, route.path, () => undefined, route);
        }
        this.router.compile();
    }

    /** Returns the number of requests whose reply is not finished. */
    countInFlight(): number {
        return this.inFlight;
    }

    /**
     * Accepts a request and writes its reply when it is ready, also when the handler fails.
     * @param needsContinue - Whether the client waits for `100 Continue` before it sends the body.
     */
    acceptRequest(request: IncomingMessage, response: ServerResponse, needsContinue: boolean): void {
        const state: RequestState = {
            request,
            response,
            requestId: this.makeRequestId(request),
            receivedAt: this.options.context.clock.now(),
            needsContinue,
            route: undefined,
            identity: undefined,
        };
        this.inFlight += 1;
        response.once("close", () => this.finishRequest(state));
        // The close event of the response is sufficient. Without these listeners an error would end the
        // process.
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        this.runRequest(state).catch((error: unknown) => this.failRequest(state, error));
    }

    /**
     * Makes an id that is unique in the cell, even if callers send the same id twice, since replies are
     * matched to requests by it.
     */
    private makeRequestId(request: IncomingMessage): string {
        const given = request.headers["x-request-id"];
        this.lastId += 1;
        const unique = `${this.idPrefix}-${this.lastId.toString(36)}`;
        return typeof given === "string" && REQUEST_ID_PATTERN.test(given) ? `${given}.${unique}` : unique;
    }

    private async runRequest(state: RequestState): Promise<void> {
        const { request } = state;
        if (this.inFlight > this.options.limits.maxInFlight) {
            this.writeReply(state, buildBusy("requests"));
            return;
        }
        const match = this.findRoute(request.method ?? "", request.url ?? "");
        if (match.kind === "refused") {
            this.writeReply(state, match.reply);
            return;
        }
        state.route = match.route;
        const refusal = this.refuseBeforeBody(state, match.route);
        if (refusal !== undefined) {
            this.writeReply(state, refusal);
            return;
        }
        const body = await this.receiveBody(state);
        // An ended socket: the request was refused while it arrived, and its caller was told that it did not run.
        if (body.kind === "truncated" || request.socket.writableEnded) {
            this.options.context.metrics.count("http.clientGone", 1, { route: match.route.path });
            state.response.destroy();
            return;
        }
        if (body.kind !== "whole") {
            this.writeReply(
                state,
                body.kind === "tooLarge" ?
                    buildTooLarge(this.options.limits.maxBodyBytes) :
                    buildBusy("bytes"),
            );
            return;
        }
        this.writeReply(
            state,
            await match.route.handle(this.options.context, this.buildExchange(state, match, body.body)),
        );
    }

    private findRoute(
        method: string,
        url: string,
    ): (RouteMatch & { readonly kind: "found"; }) | { readonly kind: "refused"; readonly reply: HttpReply; } {
        const found = this.router.find(method as "GET", url);
        if (found) {
            return { kind: "found", route: found.store as Route, params: found.params };
        }
        const allowed = ["GET", "POST"].filter(other => this.router.find(other as "GET", url));
        const reply = allowed.length > 0 ? buildWrongMethod(allowed) : buildUnknownPath(method);
        return { kind: "refused", reply };
    }

    /**
     * Returns the refusal of a request that can be refused before its body is read; undefined if there is
     * none.
     */
    private refuseBeforeBody(state: RequestState, route: Route): HttpReply | undefined {
        const { headers } = state.request;
        const callerId = headers["x-caller-id"];
        const decision = decideAccess(
            route.access,
            headers.authorization,
            typeof callerId === "string" ? callerId : undefined,
            this.tokens,
            this.options.context.settings.getCurrent(),
        );
        if (decision.kind === "refused") {
            this.reportRefusal(state, route, decision.code);
            return decision.reply;
        }
        state.identity = decision.identity;
        if (!route.takesBody && hasBody(state.request)) {
            return buildUnexpectedBody();
        }
        return route.refuse?.(this.options.context);
    }

    private reportRefusal(state: RequestState, route: Route, code: string): void {
        this.options.context.metrics.count("http.refused", 1, { code });
        this.options.context.log.warn(code, "requestRefused", {
            requestId: state.requestId,
            route: `${route.method} ${route.path}`,
            from: state.request.socket.remoteAddress,
        });
    }

    private receiveBody(state: RequestState): Promise<BodyResult> {
        const declared = Number(state.request.headers["content-length"] ?? 0);
        if (state.needsContinue && declared <= this.options.limits.maxBodyBytes) {
            state.response.writeContinue();
        }
        return readBody(state.request, this.options.limits.maxBodyBytes, getConnection(state.request));
    }

    private buildExchange(state: RequestState, match: RouteMatch, body: Uint8Array): Exchange {
        const url = state.request.url ?? "";
        const queryAt = url.indexOf("?");
        return {
            requestId: state.requestId,
            identity: state.identity,
            params: match.params,
            query: queryAt < 0 ? NO_QUERY : new URLSearchParams(url.slice(queryAt)),
            headers: state.request.headers,
            body,
            receivedAt: state.receivedAt,
        };
    }

    private failRequest(state: RequestState, error: unknown): void {
        const message = error instanceof Error ? error.stack ?? error.message : String(error);
        this.options.context.log.error("CR1403", "handlerFailed", { requestId: state.requestId, message });
        if (!state.response.headersSent) {
            this.writeReply(state, buildHandlerFailed());
        }
    }

    private writeReply(state: RequestState, reply: HttpReply): void {
        const { request, response } = state;
        if (response.destroyed) {
            return;
        }
        const closes = this.options.context.isDraining() || !request.complete;
        const body = typeof reply.body === "string" ? Buffer.from(reply.body) : reply.body;
        response.writeHead(reply.status, {
            ...reply.headers,
            "content-type": reply.contentType,
            "content-length": body.length,
            "x-request-id": state.requestId,
            ...(closes ? { connection: "close" } : {}),
        });
        if (request.complete || !hasBody(request)) {
            response.end(body);
            this.ensureProgress(response);
            return;
        }
        this.endAfterBody(state, body);
    }

    /**
     * Closes the connection if the client stops reading, since its reply would stay in memory for ever. Such
     * a client leaves unsent bytes after the write and makes no progress within the write timeout.
     */
    private ensureProgress(response: ServerResponse): void {
        if (response.writableLength > 0) {
            response.setTimeout(this.options.limits.writeTimeoutMs, () => response.destroy());
        }
    }

    /**
     * Writes a reply before the whole body was received. Closing at once would reset the connection, and the
     * client would report a broken connection without seeing the reply. Reading on for a moment lets the
     * client finish sending and read the reply.
     */
    private endAfterBody(state: RequestState, body: Uint8Array): void {
        const { request, response } = state;
        response.write(body);
        const timer = this.options.context.clock.schedule(BODY_DRAIN_MS, () => response.end());
        request.on("end", () => response.end());
        response.once("close", () => timer.cancel());
        request.resume();
    }

    private finishRequest(state: RequestState): void {
        const { log, metrics, clock } = this.options.context;
        this.inFlight -= 1;
        const route = state.route === undefined ? "none" : `${state.route.method} ${state.route.path}`;
        const tookMs = clock.now() - state.receivedAt;
        const status = state.response.writableFinished ? String(state.response.statusCode) : "none";
        metrics.count("http.requests", 1, { route, status });
        metrics.time("http.time", tookMs, { route });
        if (status === "none") {
            metrics.count("http.clientGone", 1, { route });
        }
        log.debug("request", {
            requestId: state.requestId,
            route,
            status,
            caller: describeIdentity(state.identity),
            tookMs,
        });
    }
}

const NO_QUERY = new URLSearchParams();

function describeIdentity(identity: Identity | undefined): string | undefined {
    return identity?.kind === "team" ? identity.caller.callerId : identity?.name;
}
