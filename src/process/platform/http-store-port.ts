/** Implementation of {@link StorePort} over HTTP. */
import { Pool } from "undici";
import type { z } from "zod";
import { z as schema } from "zod";
import type { Clock, Millis } from "../../common/clock.js";
import type {
    StoreAnswer,
    StoreChanges,
    StoreListing,
    StorePort,
    StoreRecord,
    StoreSwap,
    StoreTransaction,
} from "../ports/index.js";
import { sendHttpRequest } from "./http-request.js";
import type { HttpRequest } from "./http-request.js";
import { parseJsonAnswer } from "./json-answer.js";
import {
    changesSchema,
    listingSchema,
    recordSchema,
    storeRefusalSchema,
    undefinedSchema,
} from "./schemas.js";

/** Options of {@link HttpStorePort}. */
export interface HttpStorePortOptions {
    /** `http://host:port`. */
    readonly url: string;
    readonly clock: Clock;
    /**
     * Most connections for calls. Polls have connections of their own, so that a waiting poll occupies none
     * of these.
     */
    readonly connections?: number;
    /** Most connections for polls; each watch needs one. */
    readonly pollConnections?: number;
}

const DEFAULT_CONNECTIONS = 16;
const DEFAULT_POLL_CONNECTIONS = 16;
/** Largest answer. The listing of a home slice may contain many values of up to 1 MB. */
const MAX_ANSWER_BYTES = 268_435_456;
/** Timeout of a poll as a multiple of its wait, which leaves time for the round trip to a slow store. */
const POLL_TIMEOUT_FACTOR = 2;

type Call = Pick<HttpRequest, "method" | "path"> & { readonly body?: unknown; };

/** Largest value that the platform's protocol allows. */
const MAX_VALUE_BYTES = 1_048_576;

/** Calls the store over pooled connections. */
export class HttpStorePort implements StorePort {
    readonly maxValueBytes = MAX_VALUE_BYTES;
    private readonly callPool: Pool;
    private readonly pollPool: Pool;

    constructor(private readonly options: HttpStorePortOptions) {
        this.callPool = new Pool(options.url, { connections: options.connections ?? DEFAULT_CONNECTIONS });
        this.pollPool = new Pool(options.url, {
            connections: options.pollConnections ?? DEFAULT_POLL_CONNECTIONS,
        });
    }

    read(key: string, timeout: Millis): Promise<StoreAnswer<StoreRecord | undefined>> {
        const path = `/v1/record?key=${encodeURIComponent(key)}`;
        return this.request({ method: "GET", path }, schema.optional(recordSchema), timeout);
    }

    list(prefix: string, timeout: Millis): Promise<StoreAnswer<StoreListing>> {
        const path = `/v1/records?prefix=${encodeURIComponent(prefix)}`;
        return this.request({ method: "GET", path }, listingSchema, timeout);
    }

    swap(swap: StoreSwap, timeout: Millis): Promise<StoreAnswer<number>> {
        return this.request(
            { method: "PUT", path: "/v1/record", body: swap },
            schema.number().int(),
            timeout,
        );
    }

    transact(transaction: StoreTransaction, timeout: Millis): Promise<StoreAnswer<number>> {
        const call: Call = { method: "POST", path: "/v1/transactions", body: transaction };
        return this.request(call, schema.number().int(), timeout);
    }

    grantLease(ttl: Millis, timeout: Millis): Promise<StoreAnswer<string>> {
        const call: Call = { method: "POST", path: "/v1/leases", body: { ttlMs: ttl } };
        return this.request(call, schema.string(), timeout);
    }

    renewLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>> {
        const path = `/v1/leases/${encodeURIComponent(leaseId)}/renew`;
        return this.request({ method: "POST", path }, undefinedSchema, timeout);
    }

    revokeLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>> {
        const path = `/v1/leases/${encodeURIComponent(leaseId)}`;
        return this.request({ method: "DELETE", path }, undefinedSchema, timeout);
    }

    poll(prefix: string, afterRevision: number, timeout: Millis): Promise<StoreAnswer<StoreChanges>> {
        const wait = Math.floor(timeout);
        const path = `/v1/changes?prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${wait}`;
        return this.request(
            { method: "GET", path },
            changesSchema,
            timeout * POLL_TIMEOUT_FACTOR,
            this.pollPool,
        );
    }

    /** Closes all connections; pending calls end as `unavailable` or `unknown`. */
    async close(): Promise<void> {
        await Promise.all([this.callPool.destroy(), this.pollPool.destroy()]);
    }

    private async request<Value>(
        call: Call,
        valueSchema: z.ZodType<Value>,
        timeout: Millis,
        pool: Pool = this.callPool,
    ): Promise<StoreAnswer<Value>> {
        const end = await sendHttpRequest(pool, this.options.clock, {
            method: call.method,
            path: call.path,
            headers: call.body === undefined ? {} : { "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            timeout,
            maxBytes: MAX_ANSWER_BYTES,
        });
        const answer = parseJsonAnswer(end, valueSchema, storeRefusalSchema);
        if (answer.kind !== "refused") {
            return answer;
        }
        const { reason, current, standing } = answer.refusal;
        const refused = { kind: "refused", reason, current } as const;
        return standing === undefined ? refused : { ...refused, standing };
    }
}
