/** Stable hashing of keys to numbers: the result is the same on every entry and never changes in a cell. */
import { createHash } from "node:crypto";

/**
 * Hashes text to 32 uniformly distributed bits.
 * @returns An integer from 0 to 2^32 - 1: the first four bytes of the text's SHA-256.
 */
export function hashText(text: string): number {
    const cached = cachedHashes.get(text);
    if (cached !== undefined) {
        return cached;
    }
    const hash = createHash("sha256").update(text).digest().readUInt32BE(0);
    if (cachedHashes.size >= MAX_CACHED_HASHES) {
        cachedHashes.clear();
    }
    cachedHashes.set(text, hash);
    return hash;
}

/**
 * Capacity of the cache of hashes: an entry looks up those of its members and slices several times a second.
 * 16,384 hashes suffice for 80 slices and 200 members; the cache is cleared when it is full.
 */
const MAX_CACHED_HASHES = 16_384;
const cachedHashes = new Map<string, number>();
