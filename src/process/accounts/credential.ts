/** Keys of client accounts. Only digests are kept, so a key can't leak through logs, the store or links. */
import { createHash } from "node:crypto";

/** Digest of the key that a request carries; undefined if it carries none. */
export type Credential = string | undefined;

/** Characters of a digest that are kept: 132 bits. */
const DIGEST_LENGTH = 22;

/** Computes the digest by which a key is known to the system. */
export function computeKeyDigest(key: string): string {
    return createHash("sha256").update(key).digest("base64url").slice(0, DIGEST_LENGTH);
}
