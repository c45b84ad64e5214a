/** Recovers the state of a home slice from a listing of its keys, or reports why that is impossible. */
import type { StoreListing, StoreRecord } from "../../ports/index.js";
import { HomeState, restoreSnapshotItem } from "../state/index.js";
import { makeHeadKey, makePartKey, makeSlicePrefix, makeSlotKey } from "./keys.js";
import type { DecodeResult, HeadRecord, LogRecord, RecordFault } from "./records.js";
import { decodeRecord, SnapshotSet } from "./records.js";

const RECORDS_BETWEEN_YIELDS = 8;

/** The content of a slice in the store. */
export interface SliceImage {
    /** Undefined for a slice that nobody has opened yet. */
    readonly head: HeadRecord | undefined;
    readonly headRevision: number;
    /** Sequence of the last record; 0 if there is none. */
    readonly lastSequence: number;
    /** Highest epoch seen in any record. */
    readonly highestEpoch: number;
    /** Revision of each key, for the next compare-and-swap on it. */
    readonly revisions: ReadonlyMap<string, number>;
    readonly state: HomeState;
    /** Bytes of the records that the snapshot does not cover. */
    readonly uncoveredBytes: number;
}

/**
 * Recovers a slice.
 * @param listing - All keys under the slice's prefix.
 * @param pause - Yields to other work of the entry; called between steps of at most a few milliseconds.
 */
export async function buildImage(
    slice: number,
    listing: StoreListing,
    pause: () => Promise<void>,
): Promise<DecodeResult<SliceImage>> {
    const records = new Map(listing.records.map(record => [record.key, record]));
    const revisions = new Map(listing.records.map(record => [record.key, record.revision]));
    const headRecord = records.get(makeHeadKey(slice));
    if (headRecord === undefined) {
        return buildEmptyImage(slice, listing, revisions);
    }
    const head = decodeRecord(headRecord.key, headRecord.value, "head", slice);
    if (head.kind === "fault") {
        return head;
    }
    const state = new HomeState();
    const restored = await restoreSnapshot(slice, head.value, records, state, pause);
    if (restored !== undefined) {
        return { kind: "fault", fault: restored };
    }
    const log = collectLog(slice, head.value, records);
    if (log.kind === "fault") {
        return log;
    }
    let highestEpoch = head.value.epoch;
    for (const [index, record] of log.value.records.entries()) {
        if (index % RECORDS_BETWEEN_YIELDS === 0) {
            await pause();
        }
        highestEpoch = Math.max(highestEpoch, record.epoch);
        for (const entry of record.entries) {
            state.apply(entry, record.at);
        }
    }
    const lastSequence = log.value.records.at(-1)?.sequence ?? head.value.covers;
    return {
        kind: "done",
        value: {
            head: head.value,
            headRevision: headRecord.revision,
            lastSequence,
            highestEpoch,
            revisions,
            state,
            uncoveredBytes: log.value.bytes,
        },
    };
}

/** A slice without a head must have no records, since the head is written before the first of them. */
function buildEmptyImage(
    slice: number,
    listing: StoreListing,
    revisions: ReadonlyMap<string, number>,
): DecodeResult<SliceImage> {
    const stray = listing.records.find(record => record.key.startsWith(makeSlicePrefix(slice)));
    if (stray !== undefined) {
        const message = `it stands in a slice whose head ${makeHeadKey(slice)} is missing`;
        return { kind: "fault", fault: { key: stray.key, code: "corrupt", message } };
    }
    return {
        kind: "done",
        value: {
            head: undefined,
            headRevision: 0,
            lastSequence: 0,
            highestEpoch: 0,
            revisions,
            state: new HomeState(),
            uncoveredBytes: 0,
        },
    };
}

async function restoreSnapshot(
    slice: number,
    head: HeadRecord,
    records: ReadonlyMap<string, StoreRecord>,
    state: HomeState,
    pause: () => Promise<void>,
): Promise<RecordFault | undefined> {
    for (const [part, revision] of head.parts.entries()) {
        const key = makePartKey(slice, head.set, part);
        const record = records.get(key);
        if (record?.revision !== revision) {
            const found = record === undefined ? "it is missing" : `it has revision ${record.revision}`;
            return { key, code: "corrupt", message: `${found}; the head names revision ${revision}` };
        }
        const decoded = decodeRecord(key, record.value, "part", slice);
        if (decoded.kind === "fault") {
            return decoded.fault;
        }
        for (const item of decoded.value.items) {
            restoreSnapshotItem(state, item);
        }
        await pause();
    }
    state.logTime = head.at;
    return undefined;
}

/** Returns the records after the snapshot in order, or a fault if one is damaged or missing. */
function collectLog(
    slice: number,
    head: HeadRecord,
    stored: ReadonlyMap<string, StoreRecord>,
): DecodeResult<{ readonly records: readonly LogRecord[]; readonly bytes: number; }> {
    const records: LogRecord[] = [];
    let bytes = 0;
    for (let slot = 0; slot < head.slots; slot++) {
        const key = makeSlotKey(slice, slot, head.slots);
        const found = stored.get(key);
        if (found === undefined) {
            continue;
        }
        const decoded = decodeRecord(key, found.value, "log", slice);
        if (decoded.kind === "fault") {
            return decoded;
        }
        if (decoded.value.sequence % head.slots !== slot) {
            return makeLogFault(key, `sequence ${decoded.value.sequence} does not belong there`);
        }
        if (decoded.value.sequence > head.covers) {
            records.push(decoded.value);
            bytes += Buffer.byteLength(found.value);
        }
    }
    records.sort((left, right) => left.sequence - right.sequence);
    return findGap(slice, head, records) ?? { kind: "done", value: { records, bytes } };
}

/**
 * Finds a lost or altered record: it shows as a gap in the sequence or as a decreasing epoch, since records
 * are written in order, one at a time, each by compare-and-swap over the record one whole ring earlier.
 */
function findGap(
    slice: number,
    head: HeadRecord,
    records: readonly LogRecord[],
): { readonly kind: "fault"; readonly fault: RecordFault; } | undefined {
    let expected = head.covers;
    let epoch = 0;
    for (const record of records) {
        expected++;
        const key = makeSlotKey(slice, record.sequence, head.slots);
        if (record.sequence !== expected) {
            return makeLogFault(key, `record ${expected} is missing before record ${record.sequence}`);
        }
        if (record.epoch < epoch) {
            return makeLogFault(key, `epoch ${record.epoch} follows epoch ${epoch}`);
        }
        epoch = record.epoch;
    }
    return undefined;
}

function makeLogFault(
    key: string,
    message: string,
): { readonly kind: "fault"; readonly fault: RecordFault; } {
    return { kind: "fault", fault: { key, code: "corrupt", message } };
}

/** Returns the other set of keys, to which a snapshot may be written while this one is current. */
export function getOtherSet(set: SnapshotSet): SnapshotSet {
    return set === SnapshotSet.first ? SnapshotSet.second : SnapshotSet.first;
}
