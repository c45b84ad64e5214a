/** Reads the journal back after a take-over: the newest snapshot, and of the ring only what follows it. */
import { JobBook } from "../jobs/job-book.js";
import { decodeBook } from "../jobs/snapshot.js";
import type { StoreRecord } from "../ports/index.js";
import type { Log } from "../telemetry.js";
import {
    countRingSegments,
    findRingSegment,
    makeSegmentPrefix,
    makeSnapshotKey,
    SNAPSHOT_HEAD_KEY,
} from "./keys.js";
import { PieceReader } from "./piece-reader.js";
import type { PieceReaderOptions } from "./piece-reader.js";
import { decodeJournalRecord, decodeSnapshotHead } from "./records.js";
import type { JournalRecord, SnapshotHead } from "./records.js";

/** The state as the store has it. */
export interface LoadedJournal {
    readonly book: JobBook;
    /** Last record. */
    readonly sequence: number;
    /** Last record that the newest snapshot covers. */
    readonly coveredSequence: number;
    readonly generation: number;
    /** Revision of the head of the snapshots; 0 if there is none. */
    readonly headRevision: number;
    /** Characters of the newest snapshot. */
    readonly snapshotLength: number;
    /** Characters of the records after it. */
    readonly recordsLength: number;
    /** Calls that it took to read all this. */
    readonly pieces: number;
}

/** What loading needs. */
export type LoadContext = PieceReaderOptions;

/** Segments of the ring that are asked for ahead of the one that is known to be needed. */
const SEGMENTS_AHEAD = 2;

interface ReadRecord {
    readonly record: JournalRecord;
    /** Characters of its text. */
    readonly length: number;
}

const EMPTY_HEAD: SnapshotHead = { generation: 0, parts: 0, sequence: 0 };

/**
 * Loads snapshot and records. Call it once this node's own leader record is written: from then on no earlier leader
 * can add to them.
 * @returns Undefined if the attempt is over.
 * @throws An error that names the key of what cannot be read.
 */
export async function loadJournal(context: LoadContext): Promise<LoadedJournal | undefined> {
    const reader = new PieceReader(context);
    const headRecords = await reader.read(SNAPSHOT_HEAD_KEY);
    if (headRecords === undefined) {
        return undefined;
    }
    const [headRecord] = headRecords;
    const head = headRecord === undefined ?
        EMPTY_HEAD :
        decodeNamed(headRecord.key, () => decodeSnapshotHead(headRecord.value));
    const [text, records] = await Promise.all([readSnapshot(reader, head), readLater(reader, head)]);
    if (text === undefined || records === undefined) {
        return undefined;
    }
    const book = head.parts === 0 ?
        new JobBook() :
        decodeNamed(makeSnapshotKey(head.generation, 0), () => decodeBook(text));
    const later = selectConnected(context.log, head, records.map(({ record }) => record));
    later.forEach(({ events }) => events.forEach(event => book.apply(event)));
    return {
        book,
        sequence: later.at(-1)?.sequence ?? head.sequence,
        coveredSequence: head.sequence,
        generation: head.generation,
        headRevision: headRecord?.revision ?? 0,
        snapshotLength: text.length,
        recordsLength: records.reduce((sum, { length }) => sum + length, 0),
        pieces: reader.pieces,
    };
}

function decodeNamed<Value>(key: string, decode: () => Value): Value {
    try {
        return decode();
    }
    catch (error) {
        throw new Error(`${key} cannot be read: ${String(error)}`, { cause: error });
    }
}

async function readSnapshot(reader: PieceReader, head: SnapshotHead): Promise<string | undefined> {
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
 * Reads the ring from the first record after the snapshot, segment by segment, up to the one in which the records end.
 * @returns Undefined if the attempt is over.
 */
async function readLater(
    reader: PieceReader,
    head: SnapshotHead,
): Promise<readonly ReadRecord[] | undefined> {
    const segmentCount = countRingSegments();
    const first = findRingSegment(head.sequence + 1);
    const asked: Promise<readonly StoreRecord[] | undefined>[] = [];
    const found = new Map<number, ReadRecord>();
    let next = head.sequence + 1;
    for (let read = 0; read < segmentCount; read++) {
        while (asked.length < Math.min(segmentCount, read + 1 + SEGMENTS_AHEAD)) {
            asked.push(reader.list(makeSegmentPrefix((first + asked.length) % segmentCount)));
        }
        const records = await asked[read];
        if (records === undefined) {
            return undefined;
        }
        for (const { key, value } of records) {
            const record = decodeNamed(key, () => decodeJournalRecord(value));
            found.set(record.sequence, { record, length: value.length });
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
 * @remarks Records are sent several at a time, so a leader that died may have left some beyond one that was never
 * written. No effect of those was let out, and they are dropped. A later leader writes from the gap on; what still
 * stands beyond its own last record has a lower epoch and is no continuation of it, nor of a snapshot that it wrote:
 * all records after that one are its own or a later leader's.
 */
function selectConnected(
    log: Log,
    { sequence: covered, epoch: snapshotEpoch = 0 }: SnapshotHead,
    records: readonly JournalRecord[],
): readonly JournalRecord[] {
    const later = records
        .filter(record => record.sequence > covered)
        .sort((left, right) => left.sequence - right.sequence);
    const connected: JournalRecord[] = [];
    for (const record of later) {
        const last = connected.at(-1);
        const follows = record.sequence === (last?.sequence ?? covered) + 1;
        if (!follows || record.epoch < (last?.epoch ?? snapshotEpoch)) {
            break;
        }
        connected.push(record);
    }
    if (connected.length < later.length) {
        const dropped = later.length - connected.length;
        log.warn("CR1603", "journalTailDropped", { after: connected.at(-1)?.sequence ?? covered, dropped });
    }
    return connected;
}
