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
 * Slots of the ring. A snapshot begins at half of them; at 60 records a second the other half leaves four seconds
 * to write it, and all values together stay near a megabyte, so that a new leader reads them in a few pages.
 */
export const RING_SLOTS = 512;

/** Returns the key of the slot of a record. */
export function makeRecordKey(sequence: number): string {
    return `${RECORD_PREFIX}${String(sequence % RING_SLOTS).padStart(4, "0")}`;
}

/** Returns the key of a part of a snapshot. Two generations take turns, so that a whole one always stands. */
export function makeSnapshotKey(generation: number, part: number): string {
    return `${SNAPSHOT_PREFIX}${generation % 2}/${String(part).padStart(3, "0")}`;
}
