/**
 * The HTTP server of an entry: it owns callers' and operators' connections and their limits. What happens to a
 * single request is in `request-runner.ts`.
 */
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { sleep } from "../../common/clock.js";
import type { Millis, Timer } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { OperatorToken, RouteContext } from "../../request/http/index.js";
import { openPort } from "../open-port.js";
import { writeParseAnswer } from "./http-answers.js";
import { DEFAULT_HTTP_LIMITS } from "./http-limits.js";
import type { HttpLimits } from "./http-limits.js";
import { RequestRunner } from "./request-runner.js";

/** What a server is made from. */
export interface HttpServerOptions extends Omit<RouteContext, "limits" | "isDraining"> {
    /** IP number to listen on. */
    readonly host: string;
    /** Port to listen on; 0 lets the operating system pick one. */
    readonly port: number;
    readonly random: Random;
    readonly operatorTokens: readonly OperatorToken[];
    readonly limits?: Partial<HttpLimits>;
}

/** Time for a client to read the answer to what was no request. */
const LINGER_MS: Millis = 1_000;
const DROP_REPORT_MS: Millis = 1_000;
const LOAD_REPORT_MS: Millis = 1_000;
const SHUTDOWN_POLL_MS: Millis = 10;
const MIN_CHECK_MS: Millis = 50;

/** The server; see the module comment. */
export class HttpServer {
    /** The port that it listens on. */
    port = 0;

    private readonly limits: HttpLimits;
    private readonly server: Server;
    private readonly runner: RequestRunner;
    private draining = false;
    private lastDropReport: Millis | undefined;
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

    /** Starts to listen; rejects if the port cannot be had. */
    async open(): Promise<void> {
        this.port = await openPort(this.server, this.options.host, this.options.port);
        this.reportLoad();
    }

    /**
     * First step of a graceful shutdown: the readiness check fails and connections are closed after their next
     * answer, while requests that still come are served, since the balancer learns of it only with its next
     * check.
     */
    startDraining(): void {
        this.draining = true;
    }

    /**
     * Last step: takes no new connections and waits for requests under way.
     * @param graceMs - Longest wait; what is still under way then is cut off, and logged.
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
            await sleep(clock, SHUTDOWN_POLL_MS);
        }
        if (this.countInFlight() > 0) {
            log.error("CR1405", "shutdownCut", { requests: this.countInFlight() });
        }
        this.server.closeAllConnections();
        this.gaugeTimer?.cancel();
        await closed;
    }

    /** Requests whose answer is not finished. */
    countInFlight(): number {
        return this.runner.countInFlight();
    }

    private buildServer(): Server {
        const { limits } = this;
        const shortest = Math.min(limits.headersTimeoutMs, limits.requestTimeoutMs);
        const server = createServer(
            {
                maxHeaderSize: limits.maxHeaderBytes,
                headersTimeout: limits.headersTimeoutMs,
                // Node refuses a whole request's time that is shorter than that of its headers.
                requestTimeout: Math.max(limits.requestTimeoutMs, limits.headersTimeoutMs),
                keepAliveTimeout: limits.keepAliveMs,
                // Node looks for slow requests only this often.
                connectionsCheckingInterval: Math.max(MIN_CHECK_MS, shortest / 4),
                noDelay: true,
            },
            (request, response) => this.runner.acceptRequest(request, response, false),
        );
        server.maxConnections = limits.maxConnections;
        server.on("checkContinue", (request, response) => this.runner.acceptRequest(request, response, true));
        server.on(
            "clientError",
            (error: NodeJS.ErrnoException, socket) => this.refuseMalformed(error, socket as Socket),
        );
        server.on("drop", () => this.reportDrop());
        return server;
    }

    private refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
        if (error.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        this.options.metrics.count("http.refused", 1, { code: error.code ?? "malformed" });
        writeParseAnswer(socket, error.code);
        // A client that neither reads nor closes must not keep the socket.
        this.options.clock.schedule(LINGER_MS, () => socket.destroy());
    }

    private reportLoad(): void {
        this.options.metrics.gauge("http.inFlight", this.countInFlight());
        this.gaugeTimer = this.options.clock.schedule(LOAD_REPORT_MS, () => this.reportLoad());
    }

    private reportDrop(): void {
        const now = this.options.clock.now();
        this.options.metrics.count("http.refused", 1, { code: "CR1404" });
        if (this.lastDropReport === undefined || now - this.lastDropReport >= DROP_REPORT_MS) {
            this.lastDropReport = now;
            this.options.log.warn("CR1404", "connectionLimit", {
                maxConnections: this.limits.maxConnections,
            });
        }
    }
}
