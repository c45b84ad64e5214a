/** Submits the demo's work through the caller API and reports its outcome. */
import { type Millis, sleep, systemClock } from "../../common/clock.js";
import { EntryClient, parseReply } from "../entry-client.js";
import type { DecisionRecorder } from "./decision-recorder.js";
import type { DemoCell } from "./demo-cell.js";
import type { DemoJob, DemoRequest, DemoWork } from "./deployments.js";

const DEADLINE_MS: Millis = 15_000;
const RETRY_INTERVAL_MS: Millis = 100;
const FIRST_ERROR_STATUS = 400;

/** Outcome of one piece of work. */
export interface WorkReport {
    readonly title: string;
    readonly kind: string;
    readonly branch: string;
    readonly team: string;
    readonly entry: string;
    readonly ok: boolean;
    /** What happened. */
    readonly what: string;
    /** Workers and failure domains. */
    readonly where: string;
    readonly why: readonly string[];
    readonly tookMs: number;
}

/** The cell to run work on, and the recorded decisions. */
interface RunContext {
    readonly cell: DemoCell;
    readonly decisions: DecisionRecorder;
}

/** A job as returned by the caller API. */
interface JobView {
    readonly jobId: string;
    readonly state: string;
    readonly counts: Readonly<Record<string, number>>;
    readonly tasks: readonly {
        readonly workerId?: string;
        readonly outcome?: { readonly workerId?: string; };
    }[];
}

/**
 * Submits one piece of work and waits for its end.
 * @param index - Selects the entry that receives the work, modulo the number of entries.
 */
export async function runWork(context: RunContext, work: DemoWork, index: number): Promise<WorkReport> {
    const startedAt = systemClock.now();
    const result = work.kind === "request" ?
        await runRequest(context, work, index) :
        await runJob(context, work, index);
    return {
        title: work.title,
        kind: work.kind === "job" ? work.jobKind : "service",
        branch: work.branch,
        team: work.team,
        entry: getEntry(context.cell, index).self.memberId,
        tookMs: Math.round(systemClock.now() - startedAt),
        ...result,
    };
}

type WorkResult = Pick<WorkReport, "ok" | "what" | "where" | "why">;

function getEntry(cell: DemoCell, index: number) {
    const entry = cell.entries[index % cell.entries.length];
    if (entry === undefined) {
        throw new Error("demo cell has no entries");
    }
    return entry;
}

function createClient(cell: DemoCell, team: string, index: number): EntryClient {
    return new EntryClient({ url: getEntry(cell, index).self.httpUrl, token: cell.tokens.get(team) });
}

async function runRequest(context: RunContext, work: DemoRequest, index: number): Promise<WorkResult> {
    const headers = {
        "x-repeatable": String(work.repeatable),
        "x-deadline-ms": String(DEADLINE_MS),
        ...(work.isSentTwice ? { "idempotency-key": `demo-${work.title.replaceAll(" ", "-")}` } : {}),
    };
    const path = `/v1/services/${work.branch}`;
    const first = await sendTo(context.cell, work, index, path, headers);
    const second = work.isSentTwice ? await sendTo(context.cell, work, index + 1, path, headers) : first;
    const worker = first.headers["x-worker-id"] ?? "";
    const isSameReply = second.text === first.text &&
        second.headers["x-worker-id"] === first.headers["x-worker-id"];
    const requestId = first.headers["x-request-id"] ?? "";
    return {
        ok: first.status < FIRST_ERROR_STATUS && isSameReply,
        what: `HTTP ${first.status}: ${first.text}` +
            (work.isSentTwice ?
                `; sent again with the same key to another entry: ${describeRepeat(second, isSameReply)}` :
                ""),
        where: describeWorkers(context.cell, [worker]),
        why: explainRequest(context.decisions, requestId),
    };
}

function describeRepeat(
    reply: { readonly headers: Readonly<Record<string, string>>; },
    isSameReply: boolean,
): string {
    const repeated = reply.headers["x-repeated"] === "true" ? "remembered, not run again" : "not remembered";
    return `${repeated}, ${isSameReply ? "the same answer" : "another answer"}`;
}

function explainRequest(decisions: DecisionRecorder, requestId: string): readonly string[] {
    const decision = decisions.findDecision(requestId);
    return decision === undefined ? [] : [decision.reason];
}

async function sendTo(
    cell: DemoCell,
    work: DemoRequest,
    index: number,
    path: string,
    headers: Readonly<Record<string, string>>,
) {
    const client = createClient(cell, work.team, index);
    try {
        return await client.request("POST", path, work.body, headers);
    }
    finally {
        await client.close();
    }
}

async function runJob(context: RunContext, work: DemoJob, index: number): Promise<WorkResult> {
    const client = createClient(context.cell, work.team, index);
    try {
        const submitted = await client.request("POST", "/v1/jobs", {
            kind: work.jobKind,
            branch: work.branch,
            tasks: work.tasks,
            repeatable: true,
            payload: JSON.stringify({ runMs: work.runMs, answer: "computed" }),
        }, { "idempotency-key": `demo-${work.title.replaceAll(" ", "-")}` });
        if (submitted.status >= FIRST_ERROR_STATUS) {
            return { ok: false, what: `HTTP ${submitted.status}: ${submitted.text}`, where: "", why: [] };
        }
        const job = await waitForEnd(client, (parseReply(submitted) as JobView).jobId);
        const explained = parseReply(await client.request("GET", `/v1/jobs/${job.jobId}/explain`));
        return {
            ok: job.counts["done"] === work.tasks,
            what: `job ${job.jobId}: ${describeCounts(job.counts)}`,
            where: describeWorkers(
                context.cell,
                job.tasks.map(task => task.outcome?.workerId ?? task.workerId ?? ""),
            ),
            why: explainJob(
                context.decisions,
                job.jobId,
                (explained as { lines?: readonly string[]; }).lines ?? [],
            ),
        };
    }
    finally {
        await client.close();
    }
}

async function waitForEnd(client: EntryClient, jobId: string): Promise<JobView> {
    const deadline = systemClock.now() + DEADLINE_MS;
    for (;;) {
        const reply = await client.request("GET", `/v1/jobs/${jobId}?waitMs=${DEADLINE_MS}`);
        const job = parseReply(reply) as JobView;
        if (reply.status < FIRST_ERROR_STATUS && (job.state === "ended" || systemClock.now() > deadline)) {
            return job;
        }
        if (systemClock.now() > deadline) {
            return { jobId, state: "unknown", counts: {}, tasks: [] };
        }
        await sleep(systemClock, RETRY_INTERVAL_MS);
    }
}

function describeCounts(counts: Readonly<Record<string, number>>): string {
    const parts = Object.entries(counts).filter(([, count]) => count > 0);
    return parts.length === 0 ?
        "no state known" :
        parts.map(([state, count]) => `${count} ${state}`).join(", ");
}

function describeWorkers(cell: DemoCell, workerIds: readonly string[]): string {
    const knownWorkers = workerIds.flatMap(workerId => cell.workers.get(workerId) ?? []);
    const workers = new Set(knownWorkers.map(({ workerId }) => workerId));
    const domains = new Set(knownWorkers.map(({ failureDomain }) => failureDomain));
    if (workers.size === 0) {
        return "no worker";
    }
    return workers.size === 1 ?
        `worker ${[...workers].join()} in ${[...domains].join()}` :
        `${workers.size} workers in ${[...domains].sort().join(", ")}`;
}

function explainJob(decisions: DecisionRecorder, jobId: string, lines: readonly string[]): readonly string[] {
    const decision = decisions.findDecision(jobId);
    return decision === undefined ? lines : [...lines, `a task: ${decision.reason}`];
}
