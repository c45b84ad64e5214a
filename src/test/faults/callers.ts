/** Simulated callers and operators of a fault run: they send requests, record the replies and retry. */
import { sleep } from "../../common/clock.js";
import type { Millis } from "../../common/clock.js";
import type { HomeReply } from "../../connection/messages.js";
import type { EditReply, TreeEdit } from "../../process/operator-gateway.js";
import type { Caller, JobSpec } from "../../request/work.js";
import type { CellMember } from "./cell-member.js";
import { Branch, type Cell } from "./cell.js";
import type { AcceptedEdit, SentRequest, SubmittedJob } from "./evidence.js";

const CALLER: Caller = { callerId: "tester", team: "verona" };
const REQUEST_DEADLINE_MS: Millis = 6_000;
const SUBMIT_TIMEOUT_MS: Millis = 5_000;
const QUERY_TIMEOUT_MS: Millis = 2_000;
const RETRY_INTERVAL_MS: Millis = 1_000;
const MAX_EDIT_ATTEMPTS = 10;

/** Properties of a service request. */
export interface RequestOptions {
    readonly repeatable: boolean;
    /** Idempotency key under which the request may be sent again, to any entry. */
    readonly key?: string;
    readonly serviceMs?: Millis;
}

/** Properties of a job. */
export interface JobOptions {
    readonly kind: "batch" | "gang" | "short";
    readonly tasks: number;
    readonly runMs: Millis;
    readonly repeatable: boolean;
    readonly urgent?: boolean;
    readonly cpuMillis?: number;
    /** Whether its tasks fail wherever they run. */
    readonly fails?: boolean;
}

/** All callers and operators of one run. */
export class Callers {
    readonly requests: SentRequest[] = [];
    readonly jobs: SubmittedJob[] = [];
    readonly edits: AcceptedEdit[] = [];
    readonly replies: EditReply[] = [];
    private count = 0;
    private submitting = 0;

    constructor(private readonly cell: Cell) {}

    /** Sends one service request; resolves when it is answered, which may never happen. */
    async sendRequest(member: CellMember, options: RequestOptions): Promise<SentRequest> {
        const requestId = `r${++this.count}`;
        const workId = options.key ?? requestId;
        const now = this.cell.clock.now();
        const expected = `answer of ${workId}`;
        const sent: SentRequest = {
            requestId,
            workId,
            repeatable: options.repeatable,
            memberId: member.memberId,
            sentAt: now,
            deadline: now + REQUEST_DEADLINE_MS,
            expected,
        };
        if (member.state !== "up" || !member.isUp()) {
            return sent;
        }
        this.requests.push(sent);
        const endTracking = member.entry.track();
        const result = await member.entry.callers.runService({
            requestId,
            caller: CALLER,
            branch: Branch.service,
            body: Buffer.from(JSON.stringify({ serviceMs: options.serviceMs ?? 50, answer: expected })),
            contentType: "application/json",
            repeatable: options.repeatable,
            idempotencyKey: options.key,
            deadline: sent.deadline,
        });
        endTracking();
        sent.outcome = result.outcome;
        sent.answeredAt = this.cell.clock.now();
        return sent;
    }

    /** Submits a job and retries at other entries until it is accepted or the attempts are used up. */
    async submit(options: JobOptions, maxAttempts = 30): Promise<SubmittedJob> {
        const job = this.addJob(options);
        this.submitting++;
        for (let index = 0; index < maxAttempts && job.acceptedAt === undefined; index++) {
            const reachable = this.cell.listUp();
            const member = reachable[(this.count + index) % Math.max(1, reachable.length)];
            if (member !== undefined && member.state === "up") {
                await this.submitOnce(job, member);
            }
            if (job.acceptedAt === undefined) {
                await sleep(this.cell.clock, RETRY_INTERVAL_MS);
            }
        }
        this.submitting--;
        return job;
    }

    /** Counts jobs whose submission is still being retried. */
    countSubmitting(): number {
        return this.submitting;
    }

    /** Cancels a job and retries until an entry confirms the cancellation. */
    async cancel(job: SubmittedJob, maxAttempts = 30): Promise<void> {
        for (let index = 0; index < maxAttempts && job.cancelledAt === undefined; index++) {
            const reply = await this.requestHome(job, "cancelJob");
            if (reply?.kind === "job") {
                job.cancelledAt = this.cell.clock.now();
                job.view = reply.job;
                return;
            }
            await sleep(this.cell.clock, RETRY_INTERVAL_MS);
        }
    }

    /** Fetches the state of all accepted jobs that have not been seen to end. */
    async refresh(): Promise<void> {
        await Promise.all(
            this.listOpenJobs().map(async job => {
                const reply = await this.requestHome(job, "showJob");
                if (reply?.kind === "job") {
                    job.view = reply.job;
                }
            }),
        );
    }

    /** Returns the accepted jobs that have not yet been seen to end. */
    listOpenJobs(): readonly SubmittedJob[] {
        return this.jobs.filter(job => job.acceptedAt !== undefined && job.view?.state !== "ended");
    }

    /** Sends an edit to an entry and repeats it under the same id while the reply leaves its outcome open. */
    async edit(
        member: CellMember,
        value: number,
        field = "queueLimit",
        path: string = Branch.batch,
    ): Promise<void> {
        const base = member.entry.operators.readTree()?.version;
        if (base === undefined || !member.isUp()) {
            return;
        }
        const edit: TreeEdit = {
            editId: `edit-${++this.count}`,
            baseVersion: base,
            author: "lucia",
            changes: [{ path, field, value }],
        };
        let reply = await member.entry.operators.editTree(edit);
        for (let attempts = 1; isUndecided(reply) && attempts < MAX_EDIT_ATTEMPTS; attempts++) {
            await sleep(this.cell.clock, RETRY_INTERVAL_MS);
            reply = await member.entry.operators.editTree(edit);
        }
        this.replies.push(reply);
        if (reply.kind === "accepted") {
            this.edits.push({ version: reply.version, acceptedAt: this.cell.clock.now() });
        }
    }

    private addJob(options: JobOptions): SubmittedJob {
        const key = `job-${++this.count}`;
        const expected = `result of ${key}`;
        const spec: JobSpec = {
            kind: options.kind,
            branch: Branch[options.kind],
            tasks: options.tasks,
            resources: { cpuMillis: options.cpuMillis ?? 1_000, memoryMib: 1_024, accelerators: 0 },
            estimateMs: options.runMs,
            urgent: options.urgent ?? false,
            repeatable: options.repeatable,
            payload: JSON.stringify({
                runMs: options.runMs,
                answer: expected,
                fail: options.fails === true ? "its program fails" : undefined,
            }),
            idempotencyKey: key,
        };
        const job: SubmittedJob = { spec, expected, submits: [] };
        this.jobs.push(job);
        return job;
    }

    private async submitOnce(job: SubmittedJob, member: CellMember): Promise<void> {
        const { callers } = member.entry;
        job.jobId = callers.makeJobId(CALLER, job.spec);
        const position = job.submits.push(undefined) - 1;
        const { jobId, spec } = job;
        const reply = await this.waitFor(
            callers.callHome(jobId, { kind: "submitJob", jobId, caller: CALLER, spec }, SUBMIT_TIMEOUT_MS),
            SUBMIT_TIMEOUT_MS * 2,
        );
        job.submits[position] = reply;
        if (reply?.kind === "job") {
            job.acceptedAt = this.cell.clock.now();
            job.view = reply.job;
        }
    }

    private async requestHome(
        job: SubmittedJob,
        kind: "showJob" | "cancelJob",
    ): Promise<HomeReply | undefined> {
        const reachable = this.cell.listUp().filter(member => member.state === "up");
        const member = reachable[this.count++ % Math.max(1, reachable.length)];
        const { jobId } = job;
        if (member === undefined || jobId === undefined) {
            return undefined;
        }
        const request = { kind, jobId, team: CALLER.team } as const;
        const reply = member.entry.callers.callHome(jobId, request, QUERY_TIMEOUT_MS);
        return this.waitFor(reply, QUERY_TIMEOUT_MS * 2);
    }

    /** Resolves to the answer, or to undefined once the limit passes because the entry died or is paused. */
    private waitFor<Value>(answer: Promise<Value>, limit: Millis): Promise<Value | undefined> {
        return Promise.race([answer, sleep(this.cell.clock, limit).then(() => undefined)]);
    }
}

function isUndecided(reply: EditReply): boolean {
    return reply.kind === "uncertain" || reply.kind === "unavailable";
}
