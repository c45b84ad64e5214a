/** Hands the work of the demo in through the callers' interface and reports how it ended. */
import { type Millis, sleep, systemClock } from "../../common/clock.js";
import { EntryClient, parseReply } from "../entry-client.js";
import type { DecisionKeeper } from "./decision-keeper.js";
import type { DemoCell } from "./demo-cell.js";
import type { DemoJob, DemoRequest, DemoWork } from "./deployments.js";

const DEADLINE_MS: Millis = 15_000;
const RETRY_MS: Millis = 100;
const STATUS_ERROR = 400;

/** How one piece of work ended. */
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

/** What a run needs. */
interface RunContext {
    readonly cell: DemoCell;
    readonly decisions: DecisionKeeper;
}

/** A job as the callers' interface shows it. */
interface ShownJob {
    readonly jobId: string;
    readonly state: string;
    readonly counts: Readonly<Record<string, number>>;
    readonly tasks: readonly {
        readonly workerId?: string;
        readonly outcome?: { readonly workerId?: string; };
    }[];
}

/**
 * Hands in one piece of work and waits for its end.
 * @param context - The cell and its decisions.
 * @param work - The work.
 * @param index - Chooses the entry that it is handed to.
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
        throw new Error("a cell of the demo has no entries");
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
    const isSame = second.text === first.text &&
        second.headers["x-worker-id"] === first.headers["x-worker-id"];
    const requestId = first.headers["x-request-id"] ?? "";
    return {
        ok: first.status < STATUS_ERROR && isSame,
        what: `HTTP ${first.status}: ${first.text}` +
            (work.isSentTwice ?
                `; sent again with the same key to another entry: ${describeRepeat(second, isSame)}` :
                ""),
        where: describePlaces(context.cell, [worker]),
        why: explainRequest(context.decisions, requestId),
    };
}

function describeRepeat(
    reply: { readonly headers: Readonly<Record<string, string>>; },
    isSame: boolean,
): string {
    const repeated = reply.headers["x-repeated"] === "true" ? "remembered, not run again" : "not remembered";
    return `${repeated}, ${isSame ? "the same answer" : "another answer"}`;
}

function explainRequest(decisions: DecisionKeeper, requestId: string): readonly string[] {
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
        if (submitted.status >= STATUS_ERROR) {
            return { ok: false, what: `HTTP ${submitted.status}: ${submitted.text}`, where: "", why: [] };
        }
        const job = await waitEnded(client, (parseReply(submitted) as ShownJob).jobId);
        const explained = parseReply(await client.request("GET", `/v1/jobs/${job.jobId}/explain`));
        return {
            ok: job.counts["done"] === work.tasks,
            what: `job ${job.jobId}: ${describeCounts(job.counts)}`,
            where: describePlaces(
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

async function waitEnded(client: EntryClient, jobId: string): Promise<ShownJob> {
    const deadline = systemClock.now() + DEADLINE_MS;
    for (;;) {
        const reply = await client.request("GET", `/v1/jobs/${jobId}?waitMs=${DEADLINE_MS}`);
        const job = parseReply(reply) as ShownJob;
        if (reply.status < STATUS_ERROR && (job.state === "ended" || systemClock.now() > deadline)) {
            return job;
        }
        if (systemClock.now() > deadline) {
            return { jobId, state: "unknown", counts: {}, tasks: [] };
        }
        await sleep(systemClock, RETRY_MS);
    }
}

function describeCounts(counts: Readonly<Record<string, number>>): string {
    const parts = Object.entries(counts).filter(([, count]) => count > 0);
    return parts.length === 0 ?
        "no state known" :
        parts.map(([state, count]) => `${count} ${state}`).join(", ");
}

function describePlaces(cell: DemoCell, workerIds: readonly string[]): string {
    const known = workerIds.flatMap(workerId => cell.workers.get(workerId) ?? []);
    const workers = new Set(known.map(({ workerId }) => workerId));
    const domains = new Set(known.map(({ failureDomain }) => failureDomain));
    if (workers.size === 0) {
        return "no worker";
    }
    return workers.size === 1 ?
        `worker ${[...workers].join()} in ${[...domains].join()}` :
        `${workers.size} workers in ${[...domains].sort().join(", ")}`;
}

function explainJob(decisions: DecisionKeeper, jobId: string, lines: readonly string[]): readonly string[] {
    const decision = decisions.findDecision(jobId);
    return decision === undefined ? lines : [...lines, `a task: ${decision.reason}`];
}
