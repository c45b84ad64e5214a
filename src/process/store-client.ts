/**
 * The store as the roles see it: calls have deadlines and a shared budget, and a write reports `unknown` only
 * if reading the record back could not settle its outcome.
 */
import type { Millis } from "../common/clock.js";
import type { StoreListing, StoreRecord, StoreSwap } from "./ports/store-port.js";

/** A write requested by a role. The client wraps `value` in an envelope with a unique write id. */
export interface StoreWrite extends StoreSwap {
    /** Time during which the write is attempted. */
    readonly timeoutMs: Millis;
    /** Whether ownership depends on the write; such writes go first and are exempt from the budget. */
    readonly vital?: boolean;
}

/** Result of a write. */
export type WriteResult =
    /** The write is in the store. */
    | { readonly kind: "done"; readonly revision: number; }
    /** Not in the store and never will be; `current` is the existing record without its envelope. */
    | { readonly kind: "refused"; readonly current: StoreRecord | undefined; }
    /** Not written: the lease that the write names has expired. */
    | { readonly kind: "noLease"; }
    /** Not written: the value exceeds the store's size limit. */
    | { readonly kind: "tooLarge"; }
    /** The key now holds a different record; the write may have been in the store in the meantime. */
    | { readonly kind: "superseded"; readonly current: StoreRecord | undefined; }
    /** Certainly without effect: the store was not reached within the timeout. */
    | { readonly kind: "unavailable"; readonly message: string; }
    /** Undetermined: the answer was lost, and reading the record back failed within the timeout. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Result of a read. */
export type ReadResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "unavailable"; readonly message: string; };

/** Receives the changes under a prefix, each once and in the order of the store. */
export interface WatchListener {
    /** Receives all records at the start, and again after a gap that the store could not fill. */
    replaceAll(listing: StoreListing): void;
    /** Receives one change; `value` is undefined for a deletion. */
    applyEvent(key: string, value: string | undefined, revision: number): void;
}

/** Handle of an active watch. */
export interface WatchHandle {
    stop(): void;
}

/** Client of the store for the roles of one entry. Values exclude the client's envelope. */
export interface StoreClient {
    read(key: string, timeoutMs: Millis): Promise<ReadResult<StoreRecord | undefined>>;
    list(prefix: string, timeoutMs: Millis): Promise<ReadResult<StoreListing>>;
    write(write: StoreWrite): Promise<WriteResult>;
    /** Follows a prefix until stopped: lists it, polls for changes, and lists it again after a gap. */
    watch(prefix: string, listener: WatchListener): WatchHandle;
    grantLease(ttlMs: Millis, timeoutMs: Millis): Promise<ReadResult<string>>;
    /** Makes a single attempt; `lapsed` means that the store reported the lease as expired. */
    renewLease(leaseId: string, timeoutMs: Millis): Promise<"done" | "lapsed" | "unavailable">;
    revokeLease(leaseId: string): Promise<void>;
    /** Instant at which the last call that the store answered was sent. */
    getLastContact(): Millis | undefined;
    /**
     * Instant up to which every active watch certainly has all changes: when its last answered poll or
     * listing was sent. Other calls do not count, since they do not show what a watch has missed.
     * @returns The earliest instant over all watches; undefined if there is none or one has no answer yet.
     */
    getLastWatchContact(): Millis | undefined;
    /** Sets this entry's share of the cell's budget; called when the members change. */
    setBudget(writesPerSecond: number, readsPerSecond: number): void;
    /** Number of calls so far by kind, for metrics and `status`. */
    getCounters(): Readonly<
        Record<"reads" | "writes" | "polls" | "leases" | "failures" | "unknowns", number>
    >;
    close(): void;
}
