/** Encodes and decodes the records of the journal. */
import type { JobEvent } from "../jobs/job-events.js";

/** One batch of events, committed together. */
export interface JournalRecord {
    readonly epoch: number;
    /** Increases by one with each record, across leaders. */
    readonly sequence: number;
    readonly events: readonly JobEvent[];
}

/** Refers to the newest complete snapshot. */
export interface SnapshotHead {
    readonly generation: number;
    readonly parts: number;
    /** Sequence number of the last record that the snapshot covers. */
    readonly sequence: number;
    /** Epoch of the leader that wrote the snapshot. Absent from heads of earlier versions. */
    readonly epoch?: number;
}

/** Encodes one event, as records contain it. */
export function encodeJobEvent(event: JobEvent): string {
    return JSON.stringify(event);
}

/**
 * Joins events to a record.
 * @param events - Results of {@link encodeJobEvent}.
 */
export function joinJournalRecord(epoch: number, sequence: number, events: readonly string[]): string {
    return `{"epoch":${epoch},"sequence":${sequence},"events":[${events.join(",")}]}`;
}

export function encodeJournalRecord({ epoch, sequence, events }: JournalRecord): string {
    return joinJournalRecord(epoch, sequence, events.map(encodeJobEvent));
}

/**
 * Decodes a record. The text is not validated, since only a leader writes it, through {@link GuardedStore}.
 */
export function decodeJournalRecord(text: string): JournalRecord {
    return JSON.parse(text) as JournalRecord;
}

export function encodeSnapshotHead(head: SnapshotHead): string {
    return JSON.stringify(head);
}

export function decodeSnapshotHead(text: string): SnapshotHead {
    return JSON.parse(text) as SnapshotHead;
}
