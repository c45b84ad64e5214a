/**
 * Reads the journal after a takeover: the newest snapshot, and only the records of the ring that follow it.
 */
import { JobRegistry } from "../jobs/job-registry.js";
import { decodeJobs } from "../jobs/snapshot.js";
import type { StoreRecord } from "../ports/index.js";
import type { Log } from "../telemetry.js";
import { JournalReader } from "./journal-reader.js";
import type { JournalReaderOptions } from "./journal-reader.js";
import {
    countRingSegments,
    findRingSegment,
    makeSegmentPrefix,
    makeSnapshotKey,
    SNAPSHOT_HEAD_KEY,
} from "./keys.js";
import { decodeJournalRecord, decodeSnapshotHead } from "./records.js";
import type { JournalRecord, SnapshotHead } from "./records.js";

/** The state that was read from the store. */
export interface LoadedJournal {
    readonly jobs: JobRegistry;
    /** Sequence number of the last record. */
    readonly sequence: number;
    /** Sequence number of the last record that the newest snapshot covers. */
    readonly coveredSequence: number;
    readonly generation: number;
    /** Revision of the snapshot head; 0 if there is none. */
    readonly headRevision: number;
    /** Size of the newest snapshot. */
    readonly snapshotBytes: number;
    /** Total size of the records after the snapshot. */
    readonly recordsBytes: number;
    /** Number of calls to the store that reading took. */
    readonly pieces: number;
}

/** Options of {@link loadJournal}. */
export type LoadOptions = JournalReaderOptions;

/** Segments of the ring that are requested ahead of the one known to be needed. */
const READ_AHEAD_SEGMENTS = 2;

interface ReadRecord {
    readonly record: JournalRecord;
    /** Size of its text. */
    readonly bytes: number;
}

const EMPTY_HEAD: SnapshotHead = { generation: 0, parts: 0, sequence: 0 };

/**
 * Loads the snapshot and the records after it. Call it only after this node's own leader record was written:
 * from then on no earlier leader can add to them.
 * @returns Undefined if loading was cancelled.
 * @throws An error with the key of a record or snapshot that cannot be decoded.
 */
export async function loadJournal(options: LoadOptions): Promise<LoadedJournal | undefined> {
    const reader = new JournalReader(options);
    const headRecords = await reader.read(SNAPSHOT_HEAD_KEY);
    if (headRecords === undefined) {
        return undefined;
    }
    const [headRecord] = headRecords;
    const head = headRecord === undefined ?
        EMPTY_HEAD :
        decodeWithKey(headRecord.key, () => decodeSnapshotHead(headRecord.value));
    const [text, records] = await Promise.all([readSnapshot(reader, head), readRecordsAfter(reader, head)]);
    if (text === undefined || records === undefined) {
        return undefined;
    }
    const restored = head.parts === 0 ?
        new JobRegistry() :
        decodeWithKey(makeSnapshotKey(head.generation, 0), () => decodeJobs(text));
    const later = selectContiguous(options.log, head, records.map(({ record }) => record));
    later.forEach(({ events }) => events.forEach(event => restored.apply(event)));
    return {
        jobs: restored,
        sequence: later.at(-1)?.sequence ?? head.sequence,
        coveredSequence: head.sequence,
        generation: head.generation,
        headRevision: headRecord?.revision ?? 0,
        snapshotBytes: Buffer.byteLength(text),
        recordsBytes: records.reduce((sum, { bytes }) => sum + bytes, 0),
        pieces: reader.pieces,
    };
}

/** Decodes the value of a key, and adds the key to the error if that fails. */
function decodeWithKey<Value>(key: string, decode: () => Value): Value {
    try {
        return decode();
    }
    catch (error) {
        throw new Error(`${key} cannot be read: ${String(error)}`, { cause: error });
    }
}

async function readSnapshot(reader: JournalReader, head: SnapshotHead): Promise<string | undefined> {
    const keys = Array.from(
        { length: head.parts },
        (...[, part]) => makeSnapshotKey(head.generation, part),
    );
    const parts = await Promise.all(keys.map(key => reader.read(key)));
    const values: string[] = [];
    for (const records of parts) {
        if (records === undefined) {
            return undefined;
        }
        values.push(records[0]?.value ?? "");
    }
    return values.join("");
}

/**
 * Reads the ring segment by segment, from the first record after the snapshot to the segment in which the
 * contiguous records end.
 * @returns Undefined if loading was cancelled.
 */
async function readRecordsAfter(
    reader: JournalReader,
    head: SnapshotHead,
): Promise<readonly ReadRecord[] | undefined> {
    const segmentCount = countRingSegments();
    const first = findRingSegment(head.sequence + 1);
    const requested: Promise<readonly StoreRecord[] | undefined>[] = [];
    const found = new Map<number, ReadRecord>();
    let next = head.sequence + 1;
    for (let read = 0; read < segmentCount; read++) {
        while (requested.length < Math.min(segmentCount, read + 1 + READ_AHEAD_SEGMENTS)) {
            requested.push(reader.list(makeSegmentPrefix((first + requested.length) % segmentCount)));
        }
        const records = await requested[read];
        if (records === undefined) {
            return undefined;
        }
        for (const { key, value } of records) {
            const record = decodeWithKey(key, () => decodeJournalRecord(value));
            found.set(record.sequence, { record, bytes: Buffer.byteLength(value) });
        }
        while (found.has(next)) {
            next += 1;
        }
        const nextSegment = (findRingSegment(next) - first + segmentCount) % segmentCount;
        if (nextSegment <= read) {
            break;
        }
    }
    return [...found.values()].filter(({ record }) => record.sequence > head.sequence);
}

/**
 * Selects the records that follow the snapshot without a gap.
 *
 * @remarks Several records are in flight at once, so a leader that died may have left records beyond one that
 * was never written. Their effects were never performed, and they are dropped. A later leader writes from the
 * gap on. Records that remain beyond its last one have a lower epoch and do not continue its records or its
 * snapshot.
 */
function selectContiguous(
    log: Log,
    { sequence: covered, epoch: snapshotEpoch = 0 }: SnapshotHead,
    records: readonly JournalRecord[],
): readonly JournalRecord[] {
    const later = records
        .filter(record => record.sequence > covered)
        .sort((left, right) => left.sequence - right.sequence);
    const contiguous: JournalRecord[] = [];
    for (const record of later) {
        const last = contiguous.at(-1);
        const follows = record.sequence === (last?.sequence ?? covered) + 1;
        if (!follows || record.epoch < (last?.epoch ?? snapshotEpoch)) {
            break;
        }
        contiguous.push(record);
    }
    if (contiguous.length < later.length) {
        const dropped = later.length - contiguous.length;
        log.warn("CR1603", "journalTailDropped", { after: contiguous.at(-1)?.sequence ?? covered, dropped });
    }
    return contiguous;
}
