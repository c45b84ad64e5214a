/** The store client of one entry. */
import type { Clock, Millis } from "../../common/clock.js";
import { makeUniqueId } from "../../common/random.js";
import type { Random } from "../../common/random.js";
import type { StoreListing, StorePort, StoreRecord } from "../ports/index.js";
import type {
    ReadResult,
    StoreClient,
    StoreWrite,
    WatchHandle,
    WatchListener,
    WriteResult,
} from "../store-client.js";
import type { Log, Metrics } from "../telemetry.js";
import { KnownRevisions } from "./known-revisions.js";
import { listRecords, readRecord, retryCall } from "./read-operation.js";
import type { OperationContext } from "./read-operation.js";
import { StoreCalls } from "./store-calls.js";
import { WatchLoop } from "./watch-loop.js";
import { runWrite } from "./write-operation.js";

/** Dependencies of a store client. */
export interface StoreClientOptions {
    readonly port: StorePort;
    readonly clock: Clock;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly log: Log;
    /** Unique for this incarnation of the entry; prefix of its write ids. */
    readonly memberId: string;
}

/** Time limit for revoking a lease; if revoking fails, the lease expires by itself. */
const REVOKE_TIMEOUT_MS = 2_000;

/** Creates the store client of an entry. */
export function createStoreClient(options: StoreClientOptions): StoreClient {
    return new PortStoreClient(options);
}

class PortStoreClient implements StoreClient {
    private readonly calls: StoreCalls;
    private readonly context: OperationContext;
    private readonly knownRevisions = new KnownRevisions();
    private readonly watches = new Set<WatchLoop>();

    constructor(private readonly options: StoreClientOptions) {
        this.calls = new StoreCalls(options.port, options.clock, options.metrics);
        this.context = { calls: this.calls, random: options.random, log: options.log };
    }

    async read(key: string, timeoutMs: Millis): Promise<ReadResult<StoreRecord | undefined>> {
        const deadline = this.getDeadline(timeoutMs);
        const result = await readRecord(this.context, key, deadline, this.knownRevisions.get(key));
        if (result.kind === "done" && result.value !== undefined) {
            this.knownRevisions.observe(key, result.value.revision);
        }
        return result;
    }

    async list(prefix: string, timeoutMs: Millis): Promise<ReadResult<StoreListing>> {
        const result = await listRecords(this.context, prefix, this.getDeadline(timeoutMs));
        if (result.kind === "done") {
            result.value.records.forEach(record => this.knownRevisions.observe(record.key, record.revision));
        }
        return result;
    }

    async write(write: StoreWrite): Promise<WriteResult> {
        const writeId = `${this.options.memberId}.${makeUniqueId(this.options.random)}`;
        const result = await runWrite(this.context, write, writeId);
        if (result.kind === "done") {
            this.knownRevisions.observe(write.key, result.revision);
        }
        if (result.kind === "refused" || result.kind === "superseded") {
            this.knownRevisions.observe(write.key, result.current?.revision ?? 0);
        }
        return result;
    }

    watch(prefix: string, listener: WatchListener): WatchHandle {
        const loop = new WatchLoop(this.context, prefix, listener);
        this.watches.add(loop);
        void loop.run();
        return loop;
    }

    grantLease(ttlMs: Millis, timeoutMs: Millis): Promise<ReadResult<string>> {
        return retryCall(this.context, {
            kind: "leases",
            deadline: this.getDeadline(timeoutMs),
            send: timeout => this.calls.port.grantLease(ttlMs, timeout),
        });
    }

    async renewLease(leaseId: string, timeoutMs: Millis): Promise<"done" | "lapsed" | "unavailable"> {
        const answer = await this.calls.request(
            { kind: "leases", deadline: this.getDeadline(timeoutMs), timeout: timeoutMs },
            (port, timeout) => port.renewLease(leaseId, timeout),
        );
        if (answer.kind === "refused") {
            return "lapsed";
        }
        return answer.kind === "done" ? "done" : "unavailable";
    }

    async revokeLease(leaseId: string): Promise<void> {
        await retryCall(this.context, {
            kind: "leases",
            deadline: this.getDeadline(REVOKE_TIMEOUT_MS),
            send: timeout => this.calls.port.revokeLease(leaseId, timeout),
        });
    }

    getLastContact(): Millis | undefined {
        return this.calls.getLastContact();
    }

    getLastWatchContact(): Millis | undefined {
        let earliest: Millis | undefined;
        for (const watch of this.watches) {
            const contact = watch.getLastContact();
            if (watch.isStopped()) {
                this.watches.delete(watch);
                continue;
            }
            if (contact === undefined) {
                return undefined;
            }
            earliest = Math.min(earliest ?? contact, contact);
        }
        return earliest;
    }

    setBudget(writesPerSecond: number, readsPerSecond: number): void {
        this.calls.setBudget(writesPerSecond, readsPerSecond);
    }

    getCounters(): ReturnType<StoreClient["getCounters"]> {
        return this.calls.getCounters();
    }

    close(): void {
        this.calls.close();
    }

    private getDeadline(timeout: Millis): Millis {
        return this.calls.clock.now() + timeout;
    }
}
