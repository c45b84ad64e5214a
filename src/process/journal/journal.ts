/**
 * The leader's journal: batches of events, each one record of a ring in the store, and snapshots that cover what
 * the ring overwrites.
 *
 * @remarks Events of one moment share a record (group commit), and several records may be under way at once, so that
 * a slow store delays each event by one answer and not by the answers before it. Effects of an event (answers to
 * callers, orders to workers, acknowledgements of ends) wait for its record and all before it: a record after a gap is
 * not read back.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { JobEvent } from "../jobs/job-events.js";
import type { StoreCondition } from "../ports/index.js";
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
    /** Returns what is added to the time between two records; nothing where left out. */
    readonly computeExtraGap?: () => Millis;
    /** Another node leads: nothing more will be committed. */
    readonly handleDeposed: () => void;
}

/** Time between the beginnings of two records: each is a priced call, and each step of a job waits for one. */
const RECORD_GAP_MS: Millis = 25;
/** Time for which events of one moment are gathered when the journal is idle. */
const GATHER_MS: Millis = 2;
/** Records after which a snapshot begins at the latest. */
const SNAPSHOT_EVERY = RING_SLOTS / 2;
/**
 * A snapshot begins once the records since the last one are this many times as long as it, and at least the least length: what a
 * new leader has to read is bounded by the state then, not by the length of the day.
 */
const RECORDS_TO_SNAPSHOT = 2;
const LEAST_RECORDS_LENGTH = 131_072;
/**
 * Characters of one part of a snapshot: the narrowest links carry it, with its repeated tries, beside records and reports
 * within the time of a try.
 */
const SNAPSHOT_PART_LENGTH = 60_000;
/** Events of one record. */
const MAX_EVENTS = 256;
/**
 * Records under way at once, so that a store in a slow spell still takes a record every `RECORD_GAP_MS`; with one at a time
 * an acceptance, an assignment and an end would wait for each other longer than a short job's slack.
 */
const MAX_IN_FLIGHT = 16;
/**
 * After this long without an answer the store counts as away, and callers are told so at once: longer than an answer takes in
 * its slow spells, and a repeated try with it.
 */
const STALL_MS: Millis = 800;

/** An appended event and what waits for it. */
interface Entry {
    readonly event: JobEvent;
    /** Told once the event is durable, and never if it is withdrawn. */
    readonly handleCommitted: (() => void) | undefined;
    /** Told once everything up to the event is durable or withdrawn. */
    readonly waiters: (() => void)[];
    /** Whether the next event goes into another record: a snapshot holds the state up to here. */
    endsRecord: boolean;
}

/** A record that was sent. */
interface SentRecord {
    readonly sequence: number;
    entries: readonly Entry[];
    isDurable: boolean;
    /** Tries whose end is not known, the one under way included: while there are none, nothing of it can stand. */
    openTries: number;
}

/** The journal; see the module comment. */
export class Journal {
    private queue: Entry[] = [];
    /** Records under way, or durable while one before them is not, by sequence. */
    private inFlight: SentRecord[] = [];
    /** Last record that was sent. */
    private sentSequence: number;
    private timer: Timer | undefined;
    private lastBegun: Millis = -Infinity;
    private sequence: number;
    /** Revision of the head of the snapshots. */
    private headRevision: number;
    private coveredSequence: number;
    /** Characters of the newest snapshot, and of the records that are durable and not in it. */
    private snapshotLength: number;
    private recordsLength: number;
    private generation: number;
    private snapshotting = false;
    /** Rises when an appended event is withdrawn: a snapshot that holds it must not be used. */
    private withdrawals = 0;
    private closed = false;

    constructor(private readonly options: JournalOptions) {
        const { loaded } = options;
        this.sequence = loaded.sequence;
        this.sentSequence = loaded.sequence;
        this.headRevision = loaded.headRevision;
        this.snapshotLength = loaded.snapshotLength;
        this.recordsLength = loaded.recordsLength;
        this.coveredSequence = loaded.coveredSequence;
        this.generation = loaded.generation;
        // Leaders that were lost one after the other may have left the ring full: no record can be written before a snapshot.
        this.startSnapshotIfDue();
    }

    /**
     * Appends an event that is already applied to the state.
     * @param event - The event.
     * @param handleCommitted - Called once it is durable; never if it does not become so.
     */
    append(event: JobEvent, handleCommitted?: () => void): void {
        this.queue.push({ event, handleCommitted, waiters: [], endsRecord: false });
        this.scheduleRecord();
    }

    /** Calls back once everything appended so far is durable; at once if it is. */
    runWhenCommitted(notify: () => void): void {
        const last = this.queue.at(-1) ?? this.getLastInFlight();
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
     * Withdraws acceptances that surely do not stand in the store.
     * @param handleWithdrawn - Called with each.
     */
    withdrawAcceptances(handleWithdrawn: (jobId: string) => void): void {
        let previous: Entry | undefined;
        const withdraw = (entries: readonly Entry[]): Entry[] => {
            const kept: Entry[] = [];
            for (const entry of entries) {
                if (entry.event.type !== "accepted") {
                    kept.push(entry);
                    previous = entry;
                    continue;
                }
                this.withdrawals += 1;
                handleWithdrawn(entry.event.jobId);
                entry.waiters.forEach(notify =>
                    previous === undefined ? notify() : previous.waiters.push(notify)
                );
            }
            return kept;
        };
        for (const record of this.inFlight) {
            if (!record.isDurable && record.openTries === 0) {
                record.entries = withdraw(record.entries);
            }
            previous = record.entries.at(-1) ?? previous;
        }
        this.queue = withdraw(this.queue);
        this.startSnapshotIfDue();
    }

    /** Stops for good; what is not durable is given up. */
    close(): void {
        this.closed = true;
        this.timer?.cancel();
        this.options.store.close();
    }

    private scheduleRecord(): void {
        const isBusy = this.timer !== undefined || this.inFlight.length >= MAX_IN_FLIGHT;
        if (isBusy || this.isRingFull() || this.queue.length === 0 || this.closed) {
            return;
        }
        const now = this.options.clock.now();
        const wait = Math.max(GATHER_MS, this.lastBegun + this.computeGap() - now);
        this.timer = this.options.clock.schedule(wait, () => {
            this.timer = undefined;
            void this.writeRecord();
        });
    }

    private computeGap(): Millis {
        return RECORD_GAP_MS + (this.options.computeExtraGap?.() ?? 0);
    }

    private async writeRecord(): Promise<void> {
        const entries = this.takeEntries();
        if (entries.length === 0) {
            return;
        }
        this.lastBegun = this.options.clock.now();
        this.sentSequence += 1;
        const record: SentRecord = { sequence: this.sentSequence, entries, isDurable: false, openTries: 0 };
        this.inFlight.push(record);
        this.scheduleRecord();
        const { epoch } = this.options;
        const key = makeRecordKey(record.sequence);
        let length = 0;
        const result = await this.options.store.write({
            buildWrite: () => {
                const events = record.entries.map(entry => entry.event);
                const value = encodeJournalRecord({ epoch, sequence: record.sequence, events });
                ({ length } = value);
                return { key, value };
            },
            buildConditions: () => [this.buildHeadCondition()],
            mayBeOutdated: true,
            observeTry: phase => record.openTries += phase === "sent" ? 1 : -1,
        });
        if (this.closed || !this.handleResult(result)) {
            return;
        }
        if (result.kind === "done") {
            this.recordsLength += length;
            record.isDurable = true;
            this.releaseDurable();
        }
        this.startSnapshotIfDue();
        this.scheduleRecord();
    }

    /** Takes the events of the next record. */
    private takeEntries(): Entry[] {
        const last = this.queue.findIndex(entry => entry.endsRecord);
        return this.queue.splice(0, last === -1 ? MAX_EVENTS : Math.min(last + 1, MAX_EVENTS));
    }

    /**
     * Tells whether the next record would overwrite one that no snapshot covers.
     *
     * @remarks Failure guarded against: snapshots fail for seconds while records are written, the ring comes round, and
     * the next leader finds neither the overwritten events nor a snapshot that holds them.
     */
    private isRingFull(): boolean {
        return this.sentSequence - this.coveredSequence >= RING_SLOTS;
    }

    /**
     * Builds the condition of every write to a slot or a part of a snapshot.
     *
     * @remarks Failure guarded against: a try that is carried out late replaces what was written to its key since. A slot
     * is used again only once a later snapshot covers it, and a part only once a later head is written; both change the
     * revision that the late try names.
     */
    private buildHeadCondition(): StoreCondition {
        return { key: SNAPSHOT_HEAD_KEY, revision: this.headRevision };
    }

    /** Lets the effects of durable records out, in order, up to the first that is not durable. */
    private releaseDurable(): void {
        for (let record = this.inFlight[0]; record?.isDurable === true; record = this.inFlight[0]) {
            this.inFlight.shift();
            this.sequence = record.sequence;
            this.finishEntries(record.entries);
        }
    }

    private getLastInFlight(): Entry | undefined {
        return this.inFlight.findLast(record => record.entries.length > 0)?.entries.at(-1);
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
            entry.handleCommitted?.();
            entry.waiters.forEach(notify => notify());
        }
    }

    /**
     * Begins a snapshot of the state as it is now, once enough records have been written since the last one.
     *
     * @remarks Failure guarded against: a snapshot holds events beyond the records that it covers, and the next leader
     * applies them again. So the events that the state holds fill records of their own, the last of which it covers.
     */
    private startSnapshotIfDue(): void {
        if (this.snapshotting || !this.isSnapshotDue()) {
            return;
        }
        this.snapshotting = true;
        const text = this.options.encodeState();
        const { withdrawals } = this;
        const last = this.queue.at(-1);
        if (last !== undefined) {
            last.endsRecord = true;
        }
        this.runWhenCommitted(() => {
            // What it holds is durable now, so a later withdrawal is of none of it and must not spoil it: with the ring
            // full by then, the next one would wait for events that no record can take.
            if (withdrawals === this.withdrawals) {
                void this.writeSnapshot(text, this.sequence);
                return;
            }
            // The text holds an acceptance that was withdrawn. Another snapshot begins with the end of the next record, or once
            // all withdrawals of this moment are through.
            this.snapshotting = false;
        });
    }

    private isSnapshotDue(): boolean {
        const longest = Math.max(LEAST_RECORDS_LENGTH, this.snapshotLength * RECORDS_TO_SNAPSHOT);
        return this.sequence - this.coveredSequence >= SNAPSHOT_EVERY || this.recordsLength > longest;
    }

    /** Writes the parts, then the head that makes them count. */
    private async writeSnapshot(text: string, sequence: number): Promise<void> {
        const coveredLength = this.recordsLength;
        const parts = splitText(text);
        const generation = this.generation + 1;
        for (const [part, value] of parts.entries()) {
            if (!await this.writePart(makeSnapshotKey(generation, part), value)) {
                return;
            }
        }
        const { epoch } = this.options;
        const head = encodeSnapshotHead({ generation, parts: parts.length, sequence, epoch });
        if (!await this.writeHead(head)) {
            return;
        }
        this.generation = generation;
        this.coveredSequence = sequence;
        this.snapshotLength = text.length;
        this.recordsLength -= coveredLength;
        const characters = text.length;
        this.options.log.info("snapshotWritten", { sequence, parts: parts.length, characters });
        this.snapshotting = false;
        this.startSnapshotIfDue();
        this.scheduleRecord();
    }

    /** Writes a part of a snapshot; tells whether the journal may go on. */
    private async writePart(key: string, value: string): Promise<boolean> {
        const result = await this.options.store.write({
            buildWrite: () => ({ key, value }),
            buildConditions: () => [this.buildHeadCondition()],
            isBackground: true,
        });
        return this.handleResult(result);
    }

    /** Writes the head; tells whether the journal may go on. */
    private async writeHead(value: string): Promise<boolean> {
        const result = await this.options.store.write({
            buildWrite: () => ({ key: SNAPSHOT_HEAD_KEY, value }),
            buildConditions: () => [this.buildHeadCondition()],
            isBackground: true,
        });
        if (result.kind === "done") {
            this.headRevision = result.revision;
        }
        return this.handleResult(result);
    }
}

function splitText(text: string): readonly string[] {
    const parts: string[] = [];
    for (let offset = 0; offset < text.length; offset += SNAPSHOT_PART_LENGTH) {
        parts.push(text.slice(offset, offset + SNAPSHOT_PART_LENGTH));
    }
    return parts;
}
