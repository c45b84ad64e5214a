/** A home state as a list of small texts, so that a snapshot can be split under the store's value limit. */
import type { Millis } from "../../../common/clock.js";
import type { Caller, JobSpec } from "../../../request/work.js";
import type { HomeState, RequestRecord } from "./home-state.js";
import type { TaskDetail, TaskRetry } from "./job-record.js";
import { JobRecord } from "./job-record.js";

/** One item of a snapshot. */
export type SnapshotItem =
    | {
        readonly kind: "job";
        readonly jobId: string;
        readonly caller: Caller;
        readonly spec: JobSpec;
        readonly submittedWallMs: number;
        readonly acceptedAt: Millis;
        readonly cancelled: boolean;
        readonly endedAt?: Millis;
        /** Codes of the tasks, as pairs of code and run length. */
        readonly codes: readonly number[];
    }
    | {
        readonly kind: "detail";
        readonly jobId: string;
        readonly index: number;
        readonly detail: TaskDetail;
    }
    | { readonly kind: "retry"; readonly jobId: string; readonly index: number; readonly retry: TaskRetry; }
    | { readonly kind: "marker"; readonly jobId: string; readonly index: number; readonly attempt: string; }
    | { readonly kind: "request"; readonly request: RequestRecord; };

/**
 * Lists the items of a state, as texts.
 * @param state - The state at one sequence of the log.
 */
export function listSnapshotItems(state: HomeState): string[] {
    const items: string[] = [];
    for (const job of state.jobs.values()) {
        collectJobItems(job, item => items.push(JSON.stringify(item)));
    }
    for (const request of state.requests.values()) {
        items.push(JSON.stringify({ kind: "request", request }));
    }
    return items;
}

/**
 * Puts one item back into a state.
 * @param state - The state being restored.
 * @param item - An item; details follow their job.
 */
export function restoreSnapshotItem(state: HomeState, item: SnapshotItem): void {
    switch (item.kind) {
        case "job":
            state.jobs.set(item.jobId, restoreJob(item));
            break;
        case "detail":
            state.jobs.get(item.jobId)?.details.set(item.index, item.detail);
            break;
        case "retry":
            state.jobs.get(item.jobId)?.retries.set(item.index, item.retry);
            break;
        case "marker":
            state.jobs.get(item.jobId)?.markers.set(item.index, item.attempt);
            break;
        case "request":
            state.requests.set(item.request.requestKey, { ...item.request });
            break;
    }
}

function collectJobItems(job: JobRecord, add: (item: SnapshotItem) => void): void {
    const { jobId, caller, spec, submittedWallMs, acceptedAt, cancelled, endedAt } = job;
    const codes = packCodes(job.codes);
    add({ kind: "job", jobId, caller, spec, submittedWallMs, acceptedAt, cancelled, endedAt, codes });
    for (const [index, detail] of job.details) {
        add({ kind: "detail", jobId, index, detail });
    }
    for (const [index, retry] of job.retries) {
        add({ kind: "retry", jobId, index, retry });
    }
    for (const [index, attempt] of job.markers) {
        add({ kind: "marker", jobId, index, attempt });
    }
}

function restoreJob(item: Extract<SnapshotItem, { readonly kind: "job"; }>): JobRecord {
    const job = new JobRecord(item.jobId, item.caller, item.spec, item.submittedWallMs, item.acceptedAt);
    job.cancelled = item.cancelled;
    job.endedAt = item.endedAt;
    job.totals.fill(0);
    let index = 0;
    for (let at = 0; at + 1 < item.codes.length; at += 2) {
        const code = item.codes[at] ?? 0;
        const length = item.codes[at + 1] ?? 0;
        job.codes.fill(code, index, index + length);
        job.totals[code] = (job.totals[code] ?? 0) + length;
        index += length;
    }
    return job;
}

function packCodes(codes: Uint8Array): number[] {
    const packed: number[] = [];
    let start = 0;
    while (start < codes.length) {
        const code = codes[start] ?? 0;
        let end = start + 1;
        while (end < codes.length && codes[end] === code) {
            end++;
        }
        packed.push(code, end - start);
        start = end;
    }
    return packed;
}
