/** Keys of a home slice in the store. */
import type { SnapshotSet } from "./records.js";

/** Prefix of all keys of a slice. */
export function makeSlicePrefix(slice: number): string {
    return `home/${slice}/`;
}

/** Key of the head, the record that names the current snapshot. */
export function makeHeadKey(slice: number): string {
    return `${makeSlicePrefix(slice)}head`;
}

/** Key of the ring that holds the record with this sequence. */
export function makeSlotKey(slice: number, sequence: number, slots: number): string {
    return `${makeSlicePrefix(slice)}slot/${sequence % slots}`;
}

/** Key of a part of a snapshot. */
export function makePartKey(slice: number, set: SnapshotSet, part: number): string {
    return `${makeSlicePrefix(slice)}snapshot/${set}/${part}`;
}
