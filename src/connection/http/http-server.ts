/**
 * The HTTP server of an entry. It owns the connections of callers and operators and enforces their limits.
 * Single requests are handled in `request-runner.ts`.
 */
import { sleep } from "../../common/clock.js";
import type { Millis, Timer } from "../../common/clock.js";
import { readProcessResources } from "../../common/process-resources.js";
import type { ProcessResources } from "../../common/process-resources.js";
import type { Random } from "../../common/random.js";
import type { OperatorToken, RouteContext } from "../../request/http/index.js";
import { ClientConnections } from "./client-connections.js";
import { computeConnectionLimits } from "./connection-limits.js";
import { DEFAULT_HTTP_LIMITS } from "./http-limits.js";
import type { HttpLimits } from "./http-limits.js";
import { HttpListener } from "./http-listener.js";
import { RequestRunner } from "./request-runner.js";

/** Options of {@link HttpServer}. */
export interface HttpServerOptions extends Omit<RouteContext, "limits" | "isDraining"> {
    /** IP address to listen on. */
    readonly host: string;
    /** Port to listen on; 0 lets the operating system pick one. */
    readonly port: number;
    readonly random: Random;
    readonly operatorTokens: readonly OperatorToken[];
    /** Resources of the process; detected if omitted. */
    readonly resources?: ProcessResources;
    readonly limits?: Partial<HttpLimits>;
}

const LOAD_REPORT_INTERVAL_MS: Millis = 1_000;
const SHUTDOWN_POLL_INTERVAL_MS: Millis = 10;

/** The HTTP server of an entry. */
export class HttpServer {
    /** The port that it listens on. */
    port = 0;

    private readonly limits: HttpLimits;
    private readonly clients: ClientConnections;
    private readonly listener: HttpListener;
    private readonly runner: RequestRunner;
    private draining = false;
    private gaugeTimer: Timer | undefined;

    constructor(private readonly options: HttpServerOptions) {
        this.limits = { ...DEFAULT_HTTP_LIMITS, ...options.limits };
        this.runner = new RequestRunner({
            context: { ...options, limits: this.limits, isDraining: () => this.draining },
            limits: this.limits,
            random: options.random,
            operatorTokens: options.operatorTokens,
        });
        const { clock, log, metrics, resources = readProcessResources() } = options;
        const derived = computeConnectionLimits(resources);
        this.clients = new ClientConnections({
            clock,
            log,
            metrics,
            maxHeldBytes: Math.min(this.limits.maxBufferedBytes, derived.maxHeldBytes),
            timeouts: this.limits,
        });
        this.listener = this.createListener(Math.min(this.limits.maxConnections, derived.maxConnections));
    }

    /** Starts to listen; rejects if the port cannot be opened. */
    async open(): Promise<void> {
        await this.listener.open(this.options.host, this.options.port);
        this.port = this.listener.port;
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
        this.listener.stopAccepting();
        const deadline = clock.now() + graceMs;
        while (this.countInFlight() > 0 && clock.now() < deadline) {
            await sleep(clock, SHUTDOWN_POLL_INTERVAL_MS);
        }
        if (this.countInFlight() > 0) {
            log.error("CR1405", "shutdownCut", { requests: this.countInFlight() });
        }
        this.listener.close();
        this.clients.close();
        this.gaugeTimer?.cancel();
    }

    /** Returns the number of requests whose reply is not finished. */
    countInFlight(): number {
        return this.runner.countInFlight();
    }

    private createListener(maxConnections: number): HttpListener {
        const { clients, limits, runner } = this;
        return new HttpListener({
            clients,
            group: { name: "http", maxConnections },
            limits,
            handleRequest: (request, response, needsContinue) =>
                runner.acceptRequest(request, response, needsContinue),
            handleMalformed: code => this.options.metrics.count("http.refused", 1, { code }),
        });
    }

    private reportLoad(): void {
        this.options.metrics.gauge("http.inFlight", this.countInFlight());
        this.gaugeTimer = this.options.clock.schedule(LOAD_REPORT_INTERVAL_MS, () => this.reportLoad());
    }
}
