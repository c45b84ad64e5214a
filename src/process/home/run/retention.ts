/** Forgets ended work whose retention is over. */
import type { HomeEntry } from "../state/index.js";
import type { SliceCore } from "./core.js";

/** Jobs and requests forgotten by one entry at most. */
const EXPIRED_PER_ENTRY = 500;

/**
 * Collects what may be forgotten now.
 * @param core - The slice; times are its log time, so a wall clock that jumps forgets nothing early.
 * @returns The entry to write, or undefined if nothing is due.
 */
export function collectExpired(core: SliceCore): HomeEntry | undefined {
    const now = core.log.getLogTime();
    const jobIds: string[] = [];
    for (const job of core.state.jobs.values()) {
        const { retentionMs } = core.getBranch(job.spec.branch);
        if (
            job.endedAt !== undefined && now - job.endedAt > retentionMs && jobIds.length < EXPIRED_PER_ENTRY
        ) {
            jobIds.push(job.jobId);
        }
    }
    const requestKeys: string[] = [];
    for (const request of core.state.requests.values()) {
        const { retentionMs } = core.getBranch(request.branch);
        // A repeatable request whose answer was lost has no end: it is forgotten by its start.
        const endedAt = request.endedAt ?? (request.repeatable ? request.startedAt : undefined);
        const isOver = endedAt !== undefined && now - endedAt > retentionMs;
        if (isOver && requestKeys.length < EXPIRED_PER_ENTRY) {
            requestKeys.push(request.requestKey);
        }
    }
    return jobIds.length + requestKeys.length === 0 ? undefined : { kind: "expired", jobIds, requestKeys };
}
