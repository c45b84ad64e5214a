/** Ids of jobs and keys of requests, and the home slice each belongs to. */
import { createHash } from "node:crypto";
import { hashText } from "../../common/hash.js";
import { HOME_SLICES } from "../../version/settings.js";

const ID_DIGITS = 24;

/**
 * Makes the id of a job from what identifies it, equal at every entry.
 * @param team - Team of the caller: a key of one team never meets that of another.
 * @param key - Idempotency key, or a unique text where the caller gave none.
 * @returns `j<home slice>-<digits>`.
 */
export function makeJobIdFrom(team: string, key: string): string {
    const digits = createHash("sha256").update(`${team}/${key}`).digest("hex").slice(0, ID_DIGITS);
    return `j${hashText(digits) % HOME_SLICES}-${digits}`;
}

/**
 * Finds the home slice of a job.
 * @param jobId - Id as made by {@link makeJobIdFrom}.
 * @returns The slice, or undefined for a text that is no job id.
 */
export function findHomeSlice(jobId: string): number | undefined {
    const match = /^j(\d{1,3})-[0-9a-f]+$/.exec(jobId);
    const slice = Number(match?.[1] ?? HOME_SLICES);
    return slice < HOME_SLICES ? slice : undefined;
}

/**
 * Finds the home slice of a request.
 * @param requestKey - Team and idempotency key or request id.
 */
export function computeHomeSlice(requestKey: string): number {
    return hashText(requestKey) % HOME_SLICES;
}
