/**
 * In-memory model of the platform's store, as this system assumes it: keys with a store-wide revision,
 * compare-and-swap, leases that delete their keys when they end, a bounded history and polls that wait for a
 * change.
 */
import type { Clock, Millis, Timer } from "../common/clock.js";
import { StoreRefusal } from "../process/ports/index.js";
import type {
    StoreAnswer,
    StoreChanges,
    StoreEvent,
    StoreListing,
    StoreRecord,
    StoreSwap,
    StoreTransaction,
} from "../process/ports/index.js";

/** Bounds of a {@link StoreModel}. */
export interface StoreModelOptions {
    /** Number of events kept for polls; older revisions are compacted. */
    readonly historyLimit?: number;
    /** Maximum size of a value in bytes. */
    readonly valueLimit?: number;
}

/** Number of calls that the store has handled, by the kinds that the platform counts. */
export type StoreCallCounters = Record<"reads" | "writes" | "polls" | "leases", number>;

/** 1 MB, the platform's limit for a value. */
export const DEFAULT_VALUE_LIMIT = 1_048_576;

const DEFAULT_HISTORY_LIMIT = 10_000;

interface Entry {
    readonly record: StoreRecord;
    readonly leaseId: string | undefined;
}

interface Lease {
    readonly ttl: Millis;
    expiresAt: Millis;
    timer: Timer;
}

interface WaitingPoll {
    readonly prefix: string;
    readonly afterRevision: number;
    readonly settle: (answer: StoreAnswer<StoreChanges>) => void;
    timer: Timer | undefined;
}

/** A deterministic store on one clock. */
export class StoreModel {
    private readonly entries = new Map<string, Entry>();
    private readonly leases = new Map<string, Lease>();
    private readonly waiting = new Set<WaitingPoll>();
    private readonly history: StoreEvent[] = [];
    private readonly counters: StoreCallCounters = { reads: 0, writes: 0, polls: 0, leases: 0 };
    private readonly historyLimit: number;
    /** Maximum size of a value in bytes. */
    readonly valueLimit: number;
    private revision = 0;
    private compactedRevision = 0;
    private leaseCount = 0;

    /**
     * @param clock - The store's clock, by which leases expire.
     * @param options - Bounds; default to those of the platform.
     */
    constructor(private readonly clock: Clock, options: StoreModelOptions = {}) {
        this.historyLimit = options.historyLimit ?? DEFAULT_HISTORY_LIMIT;
        this.valueLimit = options.valueLimit ?? DEFAULT_VALUE_LIMIT;
    }

    /** Reads one key. */
    read(key: string): StoreAnswer<StoreRecord | undefined> {
        this.counters.reads++;
        return { kind: "done", value: this.entries.get(key)?.record };
    }

    /** Reads all keys with a prefix, sorted by key. */
    list(prefix: string): StoreAnswer<StoreListing> {
        this.counters.reads++;
        const records = [...this.entries.values()]
            .map(entry => entry.record)
            .filter(record => record.key.startsWith(prefix))
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return { kind: "done", value: { records, revision: this.revision } };
    }

    /** Writes or deletes one key by compare-and-swap. */
    swap(swap: StoreSwap): StoreAnswer<number> {
        this.counters.writes++;
        const current = this.entries.get(swap.key)?.record;
        const refusal = this.findRefusal(swap, current);
        if (refusal !== undefined) {
            return { kind: "refused", reason: refusal, current };
        }
        return { kind: "done", value: this.put(swap.key, swap.value, swap.leaseId) };
    }

    /** Applies all changes of a transaction if all its conditions hold, otherwise none. */
    transact(transaction: StoreTransaction): StoreAnswer<number> {
        this.counters.writes++;
        const refusal = this.findTransactionRefusal(transaction);
        if (refusal !== undefined) {
            const standing = transaction.conditions
                .flatMap(({ key }) => this.entries.get(key)?.record ?? []);
            return { kind: "refused", reason: refusal, current: undefined, standing };
        }
        transaction.writes.forEach(({ key, value, leaseId }) => this.put(key, value, leaseId));
        transaction.removals.forEach(key => this.put(key, undefined, undefined));
        return { kind: "done", value: this.revision };
    }

    /** Grants a lease and returns its id. */
    grantLease(ttl: Millis): StoreAnswer<string> {
        this.counters.leases++;
        const leaseId = `lease-${++this.leaseCount}`;
        const expiresAt = this.clock.now() + ttl;
        this.leases.set(leaseId, { ttl, expiresAt, timer: this.scheduleExpiry(leaseId, ttl) });
        return { kind: "done", value: leaseId };
    }

    /** Restarts the time to live of a lease. */
    renewLease(leaseId: string): StoreAnswer<undefined> {
        this.counters.leases++;
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return { kind: "refused", reason: StoreRefusal.noLease, current: undefined };
        }
        lease.timer.cancel();
        lease.expiresAt = this.clock.now() + lease.ttl;
        lease.timer = this.scheduleExpiry(leaseId, lease.ttl);
        return { kind: "done", value: undefined };
    }

    /** Ends a lease and deletes its keys. */
    revokeLease(leaseId: string): StoreAnswer<undefined> {
        this.counters.leases++;
        this.endLease(leaseId);
        return { kind: "done", value: undefined };
    }

    /**
     * Waits for changes under a prefix.
     * @param prefix - Prefix of the keys to watch.
     * @param afterRevision - Only later changes are reported.
     * @param wait - Longest wait, after which an empty list is returned.
     */
    poll(prefix: string, afterRevision: number, wait: Millis): Promise<StoreAnswer<StoreChanges>> {
        this.counters.polls++;
        const answer = this.collectChanges(prefix, afterRevision);
        if (answer.kind !== "done" || answer.value.events.length > 0) {
            return Promise.resolve(answer);
        }
        return new Promise(resolve => {
            const waiting: WaitingPoll = { prefix, afterRevision, settle: resolve, timer: undefined };
            waiting.timer = this.clock.schedule(wait, () => this.settlePoll(waiting));
            this.waiting.add(waiting);
        });
    }

    /** Returns the number of calls handled so far. */
    getCounters(): Readonly<StoreCallCounters> {
        return { ...this.counters };
    }

    /** Returns the revision of the last change. */
    getRevision(): number {
        return this.revision;
    }

    /** Returns the changes that are still kept, oldest first. */
    listHistory(): readonly StoreEvent[] {
        return this.history;
    }

    /**
     * Drops all history, as the platform may at any time: polls from an earlier revision are refused as
     * `compacted`.
     */
    truncateHistory(): void {
        this.history.length = 0;
        this.compactedRevision = this.revision;
    }

    /** Writes a key without a condition, as a writer outside the system would. */
    putDirectly(key: string, value: string | undefined): number {
        return this.put(key, value, undefined);
    }

    private findRefusal(swap: StoreSwap, current: StoreRecord | undefined): StoreRefusal | undefined {
        if (swap.leaseId !== undefined && !this.leases.has(swap.leaseId)) {
            return StoreRefusal.noLease;
        }
        if ((current?.revision ?? 0) !== swap.expectedRevision) {
            return StoreRefusal.conflict;
        }
        if (swap.value !== undefined && Buffer.byteLength(swap.value) > this.valueLimit) {
            return StoreRefusal.tooLarge;
        }
        return undefined;
    }

    private findTransactionRefusal(transaction: StoreTransaction): StoreRefusal | undefined {
        const { conditions, writes } = transaction;
        if (writes.some(({ leaseId }) => leaseId !== undefined && !this.leases.has(leaseId))) {
            return StoreRefusal.noLease;
        }
        if (
            conditions.some(({ key, revision }) => (this.entries.get(key)?.record.revision ?? 0) !== revision)
        ) {
            return StoreRefusal.conflict;
        }
        if (writes.some(({ value }) => Buffer.byteLength(value) > this.valueLimit)) {
            return StoreRefusal.tooLarge;
        }
        return undefined;
    }

    private put(key: string, value: string | undefined, leaseId: string | undefined): number {
        const revision = ++this.revision;
        // The store keeps bytes: text that is not valid Unicode does not come back as it was written.
        const stored = value === undefined ? undefined : Buffer.from(value).toString();
        if (stored === undefined) {
            this.entries.delete(key);
        }
        else {
            this.entries.set(key, { record: { key, value: stored, revision }, leaseId });
        }
        this.history.push({ key, value: stored, revision });
        while (this.history.length > this.historyLimit) {
            this.compactedRevision = this.history.shift()?.revision ?? this.compactedRevision;
        }
        for (const waiting of [...this.waiting]) {
            if (key.startsWith(waiting.prefix)) {
                this.settlePoll(waiting);
            }
        }
        return revision;
    }

    private collectChanges(prefix: string, afterRevision: number): StoreAnswer<StoreChanges> {
        if (afterRevision < this.compactedRevision) {
            return { kind: "refused", reason: StoreRefusal.compacted, current: undefined };
        }
        const from = this.history.findLastIndex(event => event.revision <= afterRevision) + 1;
        const events = this.history.slice(from).filter(event => event.key.startsWith(prefix));
        return { kind: "done", value: { events, revision: this.revision } };
    }

    private settlePoll(waiting: WaitingPoll): void {
        if (this.waiting.delete(waiting)) {
            waiting.timer?.cancel();
            waiting.settle(this.collectChanges(waiting.prefix, waiting.afterRevision));
        }
    }

    private scheduleExpiry(leaseId: string, ttl: Millis): Timer {
        return this.clock.schedule(ttl, () => this.endLease(leaseId));
    }

    private endLease(leaseId: string): void {
        const lease = this.leases.get(leaseId);
        if (lease === undefined) {
            return;
        }
        lease.timer.cancel();
        this.leases.delete(leaseId);
        for (const [key, entry] of [...this.entries]) {
            if (entry.leaseId === leaseId) {
                this.put(key, undefined, undefined);
            }
        }
    }
}
