/**
 * Encoding of the values that a home slice keeps in the store: records of the ring, parts of a snapshot, the
 * head.
 *
 * @remarks Each carries a format number and a checksum. A value that fails the check is reported as a fault
 * and never skipped: a skipped record could be a start marker, and its work would run twice.
 */
import { createHash } from "node:crypto";
import type { Millis } from "../../../common/clock.js";
import type { HomeEntry } from "../state/index.js";

/** Format that this program writes, and the highest that it reads. */
export const RECORD_FORMAT = 1;

/** The slice of a record, and the owner and epoch that wrote it. */
export interface RecordWriter {
    readonly slice: number;
    readonly epoch: number;
    readonly writer: string;
}

/** One record of the ring: a batch of entries. */
export interface LogRecord extends RecordWriter {
    readonly kind: "log";
    /** Position in the order of all records of the slice, from 1. */
    readonly sequence: number;
    /** Log time at which it was written. */
    readonly at: Millis;
    readonly entries: readonly HomeEntry[];
}

/** One part of a snapshot. */
export interface SnapshotPart extends RecordWriter {
    readonly kind: "part";
    /** Sequence of the last record that it covers. */
    readonly covers: number;
    readonly part: number;
    readonly items: readonly string[];
}

/** The record that names the current snapshot. */
export interface HeadRecord extends RecordWriter {
    readonly kind: "head";
    /** Number of keys of the ring; never changes once the slice has been opened. */
    readonly slots: number;
    readonly covers: number;
    /** Log time of the snapshot. */
    readonly at: Millis;
    readonly set: SnapshotSet;
    /** Store revisions of the parts, in order. */
    readonly parts: readonly number[];
}

/** Snapshots are written to the set of keys that the head does not name. */
export const SnapshotSet = {
    first: "a",
    second: "b",
} as const;
export type SnapshotSet = (typeof SnapshotSet)[keyof typeof SnapshotSet];

export type StoredRecord = LogRecord | SnapshotPart | HeadRecord;

/** A stored value that cannot be decoded or does not belong under its key. */
export interface RecordFault {
    readonly key: string;
    readonly code: "newerFormat" | "corrupt";
    readonly message: string;
}

export type DecodeResult<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "fault"; readonly fault: RecordFault; };

/**
 * Encodes a record as format number, checksum and JSON body.
 */
export function encodeRecord(record: StoredRecord): string {
    const body = JSON.stringify(record);
    return `${RECORD_FORMAT} ${computeChecksum(body)} ${body}`;
}

/**
 * Decodes a record and checks its format, checksum, kind and slice.
 * @param key - Key of the record, for the fault.
 * @param kind - Kind of record that belongs under the key.
 * @param slice - Slice that it must belong to.
 */
export function decodeRecord<Kind extends StoredRecord["kind"]>(
    key: string,
    text: string,
    kind: Kind,
    slice: number,
): DecodeResult<Extract<StoredRecord, { readonly kind: Kind; }>> {
    const [format = "", checksum = ""] = text.split(" ", HEADER_FIELDS);
    if (!FORMAT_PATTERN.test(format)) {
        return refuseRecord(key, "corrupt", "it does not begin with a format number");
    }
    if (Number(format) > RECORD_FORMAT) {
        const message = `it has format ${format}; this program reads up to ${RECORD_FORMAT}`;
        return refuseRecord(key, "newerFormat", message);
    }
    const body = text.slice(format.length + checksum.length + HEADER_FIELDS);
    if (computeChecksum(body) !== checksum) {
        return refuseRecord(key, "corrupt", "its checksum does not match its content");
    }
    const value = JSON.parse(body) as StoredRecord;
    if (value.kind !== kind || value.slice !== slice) {
        return refuseRecord(key, "corrupt", `it is a ${value.kind} record of slice ${value.slice}`);
    }
    return { kind: "done", value: value as Extract<StoredRecord, { readonly kind: Kind; }> };
}

const HEADER_FIELDS = 2;
const FORMAT_PATTERN = /^[1-9][0-9]{0,5}$/;
const CHECKSUM_LENGTH = 16;

function computeChecksum(body: string): string {
    return createHash("sha256").update(body).digest("hex").slice(0, CHECKSUM_LENGTH);
}

function refuseRecord(
    key: string,
    code: RecordFault["code"],
    message: string,
): { readonly kind: "fault"; readonly fault: RecordFault; } {
    return { kind: "fault", fault: { key, code, message } };
}
