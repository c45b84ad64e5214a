/**
 * The HTTP server of an entry. It owns the connections of callers and operators and enforces their limits.
 * Single requests are handled in `request-runner.ts`.
 */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { sleep } from "../../common/clock.js";
import type { Millis, Timer } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { OperatorToken, RouteContext } from "../../request/http/index.js";
import { openPort } from "../open-port.js";
import { ArrivalTimeouts } from "./arrival-timeouts.js";
import { REQUEST_TIMEOUT_CODE, writeParseErrorReply } from "./http-answers.js";
import { DEFAULT_HTTP_LIMITS } from "./http-limits.js";
import type { HttpLimits } from "./http-limits.js";
import { RequestRunner } from "./request-runner.js";

/** Options of {@link HttpServer}. */
export interface HttpServerOptions extends Omit<RouteContext, "limits" | "isDraining"> {
    /** IP address to listen on. */
    readonly host: string;
    /** Port to listen on; 0 lets the operating system pick one. */
    readonly port: number;
    readonly random: Random;
    readonly operatorTokens: readonly OperatorToken[];
    readonly limits?: Partial<HttpLimits>;
}

/** Time that a client has to read the reply to a malformed request. */
const LINGER_MS: Millis = 1_000;
const EXPECTATION_FAILED = 417;
const DROP_REPORT_INTERVAL_MS: Millis = 1_000;
const LOAD_REPORT_INTERVAL_MS: Millis = 1_000;
const SHUTDOWN_POLL_INTERVAL_MS: Millis = 10;

/** The HTTP server of an entry. */
export class HttpServer {
    /** The port that it listens on. */
    port = 0;

    private readonly limits: HttpLimits;
    private readonly server: Server;
    private readonly runner: RequestRunner;
    private timeouts: ArrivalTimeouts | undefined;
    private draining = false;
    private lastDropReportAt: Millis | undefined;
    private gaugeTimer: Timer | undefined;

    constructor(private readonly options: HttpServerOptions) {
        this.limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
        this.runner = new RequestRunner({
            context: { ...options, limits: this.limits, isDraining: () => this.draining },
            limits: this.limits,
            random: options.random,
            operatorTokens: options.operatorTokens,
        });
        this.server = this.buildServer();
    }

    /** Starts to listen; rejects if the port cannot be opened. */
    async open(): Promise<void> {
        this.port = await openPort(this.server, this.options.host, this.options.port);
        this.timeouts = new ArrivalTimeouts({
            clock: this.options.clock,
            limits: this.limits,
            onTimeout: socket => this.refuseUnread(socket, REQUEST_TIMEOUT_CODE),
        });
        this.reportLoad();
    }

    /**
     * Starts a graceful shutdown: the readiness check fails, and connections are closed after their next
     * reply. Requests that still arrive are served, since the load balancer notices only at its next check.
     */
    startDraining(): void {
        this.draining = true;
    }

    /**
     * Ends a graceful shutdown: accepts no new connections and waits for pending requests.
     * @param graceMs - Longest wait in milliseconds. Requests still pending then are aborted and logged.
     */
    async close(graceMs: Millis): Promise<void> {
        const { clock, log } = this.options;
        this.draining = true;
        const closed = new Promise<void>(resolve => {
            this.server.close(() => resolve());
        });
        this.server.closeIdleConnections();
        const deadline = clock.now() + graceMs;
        while (this.countInFlight() > 0 && clock.now() < deadline) {
            await sleep(clock, SHUTDOWN_POLL_INTERVAL_MS);
        }
        if (this.countInFlight() > 0) {
            log.error("CR1405", "shutdownCut", { requests: this.countInFlight() });
        }
        this.server.closeAllConnections();
        this.gaugeTimer?.cancel();
        this.timeouts?.close();
        await closed;
    }

    /** Returns the number of requests whose reply is not finished. */
    countInFlight(): number {
        return this.runner.countInFlight();
    }

    private buildServer(): Server {
        const { limits } = this;
        const server = createServer(
            {
                maxHeaderSize: limits.maxHeaderBytes,
                // `ArrivalTimeouts` applies both limits.
                headersTimeout: 0,
                requestTimeout: 0,
                keepAliveTimeout: limits.keepAliveMs,
                noDelay: true,
            },
            (request, response) => this.acceptRequest(request, response, false),
        );
        server.maxConnections = limits.maxConnections;
        server.on("connection", socket => this.timeouts?.addConnection(socket));
        server.on("checkContinue", (request, response) => this.acceptRequest(request, response, true));
        server.on("checkExpectation", (request, response) => {
            this.timeouts?.observeHeaders(request);
            response.writeHead(EXPECTATION_FAILED).end();
        });
        server.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket) => this.refuseMalformed(error, socket as Socket),
        );
        // Without this listener Node closes idle connections before it reads what has arrived on them.
        server.on("timeout", socket => this.closeIdle(socket));
        server.on("drop", () => this.reportDrop());
        return server;
    }

    private acceptRequest(request: IncomingMessage, response: ServerResponse, needsContinue: boolean): void {
        this.timeouts?.observeHeaders(request);
        this.runner.acceptRequest(request, response, needsContinue);
    }

    private closeIdle(socket: Socket): void {
        const { bytesRead } = socket;
        this.options.clock.schedule(0, () => {
            if (socket.bytesRead === bytesRead) {
                socket.destroy();
            }
        });
    }

    private refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        if (error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        this.refuseUnread(socket, error.code);
    }

    /** Refuses a request that was not received completely, and ends its connection. */
    private refuseUnread(socket: Socket, code: string | undefined): void {
        if (!socket.writable) {
            socket.destroy();
            return;
        }
        this.options.metrics.count("http.refused", 1, { code: code ?? "malformed" });
        writeParseErrorReply(socket, code);
        // A client that neither reads nor closes must not keep the socket open.
        this.options.clock.schedule(LINGER_MS, () => socket.destroy());
    }

    private reportLoad(): void {
        this.options.metrics.gauge("http.inFlight", this.countInFlight());
        this.gaugeTimer = this.options.clock.schedule(LOAD_REPORT_INTERVAL_MS, () => this.reportLoad());
    }

    private reportDrop(): void {
        const now = this.options.clock.now();
        this.options.metrics.count("http.refused", 1, { code: "CR1404" });
        if (this.lastDropReportAt === undefined || now - this.lastDropReportAt >= DROP_REPORT_INTERVAL_MS) {
            this.lastDropReportAt = now;
            this.options.log.warn("CR1404", "connectionLimit", {
                maxConnections: this.limits.maxConnections,
            });
        }
    }
}
