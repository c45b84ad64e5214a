/** Keys of the store that the leader writes. */

/** All keys of this system begin with it. */
const KEY_PREFIX = "cactusrack/";

/** The two keys of the leader, so that one listing shows both. */
export const LEADER_PREFIX = `${KEY_PREFIX}leader/`;

/** Who leads. Its revision guards every write of the journal. */
export const LEADER_KEY = `${LEADER_PREFIX}record`;

/** Lives on the leader's lease: its absence tells others that the store has not heard of the leader for that long. */
export const ALIVE_KEY = `${LEADER_PREFIX}alive`;

/** The ring of journal records. */
export const RECORD_PREFIX = `${KEY_PREFIX}journal/`;

/** Snapshots and the record that names the newest whole one. */
export const SNAPSHOT_PREFIX = `${KEY_PREFIX}snapshot/`;
export const SNAPSHOT_HEAD_KEY = `${SNAPSHOT_PREFIX}head`;

/**
 * Slots of the ring. A snapshot begins at half of them at the latest; the other half takes records while it is written.
 */
export const RING_SLOTS = 512;

/** Digits of a slot in its key. */
const SLOT_DIGITS = 4;
/** Slots whose keys differ in the last digit only: one listing shows them. */
const SEGMENT_SLOTS = 10;

/** Returns the key of the slot of a record. */
export function makeRecordKey(sequence: number): string {
    return `${RECORD_PREFIX}${String(sequence % RING_SLOTS).padStart(SLOT_DIGITS, "0")}`;
}

/** Returns how many segments the ring has. */
export function countRingSegments(): number {
    return Math.ceil(RING_SLOTS / SEGMENT_SLOTS);
}

/** Returns the segment of the ring that holds a record. */
export function findRingSegment(sequence: number): number {
    return Math.floor(sequence % RING_SLOTS / SEGMENT_SLOTS);
}

/** Returns what the keys of a segment's slots begin with. */
export function makeSegmentPrefix(segment: number): string {
    return `${RECORD_PREFIX}${String(segment).padStart(SLOT_DIGITS - 1, "0")}`;
}

/** Returns the key of a part of a snapshot. Two generations take turns, so that a whole one always stands. */
export function makeSnapshotKey(generation: number, part: number): string {
    return `${SNAPSHOT_PREFIX}${generation % 2}/${String(part).padStart(3, "0")}`;
}
