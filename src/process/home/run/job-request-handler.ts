/** Handles callers' requests about jobs: submit, show, wait and cancel. */
import type { HomeReply, HomeRequest } from "../../../connection/messages.js";
import type { JobSpec } from "../../../request/work.js";
import type { HomeEntry, JobRecord, TaskEnd } from "../state/index.js";
import { packRanges } from "../state/index.js";
import { describeMisfit } from "./dispatcher.js";
import type { JobRun } from "./job-run.js";
import { buildOverloaded, convertNotWritten, refuseWith } from "./refusals.js";
import type { TaskEngine } from "./task-engine.js";
import { buildJobReply } from "./views.js";

type SubmitRequest = Extract<HomeRequest, { readonly kind: "submitJob"; }>;
type WaitRequest = Extract<HomeRequest, { readonly kind: "waitJob"; }>;
/** Identifies a job to show or cancel; operators give no team. */
export type JobQuery = Pick<WaitRequest, "jobId" | "team">;

interface PendingSubmit {
    readonly request: SubmitRequest;
    readonly reply: Promise<HomeReply>;
}

/** Handles the requests about the jobs of one slice. */
export class JobRequestHandler {
    private readonly pending = new Map<string, PendingSubmit>();
    private waiters = 0;

    constructor(private readonly engine: TaskEngine) {}

    /** Accepts a job and replies once it is durable. A repeat with the same content gets the existing job. */
    async submitJob(request: SubmitRequest): Promise<HomeReply> {
        const existing = this.engine.core.state.jobs.get(request.jobId);
        if (existing !== undefined) {
            return isSameWork(existing, request) ?
                buildJobReply(existing, this.engine.runs.get(request.jobId), false) :
                makeConflict(request.jobId);
        }
        const pending = this.pending.get(request.jobId);
        if (pending !== undefined) {
            return this.joinPending(pending, request);
        }
        if (this.engine.runs.size + this.pending.size >= this.engine.core.options.maxOpenJobs) {
            return refuseWith(buildOverloaded("too many jobs are open"));
        }
        const reply = this.acceptJob(request);
        this.pending.set(request.jobId, { request, reply });
        return reply;
    }

    showJob({ jobId, team }: JobQuery): HomeReply {
        const record = this.findJob(jobId, team);
        return record === undefined ?
            { kind: "notFound" } :
            buildJobReply(record, this.engine.runs.get(jobId), false);
    }

    /** Replies when the job has ended or `waitMs` has passed; at once if `maxWaiters` callers wait already. */
    async waitJob(request: WaitRequest): Promise<HomeReply> {
        const record = this.findJob(request.jobId, request.team);
        const run = this.engine.runs.get(request.jobId);
        const mayWait = this.waiters < this.engine.core.options.maxWaiters;
        if (record !== undefined && run !== undefined && !record.isEnded() && mayWait) {
            this.waiters++;
            await this.waitForEnd(run, request.waitMs);
            this.waiters--;
        }
        return this.showJob(request);
    }

    /** Cancels a job: once that is durable, its running tasks are told to stop and end with their own outcomes. */
    async cancelJob({ jobId, team }: JobQuery): Promise<HomeReply> {
        const record = this.findJob(jobId, team);
        if (record === undefined) {
            return { kind: "notFound" };
        }
        const run = this.engine.runs.get(jobId);
        if (run === undefined || record.cancelled || record.isEnded()) {
            return buildJobReply(record, run, false);
        }
        run.isCancelling = true;
        const result = await this.engine.core.log.commit(
            [this.buildCancellation(run)],
            this.engine.core.options.writeTimeoutMs,
        );
        switch (result.kind) {
            case "durable":
                this.stopTasks(run);
                return buildJobReply(record, this.engine.runs.get(jobId), false);
            case "notWritten":
                run.isCancelling = false;
                return refuseWith(convertNotWritten(result));
            case "uncertain":
                void result.settled.then(end => {
                    run.isCancelling = false;
                    if (end.kind === "durable") {
                        this.stopTasks(run);
                    }
                });
                return {
                    kind: "uncertain",
                    message: "the cancellation may or may not be written: ask again",
                };
        }
    }

    private async acceptJob(request: SubmitRequest): Promise<HomeReply> {
        const { jobId, caller, spec } = request;
        const { clock } = this.engine.core.context;
        const entry: HomeEntry = { kind: "jobAccepted", jobId, caller, spec, wallMs: clock.wallNow() };
        const result = await this.engine.core.log.commit([entry], this.engine.core.options.writeTimeoutMs);
        switch (result.kind) {
            case "durable": {
                this.pending.delete(jobId);
                return this.openJob(jobId);
            }
            case "notWritten":
                this.pending.delete(jobId);
                return refuseWith(convertNotWritten(result));
            case "uncertain":
                void result.settled.then(end => {
                    this.pending.delete(jobId);
                    if (end.kind === "durable") {
                        this.openJob(jobId);
                    }
                });
                return {
                    kind: "uncertain",
                    message:
                        "the job may or may not be accepted: hand it in again with the same idempotency key",
                };
        }
    }

    private openJob(jobId: string): HomeReply {
        const record = this.engine.core.state.jobs.get(jobId);
        if (record === undefined) {
            return { kind: "notFound" };
        }
        const run = this.engine.openRun(record, false);
        // The reply that accepts a job already says if it can never fit.
        run.reason = describeMisfit(this.engine.selector.listCandidates(), record.spec.resources) ?? "";
        return buildJobReply(record, run, true);
    }

    /** Gives a repeated submission the reply to the first, which is still being written. */
    private async joinPending(pending: PendingSubmit, request: SubmitRequest): Promise<HomeReply> {
        if (!isSameWork(pending.request, request)) {
            return makeConflict(request.jobId);
        }
        const reply = await pending.reply;
        return reply.kind === "job" ? { ...reply, created: false } : reply;
    }

    /** Finds a job; one of another team counts as absent. Operators give no team. */
    private findJob(jobId: string, team: string | undefined): JobRecord | undefined {
        const record = this.engine.core.state.jobs.get(jobId);
        return team === undefined || record?.caller.team === team ? record : undefined;
    }

    private waitForEnd(run: JobRun, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                timer.cancel();
                run.waiters.delete(check);
                resolve();
            };
            const check = () => {
                if (run.record.isEnded() || this.engine.isClosed) {
                    finish();
                }
            };
            const timer = this.engine.core.context.clock.schedule(waitMs, finish);
            run.waiters.add(check);
        });
    }

    private buildCancellation(run: JobRun): HomeEntry {
        // Until the census is complete, any task may have an attempt; the tasks end once it is complete.
        const unassigned = run.recoveredUpdates === undefined ? run.listUnassigned() : [];
        const never = packRanges(unassigned.filter(index => !this.engine.mayHaveStarted(run, index)));
        const maybe = packRanges(unassigned.filter(index => this.engine.mayHaveStarted(run, index)));
        return { kind: "jobCancelled", jobId: run.record.jobId, never, maybe };
    }

    /** Once the cancellation is durable: withdraws attempts and ends tasks that lost theirs while it was written. */
    private stopTasks(run: JobRun): void {
        for (const live of run.live.values()) {
            if (live.phase !== "marking" && live.phase !== "ending") {
                this.engine.withdrawAttempt(live);
            }
        }
        if (run.recoveredUpdates === undefined) {
            endUnassignedAsCancelled(this.engine, run);
        }
        this.engine.closeRunIfEnded(run);
        run.wakeWaiters();
    }
}

/**
 * Ends the tasks of a cancelled job that have no attempt.
 * @param run - A job whose cancellation is durable.
 * @param except - Tasks to leave out, as they end with another outcome.
 */
export function endUnassignedAsCancelled(
    engine: TaskEngine,
    run: JobRun,
    except: readonly number[] = [],
): void {
    const excluded = new Set(except);
    const ends = run.listUnassigned().filter(index => !excluded.has(index)).map((index): TaskEnd => ({
        index,
        outcome: { kind: "cancelled", started: engine.mayHaveStarted(run, index) },
        attempts: run.countAttempts(index),
    }));
    if (ends.length > 0) {
        void engine.endUnassignedTasks(run, ends);
    }
}

function makeConflict(jobId: string): HomeReply {
    const message = `the idempotency key of job ${jobId} was used before with other content: use another key`;
    return { kind: "keyConflict", message };
}

function isSameWork(
    left: Pick<SubmitRequest, "caller" | "spec">,
    right: Pick<SubmitRequest, "caller" | "spec">,
): boolean {
    return left.caller.team === right.caller.team &&
        makeFingerprint(left.spec) === makeFingerprint(right.spec);
}

function makeFingerprint(spec: JobSpec): string {
    const { cpuMillis, memoryMib, accelerators } = spec.resources;
    return JSON.stringify([
        spec.kind,
        spec.branch,
        spec.tasks,
        [cpuMillis, memoryMib, accelerators],
        spec.estimateMs,
        spec.urgent,
        spec.repeatable,
        spec.payload,
    ]);
}
