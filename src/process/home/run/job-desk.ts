/** What callers ask about jobs: handing in, showing, waiting, cancelling. */
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
/** A question about one job. */
export type JobQuestion = Pick<WaitRequest, "jobId" | "team">;

interface PendingSubmit {
    readonly request: SubmitRequest;
    readonly reply: Promise<HomeReply>;
}

/** Jobs of one slice, towards callers. */
export class JobDesk {
    private readonly pending = new Map<string, PendingSubmit>();
    private waiters = 0;

    constructor(private readonly engine: TaskEngine) {}

    /** Accepts a job; answers only once it is durable. */
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

    showJob({ jobId, team }: JobQuestion): HomeReply {
        const record = this.findJob(jobId, team);
        return record === undefined ?
            { kind: "notFound" } :
            buildJobReply(record, this.engine.runs.get(jobId), false);
    }

    /** Answers when the job has ended or the time is over. */
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

    /** Cancels a job; what runs is stopped, and ends as it ends. */
    async cancelJob({ jobId, team }: JobQuestion): Promise<HomeReply> {
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
        // Work that can never fit is told with the very answer that accepts it.
        run.reason = describeMisfit(this.engine.choice.listCandidates(), record.spec.resources) ?? "";
        return buildJobReply(record, run, true);
    }

    private async joinPending(pending: PendingSubmit, request: SubmitRequest): Promise<HomeReply> {
        if (!isSameWork(pending.request, request)) {
            return makeConflict(request.jobId);
        }
        const reply = await pending.reply;
        return reply.kind === "job" ? { ...reply, created: false } : reply;
    }

    /** Jobs of another team are as good as absent; operators give no team. */
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
        // Before the census is complete nothing is known to be free: those tasks end when it is.
        const free = run.found === undefined ? run.listFree() : [];
        const never = packRanges(free.filter(index => !this.engine.mayHaveStarted(run, index)));
        const maybe = packRanges(free.filter(index => this.engine.mayHaveStarted(run, index)));
        return { kind: "jobCancelled", jobId: run.record.jobId, never, maybe };
    }

    /** After the cancellation is durable: attempts are withdrawn, and tasks that came free meanwhile end. */
    private stopTasks(run: JobRun): void {
        for (const live of run.live.values()) {
            if (live.phase !== "marking" && live.phase !== "ending") {
                this.engine.withdrawAttempt(live);
            }
        }
        if (run.found === undefined) {
            endFreeAsCancelled(this.engine, run);
        }
        this.engine.closeRunIfEnded(run);
        run.wakeWaiters();
    }
}

/**
 * Ends the tasks of a cancelled job that have no attempt.
 * @param engine - Attempts of the slice.
 * @param run - A job whose cancellation is durable.
 * @param except - Tasks that end in another way.
 */
export function endFreeAsCancelled(engine: TaskEngine, run: JobRun, except: readonly number[] = []): void {
    const left = new Set(except);
    const ends = run.listFree().filter(index => !left.has(index)).map((index): TaskEnd => ({
        index,
        outcome: { kind: "cancelled", started: engine.mayHaveStarted(run, index) },
        attempts: run.countTries(index),
    }));
    if (ends.length > 0) {
        void engine.endFreeTasks(run, ends);
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
