/**
 * What the roles see of the store: calls with deadlines, a budget, and no `unknown` that a read could settle.
 */
import type { Millis } from "../common/clock.js";
import type { StoreListing, StoreRecord, StoreSwap } from "./ports/store-port.js";

/** A write as the roles ask for it. The client wraps `value` in an envelope with a unique write id. */
export interface StoreWrite extends StoreSwap {
    /** Milliseconds to keep trying. */
    readonly patienceMs: Millis;
    /** Whether the write is needed to keep ownership; such writes go first and past the budget. */
    readonly vital?: boolean;
}

/** Result of a write. */
export type WriteResult =
    /** It is in the store. */
    | { readonly kind: "done"; readonly revision: number; }
    /** It is surely not and never will be; `current` is what stands there, unwrapped. */
    | { readonly kind: "refused"; readonly current: StoreRecord | undefined; }
    /** The lease that it named has lapsed; it is not in the store. */
    | { readonly kind: "noLease"; }
    /** The value is over the store's limit; it is not in the store. */
    | { readonly kind: "tooLarge"; }
    /** Another record stands there now; ours may have stood there in between. */
    | { readonly kind: "superseded"; readonly current: StoreRecord | undefined; }
    /** Surely without effect: the store was never reached within the patience. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** Nobody can tell yet: the answer was lost and the read back failed within the patience. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Result of a read. */
export type ReadResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "unavailable"; readonly message: string; };

/** Told of changes under a prefix, in the order of the store, each once. */
export interface WatchListener {
    /** All records at the start, and again after a gap that the store could not fill. */
    replaceAll(listing: StoreListing): void;
    /** One change; `value` is undefined for a deletion. */
    applyEvent(key: string, value: string | undefined, revision: number): void;
}

/** A watch that is running. */
export interface WatchHandle {
    stop(): void;
}

/** Calls to the store for the roles of one entry. Values are without the client's envelope. */
export interface StoreClient {
    read(key: string, patienceMs: Millis): Promise<ReadResult<StoreRecord | undefined>>;
    list(prefix: string, patienceMs: Millis): Promise<ReadResult<StoreListing>>;
    write(write: StoreWrite): Promise<WriteResult>;
    /** Follows a prefix until stopped: lists, then polls, and lists again after a gap. */
    watch(prefix: string, listener: WatchListener): WatchHandle;
    grantLease(ttlMs: Millis, patienceMs: Millis): Promise<ReadResult<string>>;
    /** One try; `lapsed` means that the store says the lease is gone. */
    renewLease(leaseId: string, timeoutMs: Millis): Promise<"done" | "lapsed" | "unavailable">;
    revokeLease(leaseId: string): Promise<void>;
    /** Instant of the last call that the store answered, counted from when that call was sent. */
    getLastContact(): Millis | undefined;
    /**
     * Instant up to which every running watch surely shows all changes: that of sending of its last poll or listing
     * that was answered. Other calls say nothing of what the watches have missed.
     * @returns The earliest over all watches; undefined while one of them, or none, has been answered.
     */
    getLastWatchContact(): Millis | undefined;
    /** Sets the share of the cell's budget that this entry may use: called when members change. */
    setBudget(writesPerSecond: number, readsPerSecond: number): void;
    /** Calls so far, by kind, for metrics and `status`. */
    getCounters(): Readonly<
        Record<"reads" | "writes" | "polls" | "leases" | "failures" | "unknowns", number>
    >;
    close(): void;
}
