/** The life of one request: found route, token, body, handler, answer to the connection that it came from. */
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
import { BodyBudget, hasBody, readBody } from "./body-reader.js";
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

/** What a runner is made from. */
export interface RequestRunnerOptions {
    readonly context: RouteContext;
    readonly limits: HttpLimits;
    readonly random: Random;
    readonly operatorTokens: readonly OperatorToken[];
}

/** Callers' own request ids; others are replaced. */
const REQUEST_ID_PATTERN = /^[\w.:-]{1,64}$/;
/** Time that the rest of a refused body is read and dropped, so that the client gets to read the answer. */
const LINGER_MS: Millis = 1_000;
const MAX_PARAM_LENGTH = 256;

/** A request from its headers to the end of its answer. */
interface Turn {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly requestId: string;
    readonly receivedAt: Millis;
    readonly needsContinue: boolean;
    route: Route | undefined;
    identity: Identity | undefined;
}

/** A route and what the path gave it. */
interface Match {
    readonly route: Route;
    readonly params: Exchange["params"];
}

/** Runs requests; see the module comment. */
export class RequestRunner {
    private readonly router = findMyWay({ ignoreTrailingSlash: true, maxParamLength: MAX_PARAM_LENGTH });
    private readonly budget: BodyBudget;
    private readonly tokens: TokenTable;
    private readonly idPrefix: string;
    private lastId = 0;
    private inFlight = 0;

    constructor(private readonly options: RequestRunnerOptions) {
        this.budget = new BodyBudget(options.limits.maxBufferedBytes);
        this.tokens = new TokenTable(options.operatorTokens);
        this.idPrefix = makeUniqueId(options.random);
        for (const route of ROUTES) {
            this.router.on(route.method, route.path, () => undefined, route);
        }
        this.router.compile();
    }

    /** Requests whose answer is not finished. */
    countInFlight(): number {
        return this.inFlight;
    }

    /**
     * Takes a request; its answer is written in due time, whatever happens.
     * @param needsContinue - Whether the client waits for a word before it sends the body.
     */
    acceptRequest(request: IncomingMessage, response: ServerResponse, needsContinue: boolean): void {
        const turn: Turn = {
            request,
            response,
            requestId: this.makeRequestId(request),
            receivedAt: this.options.context.clock.now(),
            needsContinue,
            route: undefined,
            identity: undefined,
        };
        this.inFlight += 1;
        response.once("close", () => this.finishTurn(turn));
        // The response's own close tells all; without a listener an error would end the process.
        response.on("error", () => undefined);
        request.on("error", () => undefined);
        this.runTurn(turn).catch((error: unknown) => this.failTurn(turn, error));
    }

    /**
     * Makes an id that no other request in the cell has, even where callers send the same one twice: answers
     * are matched by it.
     */
    private makeRequestId(request: IncomingMessage): string {
        const given = request.headers["x-request-id"];
        this.lastId += 1;
        const unique = `${this.idPrefix}-${this.lastId.toString(36)}`;
        return typeof given === "string" && REQUEST_ID_PATTERN.test(given) ? `${given}.${unique}` : unique;
    }

    private async runTurn(turn: Turn): Promise<void> {
        const { request } = turn;
        if (this.inFlight > this.options.limits.maxInFlight) {
            this.writeReply(turn, buildBusy("requests"));
            return;
        }
        const match = this.findRoute(request.method ?? "", request.url ?? "");
        if (match.kind === "refused") {
            this.writeReply(turn, match.reply);
            return;
        }
        turn.route = match.route;
        const refusal = this.refuseEarly(turn, match.route);
        if (refusal !== undefined) {
            this.writeReply(turn, refusal);
            return;
        }
        const body = await this.receiveBody(turn);
        if (body.kind === "truncated") {
            this.options.context.metrics.count("http.clientGone", 1, { route: match.route.path });
            turn.response.destroy();
            return;
        }
        if (body.kind !== "whole") {
            this.writeReply(
                turn,
                body.kind === "tooLarge" ?
                    buildTooLarge(this.options.limits.maxBodyBytes) :
                    buildBusy("bytes"),
            );
            return;
        }
        this.writeReply(
            turn,
            await match.route.handle(this.options.context, this.buildExchange(turn, match, body.body)),
        );
    }

    private findRoute(
        method: string,
        url: string,
    ): (Match & { readonly kind: "found"; }) | { readonly kind: "refused"; readonly reply: HttpReply; } {
        const found = this.router.find(method as "GET", url);
        if (found) {
            return { kind: "found", route: found.store as Route, params: found.params };
        }
        const allowed = ["GET", "POST"].filter(other => this.router.find(other as "GET", url));
        const reply = allowed.length > 0 ? buildWrongMethod(allowed) : buildUnknownPath(method);
        return { kind: "refused", reply };
    }

    /** Refuses what need not be read any further. */
    private refuseEarly(turn: Turn, route: Route): HttpReply | undefined {
        const { headers } = turn.request;
        const callerId = headers["x-caller-id"];
        const decision = decideAccess(
            route.access,
            headers.authorization,
            typeof callerId === "string" ? callerId : undefined,
            this.tokens,
            this.options.context.settings.getCurrent(),
        );
        if (decision.kind === "refused") {
            this.reportRefusal(turn, route, decision.code);
            return decision.reply;
        }
        turn.identity = decision.identity;
        if (!route.takesBody && hasBody(turn.request)) {
            return buildUnexpectedBody();
        }
        return route.refuse?.(this.options.context);
    }

    private reportRefusal(turn: Turn, route: Route, code: string): void {
        this.options.context.metrics.count("http.refused", 1, { code });
        this.options.context.log.warn(code, "requestRefused", {
            requestId: turn.requestId,
            route: `${route.method} ${route.path}`,
            from: turn.request.socket.remoteAddress,
        });
    }

    private receiveBody(turn: Turn): Promise<BodyResult> {
        const declared = Number(turn.request.headers["content-length"] ?? 0);
        if (turn.needsContinue && declared <= this.options.limits.maxBodyBytes) {
            turn.response.writeContinue();
        }
        return readBody(turn.request, this.options.limits.maxBodyBytes, this.budget);
    }

    private buildExchange(turn: Turn, match: Match, body: Uint8Array): Exchange {
        const url = turn.request.url ?? "";
        const queryAt = url.indexOf("?");
        return {
            requestId: turn.requestId,
            identity: turn.identity,
            params: match.params,
            query: queryAt < 0 ? NO_QUERY : new URLSearchParams(url.slice(queryAt)),
            headers: turn.request.headers,
            body,
            receivedAt: turn.receivedAt,
        };
    }

    private failTurn(turn: Turn, error: unknown): void {
        const message = error instanceof Error ? error.stack ?? error.message : String(error);
        this.options.context.log.error("CR1403", "handlerFailed", { requestId: turn.requestId, message });
        if (!turn.response.headersSent) {
            this.writeReply(turn, buildHandlerFailed());
        }
    }

    private writeReply(turn: Turn, reply: HttpReply): void {
        const { request, response } = turn;
        if (response.destroyed) {
            return;
        }
        const closes = this.options.context.isDraining() || !request.complete;
        const body = typeof reply.body === "string" ? Buffer.from(reply.body) : reply.body;
        response.writeHead(reply.status, {
            ...reply.headers,
            "content-type": reply.contentType,
            "content-length": body.length,
            "x-request-id": turn.requestId,
            ...(closes ? { connection: "close" } : {}),
        });
        if (request.complete || !hasBody(request)) {
            response.end(body);
            this.ensureProgress(response);
            return;
        }
        this.endAfterBody(turn, body);
    }

    /**
     * Failure guarded against: a client that stops reading keeps its answer in memory for ever. It shows as
     * bytes that still wait after the write, and as no progress for the time allowed.
     */
    private ensureProgress(response: ServerResponse): void {
        if (response.writableLength > 0) {
            response.setTimeout(this.options.limits.writeTimeoutMs, () => response.destroy());
        }
    }

    /**
     * Failure guarded against: the answer comes before the client has sent its whole body, and closing the
     * connection then resets it. It shows as a client that reports a broken connection and never sees the
     * answer. Reading on for a moment lets the client finish sending and read.
     */
    private endAfterBody(turn: Turn, body: Uint8Array): void {
        const { request, response } = turn;
        response.write(body);
        const timer = this.options.context.clock.schedule(LINGER_MS, () => response.end());
        request.on("end", () => response.end());
        response.once("close", () => timer.cancel());
        request.resume();
    }

    private finishTurn(turn: Turn): void {
        const { log, metrics, clock } = this.options.context;
        this.inFlight -= 1;
        const route = turn.route === undefined ? "none" : `${turn.route.method} ${turn.route.path}`;
        const tookMs = clock.now() - turn.receivedAt;
        const status = turn.response.writableFinished ? String(turn.response.statusCode) : "none";
        metrics.count("http.requests", 1, { route, status });
        metrics.time("http.time", tookMs, { route });
        if (status === "none") {
            metrics.count("http.clientGone", 1, { route });
        }
        log.debug("request", {
            requestId: turn.requestId,
            route,
            status,
            caller: describeIdentity(turn.identity),
            tookMs,
        });
    }
}

const NO_QUERY = new URLSearchParams();

function describeIdentity(identity: Identity | undefined): string | undefined {
    return identity?.kind === "team" ? identity.caller.callerId : identity?.name;
}
