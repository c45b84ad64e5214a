/**
 * The durable log of one home slice: batches of entries in a ring of keys, each written by compare-and-swap on
 * the revision that the key is known to have, and snapshots that cover a record before it is overwritten.
 *
 * @remarks One batch is under way at a time; what arrives meanwhile goes into the next (group commit). The state
 * is changed only by entries that are in the store.
 */
import type { Millis } from "../../../common/clock.js";
import { sleep } from "../../../common/clock.js";
import type { StoreRecord } from "../../ports/index.js";
import type { HomeEntry, HomeState } from "../state/index.js";
import { listSnapshotItems } from "../state/index.js";
import { makeSlotKey } from "./keys.js";
import type { OpenedSlice } from "./open-log.js";
import type { CommitPacer } from "./pacer.js";
import type { RecordWriter } from "./records.js";
import { decodeRecord, encodeRecord } from "./records.js";
import type { WriteScope } from "./settle-write.js";
import { settleWrite } from "./settle-write.js";
import type { AppendResult } from "./ticket.js";
import { Ticket } from "./ticket.js";

/** Most bytes of entries in one record: with escaping and envelope it stays under the store's limit of 1 MB. */
export const MAX_RECORD_BYTES = 400_000;
/** Appends that may wait for a write; more are refused, so that a store outage cannot fill the memory. */
export const MAX_WAITING_APPENDS = 20_000;
/** Most bytes of all waiting appends. */
export const MAX_WAITING_BYTES = 32_000_000;
const UNCOVERED_BYTES = 2_000_000;
/** Part of the ring that is filled before a snapshot begins; the rest takes what is written meanwhile. */
const SNAPSHOT_SHARE = 0.5;
const PAUSE_WHEN_AWAY_MS: Millis = 500;

/** What a log tells its slice. */
export interface LogListener {
    /** Another owner has taken the slice: nothing more can be written. */
    handleFenced(): void;
}

/** The log of a slice that this entry owns. */
export class SliceLog {
    readonly state: HomeState;
    private sequence: number;
    private readonly slots: number;
    private readonly slotRevisions: Map<string, number>;
    private readonly opened: OpenedSlice;
    private queue: Ticket[] = [];
    private queuedBytes = 0;
    private writing = false;
    private snapshotting: Promise<void> | undefined;
    private uncoveredBytes: number;
    private sealed = false;
    private fenced = false;
    private awayUntil: Millis = -Infinity;
    private readonly logBase: Millis;
    private readonly openedAt: Millis;
    private records = 0;

    /**
     * @param scope - Store, clock and whether the slice is closed.
     * @param writer - The slice, and this owner with its epoch.
     * @param opened - The slice as it was read back.
     * @param pacer - Spreads the writes of this slice.
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

    /** Log time now; see {@link HomeState}. */
    getLogTime(): Millis {
        return this.logBase + this.scope.context.clock.now() - this.openedAt;
    }

    /** Whether the last write found the store away, a moment ago. */
    isAway(): boolean {
        return this.scope.context.clock.now() < this.awayUntil;
    }

    /** Whether there is room for entries that can be told again later. */
    hasRoom(): boolean {
        return this.queue.length < MAX_WAITING_APPENDS && this.queuedBytes < MAX_WAITING_BYTES;
    }

    /** Records written by this owner. */
    countRecords(): number {
        return this.records;
    }

    /**
     * Makes entries durable, all in one record.
     * @param entries - What to write.
     * @param patienceMs - How long to try; undefined for as long as it needs. With a limit, a store that is
     * known to be away is answered at once.
     */
    commit(entries: readonly HomeEntry[], patienceMs?: Millis): Promise<AppendResult> {
        const ticket = new Ticket(entries, patienceMs !== undefined);
        if (ticket.bytes > MAX_RECORD_BYTES) {
            return Promise.resolve({ kind: "notWritten", reason: "tooLarge" });
        }
        if (this.sealed || this.fenced || this.scope.isStopped()) {
            return Promise.resolve({ kind: "notWritten", reason: "closed" });
        }
        if (patienceMs !== undefined && (this.isAway() || !this.hasRoom())) {
            return Promise.resolve({ kind: "notWritten", reason: "unavailable" });
        }
        const begin = this.scope.context.clock.now();
        this.queue.push(ticket);
        this.queuedBytes += ticket.bytes;
        if (patienceMs !== undefined) {
            const timer = this.scope.context.clock.schedule(patienceMs, () => this.expireTicket(ticket));
            ticket.subscribe(() => timer.cancel());
        }
        ticket.subscribe(() => {
            const { clock, metrics } = this.scope.context;
            metrics.time("home.commitTime", clock.now() - begin);
        });
        void this.flushQueue();
        return ticket.result;
    }

    /** Writes what waits and takes nothing more. */
    async drain(): Promise<void> {
        this.sealed = true;
        while ((this.queue.length > 0 || this.writing) && !this.fenced && !this.scope.isStopped()) {
            await sleep(this.scope.context.clock, DRAIN_POLL_MS);
        }
        this.rejectQueue();
    }

    /** Gives up what waits; for a slice that is lost. */
    close(): void {
        this.sealed = true;
        this.rejectQueue();
    }

    private expireTicket(ticket: Ticket): void {
        if (ticket.isWriting) {
            ticket.settleUncertain();
            return;
        }
        this.queue = this.queue.filter(other => other !== ticket);
        this.queuedBytes -= ticket.bytes;
        ticket.settle({ kind: "notWritten", reason: "unavailable" });
    }

    private async flushQueue(): Promise<void> {
        if (this.writing) {
            return;
        }
        this.writing = true;
        while (this.queue.length > 0 && !this.fenced && !this.scope.isStopped()) {
            await this.pacer.takeTurn();
            await this.waitForRing();
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

    /** Truncation: the record that is overwritten next must be covered by a snapshot. */
    private async waitForRing(): Promise<void> {
        while (
            this.sequence + 1 - this.slots > this.opened.snapshots.getCovers() && !this.fenced &&
            !this.scope.isStopped()
        ) {
            this.startSnapshotIfDue();
            await this.snapshotting;
        }
    }

    private takeBatch(): Ticket[] {
        if (this.fenced || this.scope.isStopped()) {
            return [];
        }
        let bytes = 0;
        let count = 0;
        for (const ticket of this.queue) {
            if (bytes + ticket.bytes > MAX_RECORD_BYTES) {
                break;
            }
            bytes += ticket.bytes;
            count++;
        }
        const batch = this.queue.splice(0, count);
        this.queuedBytes -= bytes;
        for (const ticket of batch) {
            ticket.isWriting = true;
        }
        return batch;
    }

    private async writeBatch(batch: readonly Ticket[]): Promise<void> {
        const sequence = this.sequence + 1;
        const at = this.getLogTime();
        const entries = batch.flatMap(ticket => ticket.entries);
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
                this.awayUntil = -Infinity;
                this.slotRevisions.set(key, result.revision);
                this.uncoveredBytes += value.length;
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
                this.handleLoss(batch, sequence, result.mayHaveStood, result.current);
                break;
            case "stopped":
                settleAll(batch, makeLossResult(result.mayHaveStood));
                break;
        }
    }

    private commitBatch(batch: readonly Ticket[], at: Millis): void {
        for (const ticket of batch) {
            for (const entry of ticket.entries) {
                this.state.apply(entry, at);
            }
            ticket.settle({ kind: "durable" });
        }
    }

    /** The store is away: whoever has a deadline is told at once, the rest waits for it. */
    private async returnBatch(batch: readonly Ticket[]): Promise<void> {
        const patient: Ticket[] = [];
        for (const ticket of batch) {
            ticket.isWriting = false;
            if (ticket.isHasty || this.sealed && this.scope.isStopped()) {
                ticket.settle({ kind: "notWritten", reason: "unavailable" });
            }
            else {
                patient.push(ticket);
                this.queuedBytes += ticket.bytes;
            }
        }
        this.queue = [...patient, ...this.queue];
        this.awayUntil = this.scope.context.clock.now() + PAUSE_WHEN_AWAY_MS;
        this.rejectHasty();
        await sleep(this.scope.context.clock, PAUSE_WHEN_AWAY_MS);
    }

    private rejectHasty(): void {
        const hasty = this.queue.filter(ticket => ticket.isHasty);
        this.queue = this.queue.filter(ticket => !ticket.isHasty);
        for (const ticket of hasty) {
            this.queuedBytes -= ticket.bytes;
            ticket.settle({ kind: "notWritten", reason: "unavailable" });
        }
    }

    /**
     * Another owner's record stands where ours should: this owner is fenced.
     *
     * @remarks Only a record with the same sequence proves that ours never stood: each sequence is written once.
     */
    private handleLoss(
        batch: readonly Ticket[],
        sequence: number,
        mayHaveStood: boolean,
        current: StoreRecord | undefined,
    ): void {
        const decoded = current === undefined ?
            undefined :
            decodeRecord(current.key, current.value, "log", this.writer.slice);
        const isProved = decoded?.kind === "done" && decoded.value.sequence === sequence;
        settleAll(batch, makeLossResult(mayHaveStood && !isProved));
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
        const uncovered = this.sequence - this.opened.snapshots.getCovers();
        const isDue = uncovered >= this.slots * SNAPSHOT_SHARE || this.uncoveredBytes >= UNCOVERED_BYTES;
        if (isDue && this.snapshotting === undefined && !this.fenced) {
            this.snapshotting = this.writeSnapshot().finally(() => {
                this.snapshotting = undefined;
            });
        }
    }

    private async writeSnapshot(): Promise<void> {
        const covers = this.sequence;
        const items = listSnapshotItems(this.state);
        const bytes = this.uncoveredBytes;
        const result = await this.opened.snapshots.writeSnapshot({ covers, at: this.state.logTime, items });
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

function makeLossResult(mayHaveStood: boolean): AppendResult {
    return mayHaveStood ?
        { kind: "uncertain", settled: Promise.resolve({ kind: "uncertain" }) } :
        { kind: "notWritten", reason: "closed" };
}

function settleAll(batch: readonly Ticket[], result: AppendResult): void {
    for (const ticket of batch) {
        ticket.settle(result);
    }
}
