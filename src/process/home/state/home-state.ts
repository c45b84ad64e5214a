/**
 * State of a home slice as a function of its log: the same entries in the same order give the same state.
 *
 * @remarks Times are *log time*: milliseconds that each owner of the slice counts on its monotonic clock,
 * summed over all owners. The time between two owners is not counted, so ended work is retained longer than
 * configured and never shorter, and nothing depends on a wall clock.
 */
import type { Millis } from "../../../common/clock.js";
import type { HomeEntry, StoredOutcome } from "./entries.js";
import { JobRecord, TaskCode } from "./job-record.js";

/** A service request with a start marker. */
export interface RequestRecord {
    readonly requestKey: string;
    readonly fingerprint: string;
    readonly repeatable: boolean;
    readonly settleMs: Millis;
    readonly branch: string;
    readonly startedAt: Millis;
    outcome?: StoredOutcome;
    endedAt?: Millis;
}

/** Jobs and requests of a home slice. */
export class HomeState {
    readonly jobs = new Map<string, JobRecord>();
    readonly requests = new Map<string, RequestRecord>();
    /** Log time of the last entry. */
    logTime: Millis = 0;

    /**
     * Applies one durable entry.
     * @param at - Log time at which the entry was written.
     */
    apply(entry: HomeEntry, at: Millis): void {
        this.logTime = Math.max(this.logTime, at);
        const handler = entryHandlers[entry.kind] as EntryHandler<HomeEntry>;
        handler(this, entry, this.logTime);
    }
}

type EntryHandler<Entry extends HomeEntry> = (state: HomeState, entry: Entry, at: Millis) => void;

type EntryHandlers = {
    readonly [Kind in HomeEntry["kind"]]: EntryHandler<Extract<HomeEntry, { readonly kind: Kind; }>>;
};

const entryHandlers: EntryHandlers = {
    opened: () => undefined,
    jobAccepted: (state, entry, at) => {
        if (!state.jobs.has(entry.jobId)) {
            state.jobs.set(
                entry.jobId,
                new JobRecord(entry.jobId, entry.caller, entry.spec, entry.wallMs, at),
            );
        }
    },
    tasksStarting: (state, entry) => {
        const job = state.jobs.get(entry.jobId);
        visitRanges(entry.ranges, index => job?.markTask(index, entry.attempt));
    },
    tasksEnded: (state, entry, at) => {
        const job = state.jobs.get(entry.jobId);
        for (const end of entry.ends) {
            job?.endTask(end);
        }
        recordJobEnd(job, at);
    },
    taskRequeued: (state, entry) => {
        const job = state.jobs.get(entry.jobId);
        if (job?.setCode(entry.index, TaskCode.waiting) === true) {
            const { failures, checkpoint } = entry;
            job.retries.set(entry.index, { failures, checkpoint });
        }
    },
    jobCancelled: (state, entry, at) => {
        const job = state.jobs.get(entry.jobId);
        if (job === undefined || job.isEnded()) {
            return;
        }
        job.cancelled = true;
        visitRanges(entry.never, index => job.setCode(index, TaskCode.cancelledBefore));
        visitRanges(entry.maybe, index => job.setCode(index, TaskCode.cancelledAfter));
        recordJobEnd(job, at);
    },
    requestStarting: (state, entry, at) => {
        if (!state.requests.has(entry.requestKey)) {
            const { requestKey, fingerprint, repeatable, settleMs, branch } = entry;
            state.requests.set(requestKey, {
                requestKey,
                fingerprint,
                repeatable,
                settleMs,
                branch,
                startedAt: at,
            });
        }
    },
    requestEnded: (state, entry, at) => {
        const request = state.requests.get(entry.requestKey);
        if (request !== undefined && request.outcome === undefined) {
            request.outcome = entry.outcome;
            request.endedAt = at;
        }
    },
    requestDropped: (state, entry) => {
        if (state.requests.get(entry.requestKey)?.outcome === undefined) {
            state.requests.delete(entry.requestKey);
        }
    },
    expired: (state, entry) => {
        for (const jobId of entry.jobIds) {
            state.jobs.delete(jobId);
        }
        for (const requestKey of entry.requestKeys) {
            state.requests.delete(requestKey);
        }
    },
};

function visitRanges(
    ranges: readonly (readonly [number, number])[],
    visit: (index: number) => void,
): void {
    for (const [first, last] of ranges) {
        for (let index = first; index <= last; index++) {
            visit(index);
        }
    }
}

function recordJobEnd(job: JobRecord | undefined, at: Millis): void {
    if (job !== undefined && job.endedAt === undefined && job.isEnded()) {
        job.endedAt = at;
    }
}
