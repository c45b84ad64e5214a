/** Records of the journal as text. */
import type { JobEvent } from "../jobs/job-events.js";

/** One committed batch. */
export interface JournalRecord {
    readonly epoch: number;
    /** Rises by one with each record, over all leaders. */
    readonly sequence: number;
    readonly events: readonly JobEvent[];
}

/** Names the newest whole snapshot. */
export interface SnapshotHead {
    readonly generation: number;
    readonly parts: number;
    /** Last record that it covers. */
    readonly sequence: number;
    /** Epoch of the leader that wrote it; not in heads of earlier versions. */
    readonly epoch?: number;
}

export function encodeJournalRecord(record: JournalRecord): string {
    return JSON.stringify(record);
}

/** Reads a record that this program wrote under the leader's guard. */
export function decodeJournalRecord(text: string): JournalRecord {
    return JSON.parse(text) as JournalRecord;
}

export function encodeSnapshotHead(head: SnapshotHead): string {
    return JSON.stringify(head);
}

export function decodeSnapshotHead(text: string): SnapshotHead {
    return JSON.parse(text) as SnapshotHead;
}
