/** Limits of callers' and operators' connections. */
import type { Millis } from "../../common/clock.js";
import { DEFAULT_REQUEST_LIMITS } from "../../request/http/index.js";
import type { RequestLimits } from "../../request/http/index.js";

/** Limits of a server. */
export interface HttpLimits extends RequestLimits {
    readonly maxHeaderBytes: number;
    /** Time for all headers of a request to arrive. */
    readonly headersTimeoutMs: Millis;
    /** Time for a whole request to arrive. */
    readonly requestTimeoutMs: Millis;
    /** Time that a connection is kept without a request. Longer than the balancer's, so that it closes first. */
    readonly keepAliveMs: Millis;
    /** Time without progress after which an answer that the client does not read is given up. */
    readonly writeTimeoutMs: Millis;
    readonly maxConnections: number;
    /** Requests under way at once; more are refused at once. */
    readonly maxInFlight: number;
    /** Bytes of bodies that are being received, over all requests. */
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
