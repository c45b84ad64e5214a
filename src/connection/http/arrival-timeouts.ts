/** Finds connections whose requests do not arrive within the time limits. */
import type { IncomingMessage } from "node:http";
import { scheduleTimeout } from "../../common/clock.js";
import type { Clock, Millis, Timer } from "../../common/clock.js";
import { LatenessMeter } from "../../common/lateness.js";
import { hasBody } from "./body-reader.js";
import type { HttpConnection } from "./http-connection.js";
import type { HttpLimits } from "./http-limits.js";

/** Options of {@link ArrivalTimeouts}. */
export interface ArrivalTimeoutsOptions {
    readonly clock: Clock;
    readonly limits: Pick<HttpLimits, "headersTimeoutMs" | "requestTimeoutMs">;
}

/** What is known of the request that a connection is receiving. */
interface Arrival {
    /** Called once if the request is overdue. */
    readonly onTimeout: () => void;
    /** The last request whose headers are complete. */
    request: IncomingMessage | undefined;
    /** Bytes that the connection had received when the last request was complete. */
    bytesBefore: number;
    /** Whether the connection has received a part of the next request. */
    hasBegun: boolean;
    /** Responsive time at which the wait for the request began; infinite while a used connection is idle. */
    startedAt: Millis;
}

const MIN_CHECK_INTERVAL_MS: Millis = 50;
/** Number of checks within the shorter timeout. */
const CHECKS_PER_TIMEOUT = 4;

/**
 * Applies the timeouts of arriving requests to all connections of a process.
 *
 * @remarks Unlike Node's own timeouts they count responsive time, and what has arrived is read before they expire.
 */
export class ArrivalTimeouts {
    private readonly arrivals = new Map<HttpConnection, Arrival>();
    private readonly meter: LatenessMeter;
    private readonly intervalMs: Millis;
    /** Node, too, counts the headers as a part of the request. */
    private readonly requestTimeoutMs: Millis;
    private timer: Timer;

    constructor(private readonly options: ArrivalTimeoutsOptions) {
        const { clock, limits } = options;
        const shortest = Math.min(limits.headersTimeoutMs, limits.requestTimeoutMs);
        this.requestTimeoutMs = Math.max(limits.headersTimeoutMs, limits.requestTimeoutMs);
        this.intervalMs = Math.max(MIN_CHECK_INTERVAL_MS, shortest / CHECKS_PER_TIMEOUT);
        this.meter = new LatenessMeter(clock);
        this.timer = this.scheduleCheck();
    }

    /**
     * Adds a connection on which a client is expected to send a request.
     * @param onTimeout - Called once if a request is overdue.
     */
    addConnection(connection: HttpConnection, onTimeout: () => void): void {
        this.arrivals.set(connection, {
            onTimeout,
            request: undefined,
            bytesBefore: 0,
            hasBegun: false,
            startedAt: this.meter.getResponsiveMs(),
        });
        connection.once("close", () => this.arrivals.delete(connection));
    }

    /** Records that the headers of a request are complete. */
    observeHeaders(request: IncomingMessage, connection: HttpConnection): void {
        const arrival = this.arrivals.get(connection);
        if (arrival === undefined) {
            return;
        }
        resetIfComplete(arrival);
        if (!arrival.hasBegun) {
            arrival.hasBegun = true;
            arrival.startedAt = this.meter.getResponsiveMs();
        }
        arrival.request = request;
        arrival.bytesBefore = connection.bytesRead;
        if (hasBody(request)) {
            request.once("end", () => {
                arrival.bytesBefore = connection.bytesRead;
            });
        }
    }

    /** Stops the timeouts. */
    close(): void {
        this.timer.cancel();
        this.meter.close();
        this.arrivals.clear();
    }

    private scheduleCheck(): Timer {
        return scheduleTimeout(this.options.clock, this.intervalMs, () => {
            this.timer = this.scheduleCheck();
            this.checkAll();
        });
    }

    private checkAll(): void {
        const now = this.meter.getResponsiveMs();
        for (const [connection, arrival] of this.arrivals) {
            resetIfComplete(arrival);
            if (!arrival.hasBegun && connection.bytesRead !== arrival.bytesBefore) {
                arrival.hasBegun = true;
                arrival.startedAt = now;
            }
            const limit = arrival.request === undefined ?
                this.options.limits.headersTimeoutMs :
                this.requestTimeoutMs;
            if (now - arrival.startedAt >= limit) {
                this.arrivals.delete(connection);
                arrival.onTimeout();
            }
        }
    }
}

function resetIfComplete(arrival: Arrival): void {
    if (arrival.request?.complete === true) {
        arrival.request = undefined;
        arrival.hasBegun = false;
        arrival.startedAt = Infinity;
    }
}
