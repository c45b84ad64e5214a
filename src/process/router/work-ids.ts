/** Job ids and request keys, and the home slice that each belongs to. */
import { createHash } from "node:crypto";
import { hashText } from "../../common/hash.js";
import { HOME_SLICES } from "../../version/settings.js";

const ID_DIGITS = 24;

/**
 * Makes the id of a job from its team and key; every entry makes the same id.
 * @param team - Team of the caller, so that equal keys of different teams are different jobs.
 * @param key - Idempotency key, or a unique text if the caller gave none.
 * @returns `j<home slice>-<digits>`.
 */
export function makeJobIdFrom(team: string, key: string): string {
    const digits = createHash("sha256").update(`${team}/${key}`).digest("hex").slice(0, ID_DIGITS);
    return `j${hashText(digits) % HOME_SLICES}-${digits}`;
}

/**
 * Finds the home slice of a job.
 * @param jobId - Id as made by {@link makeJobIdFrom}.
 * @returns The slice, or undefined if the text is not a job id.
 */
export function findHomeSlice(jobId: string): number | undefined {
    const match = /^j(\d{1,3})-[0-9a-f]+$/.exec(jobId);
    const slice = Number(match?.[1] ?? HOME_SLICES);
    return slice < HOME_SLICES ? slice : undefined;
}

/**
 * Computes the home slice of a request.
 * @param requestKey - Team, a slash, and the idempotency key or, without one, the request id.
 */
export function computeHomeSlice(requestKey: string): number {
    return hashText(requestKey) % HOME_SLICES;
}
