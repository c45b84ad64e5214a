/**
 * The durable log of one home slice: batches of entries in a ring of keys, each written by compare-and-swap
 * on the last known revision of its key, and snapshots that cover a record before it is overwritten.
 *
 * @remarks One batch is in flight at a time; entries that arrive meanwhile go into the next one (group
 * commit). The state is changed only by entries that the store holds.
 */
import type { Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";
import type { StoreRecord } from "../../ports/index.js";
import type { HomeEntry, HomeState } from "../state/index.js";
import { listSnapshotItems } from "../state/index.js";
import { makeSlotKey } from "./keys.js";
import type { OpenedSlice } from "./open-log.js";
import type { CommitPacer } from "./pacer.js";
import type { AppendResult } from "./pending-append.js";
import { PendingAppend } from "./pending-append.js";
import type { RecordWriter } from "./records.js";
import { decodeRecord, encodeRecord } from "./records.js";
import type { WriteScope } from "./settle-write.js";
import { settleWrite } from "./settle-write.js";

/** Maximum bytes of entries in a record: with escaping and envelope it stays below the store's 1 MB limit. */
export const MAX_RECORD_BYTES = 400_000;
/**
 * Queued appends beyond which {@link SliceLog.hasCapacity} is false, so that a store outage cannot exhaust
 * memory.
 */
export const MAX_QUEUED_APPENDS = 20_000;
/** Total bytes of queued appends beyond which {@link SliceLog.hasCapacity} is false. */
export const MAX_QUEUED_BYTES = 32_000_000;
/** Bytes of records not covered by a snapshot that start one, however few the records are. */
const SNAPSHOT_AFTER_BYTES = 2_000_000;
/**
 * Share of the ring that is filled before a snapshot begins; the rest holds the records written meanwhile.
 */
const SNAPSHOT_RING_SHARE = 0.5;
const STORE_RETRY_DELAY_MS: Millis = 500;

/** Receives the events of a log. */
export interface LogListener {
    /** Another owner has taken over the slice: nothing more can be written. */
    handleFenced(): void;
}

/** The log of a slice that this entry owns. */
export class SliceLog {
    readonly state: HomeState;
    private sequence: number;
    private readonly slots: number;
    private readonly slotRevisions: Map<string, number>;
    private readonly opened: OpenedSlice;
    private queue: PendingAppend[] = [];
    private queuedBytes = 0;
    private writing = false;
    private pendingSnapshot: Promise<void> | undefined;
    private uncoveredBytes: number;
    private sealed = false;
    private fenced = false;
    private unavailableUntil: Millis = -Infinity;
    private readonly logBase: Millis;
    private readonly openedAt: Millis;
    private records = 0;

    /**
     * @param scope - Store, clock and whether the slice is closed.
     * @param writer - The slice, and this owner with its epoch.
     * @param opened - The slice as recovered from the store.
     * @param pacer - Limits the write rate of all slices of this entry.
     */
    constructor(
        private readonly scope: WriteScope,
        private readonly writer: RecordWriter,
        opened: OpenedSlice,
        private readonly pacer: CommitPacer,
        private readonly listener: LogListener,
    ) {
        this.opened = opened;
        this.state = opened.state;
        this.sequence = opened.lastSequence;
        this.slots = opened.slots;
        this.slotRevisions = opened.slotRevisions;
        this.uncoveredBytes = opened.uncoveredBytes;
        this.logBase = opened.state.logTime;
        this.openedAt = scope.context.clock.now();
        this.startSnapshotIfDue();
    }

    /** Current log time; see {@link HomeState}. */
    getLogTime(): Millis {
        return this.logBase + this.scope.context.clock.now() - this.openedAt;
    }

    /** Whether the last write found the store unavailable within the last {@link STORE_RETRY_DELAY_MS}. */
    isStoreUnavailable(): boolean {
        return this.scope.context.clock.now() < this.unavailableUntil;
    }

    /** Whether the queue has capacity for entries that their sender can repeat later. */
    hasCapacity(): boolean {
        return this.queue.length < MAX_QUEUED_APPENDS && this.queuedBytes < MAX_QUEUED_BYTES;
    }

    /** Number of records written by this owner. */
    countRecords(): number {
        return this.records;
    }

    /**
     * Makes entries durable, all in one record.
     * @param entries - What to write.
     * @param timeoutMs - How long to try, in ms; undefined without limit. With a limit, the append is refused
     * at once if the store is known to be unavailable or the queue is full.
     */
    commit(entries: readonly HomeEntry[], timeoutMs?: Millis): Promise<AppendResult> {
        const append = new PendingAppend(entries, timeoutMs !== undefined);
        if (append.bytes > MAX_RECORD_BYTES) {
            return Promise.resolve({ kind: "notWritten", reason: "tooLarge" });
        }
        if (this.sealed || this.fenced || this.scope.isStopped()) {
            return Promise.resolve({ kind: "notWritten", reason: "closed" });
        }
        if (timeoutMs !== undefined && (this.isStoreUnavailable() || !this.hasCapacity())) {
            return Promise.resolve({ kind: "notWritten", reason: "unavailable" });
        }
        const queuedAt = this.scope.context.clock.now();
        this.queue.push(append);
        this.queuedBytes += append.bytes;
        if (timeoutMs !== undefined) {
            const timer = this.scope.context.clock.schedule(timeoutMs, () => this.expireAppend(append));
            append.subscribe(() => timer.cancel());
        }
        append.subscribe(() => {
            const { clock, metrics } = this.scope.context;
            metrics.time("home.commitTime", clock.now() - queuedAt);
        });
        void this.flushQueue();
        return append.result;
    }

    /** Writes what is queued; new appends are refused. */
    async drain(): Promise<void> {
        this.sealed = true;
        while ((this.queue.length > 0 || this.writing) && !this.fenced && !this.scope.isStopped()) {
            await sleep(this.scope.context.clock, DRAIN_POLL_MS);
        }
        this.rejectQueue();
    }

    /** Rejects what is queued, for a slice that is lost; new appends are refused. */
    close(): void {
        this.sealed = true;
        this.rejectQueue();
    }

    private expireAppend(append: PendingAppend): void {
        if (append.isWriting) {
            append.settleUncertain();
            return;
        }
        this.queue = this.queue.filter(other => other !== append);
        this.queuedBytes -= append.bytes;
        append.settle({ kind: "notWritten", reason: "unavailable" });
    }

    private async flushQueue(): Promise<void> {
        if (this.writing) {
            return;
        }
        this.writing = true;
        while (this.queue.length > 0 && !this.fenced && !this.scope.isStopped()) {
            await this.pacer.takeTurn();
            await this.waitForFreeSlot();
            const batch = this.takeBatch();
            if (batch.length > 0) {
                await this.writeBatch(batch);
            }
        }
        this.writing = false;
        if (this.fenced || this.scope.isStopped()) {
            this.rejectQueue();
        }
    }

    /** Truncates the log: waits until a snapshot covers the record that the next write overwrites. */
    private async waitForFreeSlot(): Promise<void> {
        while (
            this.sequence + 1 - this.slots > this.opened.snapshots.getCoveredSequence() && !this.fenced &&
            !this.scope.isStopped()
        ) {
            this.startSnapshotIfDue();
            await this.pendingSnapshot;
        }
    }

    private takeBatch(): PendingAppend[] {
        if (this.fenced || this.scope.isStopped()) {
            return [];
        }
        let bytes = 0;
        let count = 0;
        for (const append of this.queue) {
            if (bytes + append.bytes > MAX_RECORD_BYTES) {
                break;
            }
            bytes += append.bytes;
            count++;
        }
        const batch = this.queue.splice(0, count);
        this.queuedBytes -= bytes;
        for (const append of batch) {
            append.isWriting = true;
        }
        return batch;
    }

    private async writeBatch(batch: readonly PendingAppend[]): Promise<void> {
        const sequence = this.sequence + 1;
        const at = this.getLogTime();
        const entries = batch.flatMap(append => append.entries);
        const key = makeSlotKey(this.writer.slice, sequence, this.slots);
        const value = encodeRecord({ ...this.writer, kind: "log", sequence, at, entries });
        const expectedRevision = this.slotRevisions.get(key) ?? 0;
        const result = await settleWrite(this.scope, { key, value, expectedRevision });
        switch (result.kind) {
            case "done":
                this.sequence = sequence;
                this.records++;
                this.scope.context.metrics.count("home.records");
                this.scope.context.metrics.count("home.entries", entries.length);
                this.unavailableUntil = -Infinity;
                this.slotRevisions.set(key, result.revision);
                this.uncoveredBytes += Buffer.byteLength(value);
                this.commitBatch(batch, at);
                this.startSnapshotIfDue();
                break;
            case "unavailable":
                await this.returnBatch(batch);
                break;
            case "tooLarge":
                settleAll(batch, { kind: "notWritten", reason: "tooLarge" });
                break;
            case "lost":
                this.handleConflict(batch, sequence, result.mayHaveApplied, result.current);
                break;
            case "stopped":
                settleAll(batch, makeClosedResult(result.mayHaveApplied));
                break;
        }
    }

    private commitBatch(batch: readonly PendingAppend[], at: Millis): void {
        for (const append of batch) {
            for (const entry of append.entries) {
                this.state.apply(entry, at);
            }
            append.settle({ kind: "durable" });
        }
    }

    /**
     * Handles an unavailable store: appends with a deadline are refused at once, the others are queued again.
     */
    private async returnBatch(batch: readonly PendingAppend[]): Promise<void> {
        const withoutDeadline: PendingAppend[] = [];
        for (const append of batch) {
            append.isWriting = false;
            if (append.hasDeadline || this.sealed && this.scope.isStopped()) {
                append.settle({ kind: "notWritten", reason: "unavailable" });
            }
            else {
                withoutDeadline.push(append);
                this.queuedBytes += append.bytes;
            }
        }
        this.queue = [...withoutDeadline, ...this.queue];
        this.unavailableUntil = this.scope.context.clock.now() + STORE_RETRY_DELAY_MS;
        this.rejectDeadlineAppends();
        await sleep(this.scope.context.clock, STORE_RETRY_DELAY_MS);
    }

    private rejectDeadlineAppends(): void {
        const withDeadline = this.queue.filter(append => append.hasDeadline);
        this.queue = this.queue.filter(append => !append.hasDeadline);
        for (const append of withDeadline) {
            this.queuedBytes -= append.bytes;
            append.settle({ kind: "notWritten", reason: "unavailable" });
        }
    }

    /**
     * Handles a record of another owner in the place of the one written: this owner is fenced.
     *
     * @remarks Only a record with the same sequence proves that this owner's was never stored, since each
     * sequence is written once.
     */
    private handleConflict(
        batch: readonly PendingAppend[],
        sequence: number,
        mayHaveApplied: boolean,
        current: StoreRecord | undefined,
    ): void {
        const decoded = current === undefined ?
            undefined :
            decodeRecord(current.key, current.value, "log", this.writer.slice);
        const isProvenUnwritten = decoded?.kind === "done" && decoded.value.sequence === sequence;
        settleAll(batch, makeClosedResult(mayHaveApplied && !isProvenUnwritten));
        this.handleFenced();
    }

    private handleFenced(): void {
        if (!this.fenced) {
            this.fenced = true;
            this.rejectQueue();
            this.listener.handleFenced();
        }
    }

    private rejectQueue(): void {
        const queue = this.queue;
        this.queue = [];
        this.queuedBytes = 0;
        settleAll(queue, { kind: "notWritten", reason: "closed" });
    }

    private startSnapshotIfDue(): void {
        const uncovered = this.sequence - this.opened.snapshots.getCoveredSequence();
        const isDue = uncovered >= this.slots * SNAPSHOT_RING_SHARE ||
            this.uncoveredBytes >= SNAPSHOT_AFTER_BYTES;
        if (isDue && this.pendingSnapshot === undefined && !this.fenced) {
            this.pendingSnapshot = this.writeSnapshot().finally(() => {
                this.pendingSnapshot = undefined;
            });
        }
    }

    private async writeSnapshot(): Promise<void> {
        const covers = this.sequence;
        const items = listSnapshotItems(this.state);
        const bytes = this.uncoveredBytes;
        const result = await this.opened.snapshots.writeSnapshot({
            coveredSequence: covers,
            logTime: this.state.logTime,
            items,
        });
        if (result === "done") {
            this.scope.context.metrics.count("home.snapshots");
            this.uncoveredBytes -= bytes;
        }
        if (result === "fenced") {
            this.handleFenced();
        }
    }
}

const DRAIN_POLL_MS: Millis = 20;

function makeClosedResult(mayHaveApplied: boolean): AppendResult {
    return mayHaveApplied ?
        { kind: "uncertain", settled: Promise.resolve({ kind: "uncertain" }) } :
        { kind: "notWritten", reason: "closed" };
}

function settleAll(batch: readonly PendingAppend[], result: AppendResult): void {
    for (const append of batch) {
        append.settle(result);
    }
}
