/**
 * The platform's configuration store as this system uses it: compare-and-swap, leases, watches.
 * One HTTP adapter and one in-memory fake stand behind this port; assumptions are in docs/ASSUMPTIONS.md.
 */
import type { Millis } from "../../common/clock.js";

/** A record of the store. */
export interface StoreRecord {
    readonly key: string;
    /** UTF-8 text, at most 1 MB. */
    readonly value: string;
    /** Store-wide counter at the last write of this key; rises with each write and never comes back. */
    readonly revision: number;
}

/** A change seen by a watch; `value` is undefined when the key was deleted or its lease lapsed. */
export interface StoreEvent {
    readonly key: string;
    readonly value: string | undefined;
    readonly revision: number;
}

/**
 * Answer of one call to the store.
 * `unavailable` means the call surely had no effect; `unknown` means it may have had one.
 */
export type StoreAnswer<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | {
        readonly kind: "refused";
        readonly reason: StoreRefusal;
        readonly current: StoreRecord | undefined;
        /** After a conflict of a transaction: the records that stand at the keys of its conditions. */
        readonly standing?: readonly StoreRecord[];
    }
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

/** Why the store refused a call. */
export const StoreRefusal = {
    /** The key's revision is not the expected one. */
    conflict: "conflict",
    /** The lease named by the call has lapsed. */
    noLease: "noLease",
    /** The value is over the store's limit. */
    tooLarge: "tooLarge",
    /** A watch asked for revisions that the store no longer keeps: list again. */
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
    /** Lease the key lives on; it is deleted when the lease lapses. */
    readonly leaseId?: string;
}

/** A condition of a transaction: the key has this revision; 0 means that it is absent. */
export interface StoreCondition {
    readonly key: string;
    readonly revision: number;
}

/** A record that a transaction writes. */
export interface TransactionWrite {
    readonly key: string;
    readonly value: string;
    /** Lease the key lives on; it is deleted when the lease lapses. */
    readonly leaseId?: string;
}

/** Conditions and changes of several keys, all or nothing. */
export interface StoreTransaction {
    readonly conditions: readonly StoreCondition[];
    readonly writes: readonly TransactionWrite[];
    readonly removals: readonly string[];
}

/** Calls to the store. Each costs one call of the platform's budget, a waiting watch too. */
export interface StorePort {
    /** Reads one key. */
    read(key: string, timeout: Millis): Promise<StoreAnswer<StoreRecord | undefined>>;
    /** Reads all keys with a prefix, with the store's revision at the time. */
    list(prefix: string, timeout: Millis): Promise<StoreAnswer<StoreListing>>;
    /** Compare-and-swap; `done` gives the new revision. */
    swap(swap: StoreSwap, timeout: Millis): Promise<StoreAnswer<number>>;
    /** Makes all changes if all conditions hold; `done` gives the new revision. */
    transact(transaction: StoreTransaction, timeout: Millis): Promise<StoreAnswer<number>>;
    /** Grants a lease; `done` gives its id. */
    grantLease(ttl: Millis, timeout: Millis): Promise<StoreAnswer<string>>;
    /** Extends a lease by its whole time to live, counted from the moment the store handles the call. */
    renewLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>>;
    /** Ends a lease and deletes its keys. */
    revokeLease(leaseId: string, timeout: Millis): Promise<StoreAnswer<undefined>>;
    /** Waits for changes under a prefix after a revision; an empty list after `timeout` means none. */
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
