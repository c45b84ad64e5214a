/** Stable hashing of keys to numbers: equal on every entry, for the life of a cell. */
import { createHash } from "node:crypto";

/**
 * Hashes text to 32 bits, evenly spread.
 * @param text - What to hash.
 * @returns A whole number from 0 to 2^32 - 1: the first four bytes of the text's SHA-256.
 */
export function hashText(text: string): number {
    const known = remembered.get(text);
    if (known !== undefined) {
        return known;
    }
    const hash = createHash("sha256").update(text).digest().readUInt32BE(0);
    if (remembered.size >= MAX_REMEMBERED) {
        remembered.clear();
    }
    remembered.set(text, hash);
    return hash;
}

/**
 * Hashes computed lately: an entry asks for those of its members and slices several times a second. 16,384 hold 80
 * slices for 200 members; past that all are forgotten at once.
 */
const MAX_REMEMBERED = 16_384;
const remembered = new Map<string, number>();
