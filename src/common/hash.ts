/** Stable hashing of keys to numbers: equal on every entry, for the life of a cell. */
import { createHash } from "node:crypto";

/**
 * Hashes text to 32 bits, evenly spread.
 * @param text - What to hash.
 * @returns A whole number from 0 to 2^32 - 1: the first four bytes of the text's SHA-256.
 */
export function hashText(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32BE(0);
}
