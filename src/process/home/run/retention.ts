/** Finds ended work whose retention time is over. */
import type { HomeEntry } from "../state/index.js";
import type { SliceCore } from "./core.js";

/** Limit on the jobs, and on the requests, that one log entry removes. */
const MAX_EXPIRED_PER_ENTRY = 500;

/**
 * Collects ended jobs and requests whose retention is over, by log time: a jump of the wall clock expires nothing
 * early.
 * @returns The entry to write, or undefined if nothing is due.
 */
export function collectExpired(core: SliceCore): HomeEntry | undefined {
    const now = core.log.getLogTime();
    const jobIds: string[] = [];
    for (const job of core.state.jobs.values()) {
        const { retentionMs } = core.getBranch(job.spec.branch);
        if (
            job.endedAt !== undefined && now - job.endedAt > retentionMs &&
            jobIds.length < MAX_EXPIRED_PER_ENTRY
        ) {
            jobIds.push(job.jobId);
        }
    }
    const requestKeys: string[] = [];
    for (const request of core.state.requests.values()) {
        const { retentionMs } = core.getBranch(request.branch);
        // A repeatable request whose answer was lost has no end: its retention counts from its start.
        const endedAt = request.endedAt ?? (request.repeatable ? request.startedAt : undefined);
        const isOver = endedAt !== undefined && now - endedAt > retentionMs;
        if (isOver && requestKeys.length < MAX_EXPIRED_PER_ENTRY) {
            requestKeys.push(request.requestKey);
        }
    }
    return jobIds.length + requestKeys.length === 0 ? undefined : { kind: "expired", jobIds, requestKeys };
}
