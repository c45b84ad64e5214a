/** The keys in the store that the leader writes. */

/** Prefix of all keys of this system. */
const KEY_PREFIX = "cactusrack/";

/** Prefix of the leader's two keys, so that one listing returns both. */
export const LEADER_PREFIX = `${KEY_PREFIX}leader/`;

/** Key of the leader's record. Every write to the journal is conditional on its revision. */
export const LEADER_KEY = `${LEADER_PREFIX}record`;

/** Key attached to the leader's lease. If it is absent, the leader has not renewed its lease in time. */
export const ALIVE_KEY = `${LEADER_PREFIX}alive`;

/** Prefix of the ring buffer of journal records. */
export const RECORD_PREFIX = `${KEY_PREFIX}journal/`;

/** Prefix of the snapshots, and of the head record that refers to the newest complete one. */
export const SNAPSHOT_PREFIX = `${KEY_PREFIX}snapshot/`;
export const SNAPSHOT_HEAD_KEY = `${SNAPSHOT_PREFIX}head`;

/**
 * Number of slots in the ring. A snapshot begins when half of them are used at the latest; the other half is
 * for records that are written while the snapshot is.
 */
export const RING_SLOTS = 512;

/** Number of digits of a slot in its key. */
const SLOT_DIGITS = 4;
/** Slots whose keys differ only in the last digit, so that one listing returns them. */
const SEGMENT_SLOTS = 10;

/** Returns the key of the slot for a record. */
export function makeRecordKey(sequence: number): string {
    return `${RECORD_PREFIX}${String(sequence % RING_SLOTS).padStart(SLOT_DIGITS, "0")}`;
}

/** Returns the number of segments in the ring. */
export function countRingSegments(): number {
    return Math.ceil(RING_SLOTS / SEGMENT_SLOTS);
}

/** Returns the number of the segment that contains a record. */
export function findRingSegment(sequence: number): number {
    return Math.floor(sequence % RING_SLOTS / SEGMENT_SLOTS);
}

/** Returns the common prefix of the keys of a segment's slots. */
export function makeSegmentPrefix(segment: number): string {
    return `${RECORD_PREFIX}${String(segment).padStart(SLOT_DIGITS - 1, "0")}`;
}

/**
 * Returns the key of a part of a snapshot. Generations alternate between two sets of keys, so that one is
 * always complete.
 */
export function makeSnapshotKey(generation: number, part: number): string {
    return `${SNAPSHOT_PREFIX}${generation % 2}/${String(part).padStart(3, "0")}`;
}
