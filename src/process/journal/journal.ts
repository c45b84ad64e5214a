/**
 * The leader's journal: records of batched events in a ring buffer in the store, and snapshots that cover
 * what the ring overwrites.
 *
 * @remarks Concurrent events share a record (group commit), and several records may be in flight, so that a
 * slow store delays each event by a single answer. The effects of an event (answers to callers, orders to
 * workers, acknowledgements of ends) wait for its record and all earlier ones, because records after a gap
 * are not read back.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { JobEvent } from "../jobs/job-events.js";
import type { Log, Metrics } from "../telemetry.js";
import type { GuardedResult, GuardedStore } from "./guarded-store.js";
import { addWaiter, buildEntry, isAwaited } from "./journal-entry.js";
import type { Entry } from "./journal-entry.js";
import { makeRecordKey, RING_SLOTS } from "./keys.js";
import type { LoadedJournal } from "./load-journal.js";
import { encodeJobEvent, joinJournalRecord } from "./records.js";
import { SnapshotWriter } from "./snapshot-writer.js";
import type { SnapshotResult } from "./snapshot-writer.js";

/** Options of {@link Journal}. */
export interface JournalOptions {
    readonly store: GuardedStore;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly epoch: number;
    readonly loaded: LoadedJournal;
    /** Encodes the state with all events appended so far. */
    readonly encodeState: () => string;
    /** Returns what is added to the minimum interval between records; nothing is added by default. */
    readonly computeExtraInterval?: () => Millis;
    /** Called when another node leads: nothing more will be committed. */
    readonly handleDeposed: () => void;
}

/** Minimum interval between records: each is a billed call, but each step of a job waits for one. */
const MIN_RECORD_INTERVAL_MS: Millis = 25;
/** Time for which an idle journal collects concurrent events into one record. */
const BATCH_DELAY_MS: Millis = 2;
/** Number of records after which a snapshot begins at the latest. */
const SNAPSHOT_INTERVAL_RECORDS = RING_SLOTS / 2;
/**
 * A snapshot begins once the records since the last one are this many times as long as it, and have at least
 * the minimum length. This bounds what a new leader has to read by the size of the state, not by its age.
 */
const RECORDS_TO_SNAPSHOT_RATIO = 2;
const MIN_RECORDS_BYTES = 131_072;
/** Maximum number of events in one record. */
const MAX_RECORD_EVENTS = 256;
/**
 * Maximum size of a record of several events, unless the store's limit is lower: it can be sent over a narrow
 * link within the timeout of an attempt.
 */
export const MAX_RECORD_BYTES = 262_144;
/** Bytes of a record besides its events. */
const RECORD_OVERHEAD_BYTES = 100;
/** Bytes between two events of a record. */
const SEPARATOR_BYTES = 1;
/**
 * Maximum number of records in flight, so that a store in a slow period still accepts a record every
 * `MIN_RECORD_INTERVAL_MS`. With one at a time, an acceptance, an assignment and an end would wait for each
 * other for longer than the slack of a short job.
 */
const MAX_IN_FLIGHT = 16;
/**
 * Time after which a pending write counts as stalled, so that callers are refused at once. Longer than an
 * answer takes in slow periods of the store, including a repeated attempt.
 */
const STALL_MS: Millis = 800;

/** A record that was sent to the store. */
interface SentRecord {
    readonly sequence: number;
    entries: readonly Entry[];
    isDurable: boolean;
    /** Number of attempts in flight or with an unknown result. While it is 0, the record is not stored. */
    openAttempts: number;
}

/** Appends events to the journal and writes snapshots of the state. */
export class Journal {
    private queue: Entry[] = [];
    /** Records in flight, and durable ones after a record that is not yet durable, in order of sequence. */
    private inFlight: SentRecord[] = [];
    /** Sequence number of the last record that was sent. */
    private sentSequence: number;
    private timer: Timer | undefined;
    private lastStartedAt: Millis = -Infinity;
    /** Sequence number of the last record up to which all records are durable. */
    private sequence: number;
    private readonly snapshots: SnapshotWriter;
    /** Sequence number of the last record that the newest snapshot covers. */
    private coveredSequence: number;
    /** Size of the newest snapshot, and of the durable records that it does not cover. */
    private snapshotBytes: number;
    private recordsBytes: number;
    private isSnapshotting = false;
    /** Increases when an appended event is withdrawn: a snapshot that contains it must not be written. */
    private withdrawals = 0;
    private closed = false;

    constructor(private readonly options: JournalOptions) {
        const { loaded } = options;
        this.sequence = loaded.sequence;
        this.sentSequence = loaded.sequence;
        this.snapshotBytes = loaded.snapshotBytes;
        this.recordsBytes = loaded.recordsBytes;
        this.coveredSequence = loaded.coveredSequence;
        this.snapshots = new SnapshotWriter({
            store: options.store,
            epoch: options.epoch,
            headRevision: loaded.headRevision,
            generation: loaded.generation,
        });
        // Earlier leaders may have left the ring full, so that no record can be written before a snapshot.
        this.startSnapshotIfDue();
    }

    /**
     * Appends an event that is already applied to the state.
     * @param handleCommitted - Called once the event is durable; never if it does not become durable.
     */
    append(event: JobEvent, handleCommitted?: () => void): void {
        this.queue.push(buildEntry(event, false, handleCommitted));
        this.scheduleRecord();
    }

    /**
     * Appends an event that is already applied to the state and that no effect depends on. It costs no write of
     * its own: the next record contains it. It must be idempotent, as a snapshot may contain it before a record.
     */
    appendDeferred(event: JobEvent): void {
        this.queue.push(buildEntry(event, true));
    }

    /**
     * Calls back once all events appended so far, but for deferred ones, are durable or withdrawn; at once if
     * none is pending.
     */
    runWhenCommitted(notify: () => void): void {
        addWaiter(this.queue.findLast(isAwaited) ?? this.getLastInFlight(), notify);
    }

    /** Calls back once all events appended so far are durable or withdrawn. Writes the deferred ones. */
    runWhenAllCommitted(notify: () => void): void {
        addWaiter(this.queue.at(-1) ?? this.getLastInFlight(), notify);
        this.scheduleRecord();
    }

    /** Returns whether the store accepts a record of an event alone. */
    canStore(event: JobEvent): boolean {
        const bytes = RECORD_OVERHEAD_BYTES + Buffer.byteLength(encodeJobEvent(event));
        return bytes <= this.options.store.maxValueBytes;
    }

    /** Returns whether the store has not answered for so long that new work should be refused. */
    isStalled(): boolean {
        return this.options.store.getStallMs() > STALL_MS;
    }

    /**
     * Withdraws all acceptances that are certainly not in the store.
     * @param handleWithdrawn - Called with the job of each.
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
            if (!record.isDurable && record.openAttempts === 0) {
                record.entries = withdraw(record.entries);
            }
            previous = record.entries.at(-1) ?? previous;
        }
        this.queue = withdraw(this.queue);
        this.startSnapshotIfDue();
    }

    /** Stops permanently, and abandons events that are not yet durable. */
    close(): void {
        this.closed = true;
        this.timer?.cancel();
        this.options.store.close();
    }

    private scheduleRecord(): void {
        const isBusy = this.timer !== undefined || this.inFlight.length >= MAX_IN_FLIGHT;
        if (isBusy || this.isRingFull() || !this.queue.some(isAwaited) || this.closed) {
            return;
        }
        const now = this.options.clock.now();
        const wait = Math.max(BATCH_DELAY_MS, this.lastStartedAt + this.computeRecordInterval() - now);
        this.timer = this.options.clock.schedule(wait, () => {
            this.timer = undefined;
            void this.writeRecord();
        });
    }

    private computeRecordInterval(): Millis {
        return MIN_RECORD_INTERVAL_MS + (this.options.computeExtraInterval?.() ?? 0);
    }

    private async writeRecord(): Promise<void> {
        const entries = this.takeEntries();
        if (entries.length === 0) {
            return;
        }
        this.lastStartedAt = this.options.clock.now();
        this.sentSequence += 1;
        const record: SentRecord = {
            sequence: this.sentSequence,
            entries,
            isDurable: false,
            openAttempts: 0,
        };
        this.inFlight.push(record);
        this.scheduleRecord();
        const { epoch } = this.options;
        const key = makeRecordKey(record.sequence);
        let bytes = 0;
        const result = await this.options.store.write({
            buildWrite: () => {
                const events = record.entries.map(entry => entry.text);
                const value = joinJournalRecord(epoch, record.sequence, events);
                bytes = Buffer.byteLength(value);
                return { key, value };
            },
            buildConditions: () => [this.snapshots.buildHeadCondition()],
            mayBeOutdated: true,
            observeAttempt: phase => record.openAttempts += phase === "sent" ? 1 : -1,
        });
        if (this.closed || !this.handleResult(result)) {
            return;
        }
        if (result.kind === "done") {
            this.recordsBytes += bytes;
            record.isDurable = true;
            this.releaseDurable();
        }
        this.startSnapshotIfDue();
        this.scheduleRecord();
    }

    /** Removes the events of the next record from the queue; at least one, if there is any. */
    private takeEntries(): Entry[] {
        const maxBytes = Math.min(MAX_RECORD_BYTES, this.options.store.maxValueBytes);
        let bytes = RECORD_OVERHEAD_BYTES;
        let count = 0;
        for (const entry of this.queue) {
            bytes += entry.bytes + SEPARATOR_BYTES;
            if (count === MAX_RECORD_EVENTS || count > 0 && bytes > maxBytes) {
                break;
            }
            count += 1;
            if (entry.endsRecord) {
                break;
            }
        }
        return this.queue.splice(0, count);
    }

    /**
     * Returns whether the next record would overwrite one that no snapshot covers.
     *
     * @remarks If snapshots fail for seconds while records are written, the ring wraps around. The next
     * leader would then find neither the overwritten events nor a snapshot that contains them.
     */
    private isRingFull(): boolean {
        return this.sentSequence - this.coveredSequence >= RING_SLOTS;
    }

    /** Performs the effects of durable records, in order, up to the first record that is not durable. */
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

    /** Handles the result of a write; returns whether the journal may continue. */
    private handleResult(result: GuardedResult | SnapshotResult): boolean {
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
     * Begins a snapshot of the current state if enough records have been written since the last one.
     *
     * @remarks If a snapshot contained events beyond the records that it covers, the next leader would apply
     * them twice. The record of the last event in the state, deferred ones aside, therefore ends with that
     * event, and is the last one covered.
     */
    private startSnapshotIfDue(): void {
        if (this.isSnapshotting || !this.isSnapshotDue()) {
            return;
        }
        this.isSnapshotting = true;
        const text = this.options.encodeState();
        const { withdrawals } = this;
        const last = this.queue.findLast(isAwaited);
        if (last !== undefined) {
            last.endsRecord = true;
        }
        this.runWhenCommitted(() => {
            // All events in the snapshot are durable now, so a later withdrawal cannot concern it and must
            // not discard it: if the ring is full by then, the next snapshot would wait for events that
            // cannot be written.
            if (withdrawals === this.withdrawals) {
                void this.writeSnapshot(text, this.sequence);
                return;
            }
            // The text contains an acceptance that was withdrawn. Another snapshot begins at the end of the
            // next record, or once the current withdrawals are complete.
            this.isSnapshotting = false;
        });
    }

    private isSnapshotDue(): boolean {
        const maxBytes = Math.max(MIN_RECORDS_BYTES, this.snapshotBytes * RECORDS_TO_SNAPSHOT_RATIO);
        return this.sequence - this.coveredSequence >= SNAPSHOT_INTERVAL_RECORDS ||
            this.recordsBytes > maxBytes;
    }

    private async writeSnapshot(text: string, sequence: number): Promise<void> {
        const coveredBytes = this.recordsBytes;
        const result = await this.snapshots.write(text, sequence);
        if (!this.handleResult(result) || result.kind !== "done") {
            return;
        }
        const { parts, bytes } = result;
        this.coveredSequence = sequence;
        this.snapshotBytes = bytes;
        this.recordsBytes -= coveredBytes;
        this.options.log.info("snapshotWritten", { sequence, parts, bytes });
        this.isSnapshotting = false;
        this.startSnapshotIfDue();
        this.scheduleRecord();
    }
}
