/** The store port over HTTP. */
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
import { changesSchema, listingSchema, nothingSchema, recordSchema, storeRefusalSchema } from "./schemas.js";

/** How the store is reached. */
export interface HttpStorePortOptions {
    /** `http://host:port`. */
    readonly url: string;
    readonly clock: Clock;
    /** Connections for calls; a waiting poll takes none of them. */
    readonly connections?: number;
    /** Connections for polls: one for each watch. */
    readonly pollConnections?: number;
}

const DEFAULT_CONNECTIONS = 16;
const DEFAULT_POLL_CONNECTIONS = 16;
/** A listing of a home slice may hold many values of up to 1 MB. */
const MAX_ANSWER_BYTES = 268_435_456;
/** Time that a poll may take, as a multiple of its wait: the way to a slow store and back comes on top. */
const POLL_LIMIT_FACTOR = 2;

type Call = Pick<HttpRequest, "method" | "path"> & { readonly body?: unknown; };

/** Calls to the store over kept connections. */
export class HttpStorePort implements StorePort {
    private readonly calls: Pool;
    private readonly polls: Pool;

    /** @param options - How the store is reached. */
    constructor(private readonly options: HttpStorePortOptions) {
        this.calls = new Pool(options.url, { connections: options.connections ?? DEFAULT_CONNECTIONS });
        this.polls = new Pool(options.url, {
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
        return this.request({ method: "POST", path }, nothingSchema, timeout);
    }

    revokeLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>> {
        const path = `/v1/leases/${encodeURIComponent(leaseId)}`;
        return this.request({ method: "DELETE", path }, nothingSchema, timeout);
    }

    poll(prefix: string, afterRevision: number, timeout: Millis): Promise<StoreAnswer<StoreChanges>> {
        const wait = Math.floor(timeout);
        const path = `/v1/changes?prefix=${encodeURIComponent(prefix)}&after=${afterRevision}&waitMs=${wait}`;
        return this.request({ method: "GET", path }, changesSchema, timeout * POLL_LIMIT_FACTOR, this.polls);
    }

    /** Closes all connections; calls under way end unavailable or unknown. */
    async close(): Promise<void> {
        await Promise.all([this.calls.destroy(), this.polls.destroy()]);
    }

    private async request<Value>(
        call: Call,
        valueSchema: z.ZodType<Value>,
        timeout: Millis,
        pool: Pool = this.calls,
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
