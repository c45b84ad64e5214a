/**
 * Converts a home state to small texts and back, so that a snapshot can be split below the store's value
 * limit.
 */
import type { Millis } from "../../../common/clock.js";
import { appendAll } from "../../../common/lists.js";
import type { Caller, JobSpec } from "../../../request/work.js";
import type { StoredOutcome } from "./entries.js";
import type { HomeState, RequestRecord } from "./home-state.js";
import type { TaskRetry } from "./job-record.js";
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
        readonly kind: "details";
        readonly jobId: string;
        /** The distinct outcomes, with an empty worker id where it equals the task's. */
        readonly outcomes: readonly StoredOutcome[];
        readonly tasks: readonly PackedDetail[];
    }
    | { readonly kind: "retry"; readonly jobId: string; readonly index: number; readonly retry: TaskRetry; }
    | { readonly kind: "marker"; readonly jobId: string; readonly index: number; readonly attempt: string; }
    | { readonly kind: "request"; readonly request: RequestRecord; };

/** Detail of one task; `outcome` is an index into the item's outcomes. */
type PackedDetail = readonly [index: number, outcome: number, workerId: string, attempts: number];

/** Characters of outcomes in one item beyond which the next item begins. */
const ITEM_CHARACTERS = 100_000;

/** Cached items of ended jobs, which no later entry changes. */
const endedJobItems = new WeakMap<JobRecord, string[]>();

/**
 * Lists the items of a state, as texts.
 * @param state - The state at one sequence of the log.
 */
export function listSnapshotItems(state: HomeState): string[] {
    const items: string[] = [];
    for (const job of state.jobs.values()) {
        appendAll(items, listJobItems(job));
    }
    for (const request of state.requests.values()) {
        items.push(JSON.stringify({ kind: "request", request }));
    }
    return items;
}

/**
 * Restores one item into a state.
 * @param text - An encoded item; the item of a job must precede its other items.
 */
export function restoreSnapshotItem(state: HomeState, text: string): void {
    const item = JSON.parse(text) as SnapshotItem;
    restoreItem(state, item);
    const job = item.kind === "request" ? undefined : state.jobs.get(item.jobId);
    if (job?.endedAt === undefined) {
        return;
    }
    const texts = endedJobItems.get(job);
    if (texts === undefined) {
        endedJobItems.set(job, [text]);
    }
    else {
        texts.push(text);
    }
}

function restoreItem(state: HomeState, item: SnapshotItem): void {
    switch (item.kind) {
        case "job":
            state.jobs.set(item.jobId, restoreJob(item));
            break;
        case "details":
            restoreDetails(state.jobs.get(item.jobId), item);
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

function listJobItems(job: JobRecord): readonly string[] {
    const cached = endedJobItems.get(job);
    if (cached !== undefined) {
        return cached;
    }
    const items: string[] = [];
    collectJobItems(job, item => items.push(JSON.stringify(item)));
    if (job.isEnded()) {
        endedJobItems.set(job, items);
    }
    return items;
}

function collectJobItems(job: JobRecord, add: (item: SnapshotItem) => void): void {
    const { jobId, caller, spec, submittedWallMs, acceptedAt, cancelled, endedAt } = job;
    const codes = packCodes(job.codes);
    add({ kind: "job", jobId, caller, spec, submittedWallMs, acceptedAt, cancelled, endedAt, codes });
    packDetails(job, add);
    for (const [index, retry] of job.retries) {
        add({ kind: "retry", jobId, index, retry });
    }
    for (const [index, attempt] of job.markers) {
        add({ kind: "marker", jobId, index, attempt });
    }
}

/** Writes each distinct outcome once, since most tasks of a job end alike. */
function packDetails(job: JobRecord, add: (item: SnapshotItem) => void): void {
    const { jobId } = job;
    let outcomeIndexes = new Map<string, number>();
    let outcomes: StoredOutcome[] = [];
    let tasks: PackedDetail[] = [];
    let characters = 0;
    const finish = () => {
        if (tasks.length > 0) {
            add({ kind: "details", jobId, outcomes, tasks });
        }
        [outcomeIndexes, outcomes, tasks, characters] = [new Map(), [], [], 0];
    };
    for (const [index, { outcome, workerId = "", attempts }] of job.details) {
        const key = makeOutcomeKey(outcome, workerId);
        let outcomeIndex = outcomeIndexes.get(key);
        if (outcomeIndex === undefined) {
            outcomeIndex = outcomes.push(removeWorker(outcome, workerId)) - 1;
            outcomeIndexes.set(key, outcomeIndex);
            characters += key.length;
        }
        tasks.push([index, outcomeIndex, workerId, attempts]);
        if (characters > ITEM_CHARACTERS) {
            finish();
        }
    }
    finish();
}

function restoreDetails(
    job: JobRecord | undefined,
    item: Extract<SnapshotItem, { readonly kind: "details"; }>,
): void {
    for (const [index, outcomeIndex, packedWorker, attempts] of item.tasks) {
        const shared = item.outcomes[outcomeIndex];
        if (shared !== undefined) {
            const workerId = packedWorker === "" ? undefined : packedWorker;
            job?.details.set(index, { outcome: addWorker(shared, packedWorker), workerId, attempts });
        }
    }
}

/** Returns equal keys for outcomes that differ only in naming the task's own worker. */
function makeOutcomeKey(outcome: StoredOutcome, workerId: string): string {
    return outcome.kind === "done" && outcome.workerId === workerId ?
        `done ${outcome.contentType} ${outcome.answer}` :
        JSON.stringify(removeWorker(outcome, workerId));
}

function removeWorker(outcome: StoredOutcome, workerId: string): StoredOutcome {
    return "workerId" in outcome && outcome.workerId === workerId ? { ...outcome, workerId: "" } : outcome;
}

function addWorker(outcome: StoredOutcome, workerId: string): StoredOutcome {
    return "workerId" in outcome && outcome.workerId === "" ? { ...outcome, workerId } : outcome;
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
