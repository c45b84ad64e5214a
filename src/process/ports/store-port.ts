/**
 * Port to the platform's configuration store: compare-and-swap, leases, watches. Implemented by an HTTP
 * adapter and an in-memory fake. See docs/ASSUMPTIONS.md for what is assumed of the store.
 */
import type { Millis } from "../../common/clock.js";

/** A record of the store. */
export interface StoreRecord {
    readonly key: string;
    /** Text of at most {@link StorePort.maxValueBytes} bytes in UTF-8. */
    readonly value: string;
    /**
     * Value of the store-wide write counter at the last write of this key. Increases with each write, never
     * recurs.
     */
    readonly revision: number;
}

/** A change reported by a poll; `value` is undefined if the key was deleted or its lease lapsed. */
export interface StoreEvent {
    readonly key: string;
    readonly value: string | undefined;
    readonly revision: number;
}

/**
 * Answer of one call to the store.
 * `unavailable`: the call certainly had no effect. `unknown`: it may have had one.
 */
export type StoreAnswer<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | {
        readonly kind: "refused";
        readonly reason: StoreRefusal;
        readonly current: StoreRecord | undefined;
        /** After a transaction's conflict: the current records at the keys of its conditions. */
        readonly standing?: readonly StoreRecord[];
    }
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

/** Why the store refused a call. */
export const StoreRefusal = {
    /** The key's revision is not the expected one. */
    conflict: "conflict",
    /** The lease given with the call has lapsed. */
    noLease: "noLease",
    /** The value exceeds the store's limit. */
    tooLarge: "tooLarge",
    /** A poll requested revisions that the store no longer keeps; the prefix must be listed again. */
    compacted: "compacted",
} as const;
export type StoreRefusal = (typeof StoreRefusal)[keyof typeof StoreRefusal];

/** A compare-and-swap of one key. */
export interface StoreSwap {
    readonly key: string;
    /** New value; undefined deletes the key. */
    readonly value: string | undefined;
    /** Revision the key must have; 0 means that the key must be absent. */
    readonly expectedRevision: number;
    /** Lease that the key is bound to; the key is deleted when the lease lapses. */
    readonly leaseId?: string;
}

/** A condition of a transaction: the key has this revision, or is absent if the revision is 0. */
export interface StoreCondition {
    readonly key: string;
    readonly revision: number;
}

/** A record that a transaction writes. */
export interface TransactionWrite {
    readonly key: string;
    readonly value: string;
    /** Lease that the key is bound to; the key is deleted when the lease lapses. */
    readonly leaseId?: string;
}

/** An atomic change of several keys under conditions. */
export interface StoreTransaction {
    readonly conditions: readonly StoreCondition[];
    readonly writes: readonly TransactionWrite[];
    readonly removals: readonly string[];
}

/** Calls to the store. Each counts as one call against the platform's budget, including a held poll. */
export interface StorePort {
    /** Largest value that the store accepts. */
    readonly maxValueBytes: number;
    /** Reads one key. */
    read(key: string, timeout: Millis): Promise<StoreAnswer<StoreRecord | undefined>>;
    /** Reads all records under a prefix, together with the store's revision at that time. */
    list(prefix: string, timeout: Millis): Promise<StoreAnswer<StoreListing>>;
    /** Makes a compare-and-swap; `done` carries the new revision. */
    swap(swap: StoreSwap, timeout: Millis): Promise<StoreAnswer<number>>;
    /** Makes all changes if all conditions hold; `done` carries the new revision. */
    transact(transaction: StoreTransaction, timeout: Millis): Promise<StoreAnswer<number>>;
    /** Grants a lease; `done` carries its id. */
    grantLease(ttl: Millis, timeout: Millis): Promise<StoreAnswer<string>>;
    /** Renews a lease for its whole time to live, counted from when the store handles the call. */
    renewLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>>;
    /** Ends a lease and deletes its keys. */
    revokeLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>>;
    /**
     * Waits for changes under a prefix after a revision; answers with an empty list if there are none in
     * `timeout`.
     */
    poll(prefix: string, afterRevision: number, timeout: Millis): Promise<StoreAnswer<StoreChanges>>;
}

/** All records under a prefix at one revision of the store. */
export interface StoreListing {
    readonly records: readonly StoreRecord[];
    readonly revision: number;
}

/** Changes after a revision, in order, and the revision up to which they are complete. */
export interface StoreChanges {
    readonly events: readonly StoreEvent[];
    readonly revision: number;
}
