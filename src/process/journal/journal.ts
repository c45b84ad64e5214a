/**
 * The leader's journal: batches of events, each one record of a ring in the store, and snapshots that cover what
 * the ring overwrites.
 *
 * @remarks One record is under way at a time; events that arrive meanwhile go into the next (group commit).
 * Effects of an event (answers to callers, orders to workers, acknowledgements of ends) wait for its record.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { JobEvent } from "../jobs/job-events.js";
import type { Log, Metrics } from "../telemetry.js";
import type { GuardedResult, GuardedStore } from "./guarded-store.js";
import { makeRecordKey, makeSnapshotKey, RING_SLOTS, SNAPSHOT_HEAD_KEY } from "./keys.js";
import type { LoadedJournal } from "./load-journal.js";
import { encodeJournalRecord, encodeSnapshotHead } from "./records.js";

/** What a journal is made from. */
export interface JournalOptions {
    readonly store: GuardedStore;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly epoch: number;
    readonly loaded: LoadedJournal;
    /** Encodes the state with all events appended so far. */
    readonly encodeState: () => string;
    /** Another node leads: nothing more will be committed. */
    readonly handleDeposed: () => void;
}

/** Time between the beginnings of two records: each is a priced call, and each step of a job waits for one. */
const RECORD_GAP_MS: Millis = 15;
/** Time for which events of one moment are gathered when the journal is idle. */
const GATHER_MS: Millis = 2;
/** Records after which a snapshot begins. */
const SNAPSHOT_EVERY = RING_SLOTS / 2;
/** Characters of one part of a snapshot: under the store's limit of a megabyte with room for wide characters. */
const SNAPSHOT_PART_LENGTH = 300_000;
/** Events of one record: at most about 300 KB, since a job's text is at most 4 KB. */
const MAX_EVENTS = 64;
/** After this long without an answer the store counts as away, and callers are told so at once. */
const STALL_MS: Millis = 1_000;

/** An appended event and what waits for it. */
interface Entry {
    readonly event: JobEvent;
    readonly waiters: (() => void)[];
}

/** The journal; see the module comment. */
export class Journal {
    private queue: Entry[] = [];
    /** Events of the record under way. */
    private inFlight: Entry[] = [];
    private writing = false;
    private timer: Timer | undefined;
    private lastBegun: Millis = -Infinity;
    private sequence: number;
    private readonly slotRevisions: Map<string, number>;
    private coveredSequence: number;
    private generation: number;
    private snapshotting = false;
    /** Rises when an appended event is withdrawn: a snapshot that holds it must not be used. */
    private withdrawals = 0;
    private closed = false;

    constructor(private readonly options: JournalOptions) {
        const { loaded } = options;
        this.sequence = loaded.sequence;
        this.slotRevisions = loaded.slotRevisions;
        this.coveredSequence = loaded.coveredSequence;
        this.generation = loaded.generation;
    }

    /**
     * Appends an event that is already applied to the state.
     * @param event - The event.
     * @param handleCommitted - Called once it is durable; never if it does not become so.
     */
    append(event: JobEvent, handleCommitted?: () => void): void {
        this.queue.push({ event, waiters: handleCommitted === undefined ? [] : [handleCommitted] });
        this.scheduleRecord();
    }

    /** Calls back once everything appended so far is durable; at once if it is. */
    runWhenCommitted(notify: () => void): void {
        const last = this.queue.at(-1) ?? this.inFlight.at(-1);
        if (last === undefined) {
            notify();
            return;
        }
        last.waiters.push(notify);
    }

    /** Tells whether the store has not answered for so long that new work is better refused. */
    isStalled(): boolean {
        return this.options.store.getStallMs() > STALL_MS;
    }

    /**
     * Withdraws acceptances that no try has sent yet.
     * @param handleWithdrawn - Called with each.
     */
    withdrawAcceptances(handleWithdrawn: (jobId: string) => void): void {
        const kept: Entry[] = [];
        for (const entry of this.queue) {
            if (entry.event.type !== "accepted") {
                kept.push(entry);
                continue;
            }
            this.withdrawals += 1;
            handleWithdrawn(entry.event.jobId);
            // The first waiter is the caller of the job itself; the others wait for everything before it.
            const earlier = kept.at(-1) ?? this.inFlight.at(-1);
            entry.waiters.slice(1).forEach(notify =>
                earlier === undefined ? notify() : earlier.waiters.push(notify)
            );
        }
        this.queue = kept;
    }

    /** Stops for good; what is not durable is given up. */
    close(): void {
        this.closed = true;
        this.timer?.cancel();
        this.options.store.close();
    }

    private scheduleRecord(): void {
        if (this.writing || this.timer !== undefined || this.queue.length === 0 || this.closed) {
            return;
        }
        const now = this.options.clock.now();
        const wait = Math.max(GATHER_MS, this.lastBegun + RECORD_GAP_MS - now);
        this.timer = this.options.clock.schedule(wait, () => {
            this.timer = undefined;
            void this.writeRecord();
        });
    }

    private async writeRecord(): Promise<void> {
        const entries = this.queue.splice(0, MAX_EVENTS);
        if (entries.length === 0) {
            return;
        }
        this.inFlight = entries;
        this.writing = true;
        this.lastBegun = this.options.clock.now();
        const sequence = this.sequence + 1;
        const key = makeRecordKey(sequence);
        const { epoch } = this.options;
        const value = encodeJournalRecord({ epoch, sequence, events: entries.map(entry => entry.event) });
        const condition = { key, revision: this.slotRevisions.get(key) ?? 0 };
        const result = await this.options.store.write([{ key, value }], [condition]);
        this.writing = false;
        if (this.closed || !this.handleResult(result)) {
            return;
        }
        if (result.kind === "done") {
            this.sequence = sequence;
            this.slotRevisions.set(key, result.revision);
            this.inFlight = [];
            this.finishEntries(entries);
        }
        this.startSnapshotIfDue();
        this.scheduleRecord();
    }

    /** Tells whether the journal may go on. */
    private handleResult(result: GuardedResult): boolean {
        if (result.kind === "deposed") {
            this.close();
            this.options.handleDeposed();
            return false;
        }
        return result.kind === "done";
    }

    private finishEntries(entries: readonly Entry[]): void {
        this.options.metrics.count("journal.events", entries.length);
        for (const entry of entries) {
            entry.waiters.forEach(notify => notify());
        }
    }

    private startSnapshotIfDue(): void {
        if (this.snapshotting || this.sequence - this.coveredSequence < SNAPSHOT_EVERY) {
            return;
        }
        this.snapshotting = true;
        const text = this.options.encodeState();
        const { withdrawals, sequence } = this;
        // The state is ahead of the store by what is queued; the snapshot counts once that is durable too. Events
        // that it holds and that also stand in later records have no effect when they are applied again.
        this.runWhenCommitted(() => void this.writeSnapshot(text, sequence, withdrawals));
    }

    /** Writes the parts, then the head that makes them count. */
    private async writeSnapshot(text: string, sequence: number, withdrawals: number): Promise<void> {
        const parts = splitText(text);
        const generation = this.generation + 1;
        for (const [part, value] of parts.entries()) {
            const result = await this.options.store.write(
                [{ key: makeSnapshotKey(generation, part), value }],
                [],
            );
            if (result.kind !== "done") {
                this.handleResult(result);
                return;
            }
        }
        if (withdrawals === this.withdrawals) {
            const head = encodeSnapshotHead({ generation, parts: parts.length, sequence });
            const result = await this.options.store.write([{ key: SNAPSHOT_HEAD_KEY, value: head }], []);
            if (!this.handleResult(result)) {
                return;
            }
            this.generation = generation;
            this.coveredSequence = sequence;
            this.options.log.info("snapshotWritten", {
                sequence,
                parts: parts.length,
                characters: text.length,
            });
        }
        this.snapshotting = false;
    }
}

function splitText(text: string): readonly string[] {
    const parts: string[] = [];
    for (let offset = 0; offset < text.length; offset += SNAPSHOT_PART_LENGTH) {
        parts.push(text.slice(offset, offset + SNAPSHOT_PART_LENGTH));
    }
    return parts;
}
