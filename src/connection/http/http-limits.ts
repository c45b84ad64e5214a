/** Limits of the HTTP connections of callers and operators. */
import type { Millis } from "../../common/clock.js";
import { DEFAULT_REQUEST_LIMITS } from "../../request/http/index.js";
import type { RequestLimits } from "../../request/http/index.js";

/** Limits of one HTTP server. The resources of the process may set lower ones: see `connection-limits.ts`. */
export interface HttpLimits extends RequestLimits {
    readonly maxHeaderBytes: number;
    /** Time within which all headers of a request must arrive. */
    readonly headersTimeoutMs: Millis;
    /** Time within which a whole request must arrive. */
    readonly requestTimeoutMs: Millis;
    /**
     * Time that an idle connection is kept open. Longer than the load balancer's, so that the balancer closes
     * first.
     */
    readonly keepAliveMs: Millis;
    /**
     * Time without progress after which the connection of a client that does not read its reply is closed.
     */
    readonly writeTimeoutMs: Millis;
    readonly maxConnections: number;
    /** Most concurrent requests; further ones are refused immediately. */
    readonly maxInFlight: number;
    /** Most bytes that are buffered for clients, over all connections. */
    readonly maxBufferedBytes: number;
}

/** Limits of the running system. */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
    ...DEFAULT_REQUEST_LIMITS,
    maxHeaderBytes: 16_384,
    headersTimeoutMs: 10_000,
    requestTimeoutMs: 60_000,
    keepAliveMs: 75_000,
    writeTimeoutMs: 30_000,
    maxConnections: 10_000,
    maxInFlight: 4_000,
    maxBufferedBytes: 256 * 1_048_576,
};
