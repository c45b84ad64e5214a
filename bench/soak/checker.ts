/**
 * Checks the scheduler's guarantees during a run, from the observations of callers and workers only.
 *
 * @remarks Workers report each action as it happens, so these observations are in true order. Callers' responses are
 * observed when they arrive, which is later than they were sent; each check allows for that delay.
 */
import type { Clock, Millis } from "../../src/common/clock.js";
import { isWithin } from "../../src/common/resources.js";
import type { Resources } from "../../src/common/resources.js";
import type { JobPhase, RunEnd } from "../../src/process/jobs/job-events.js";
import { formatTaskName, parseTaskName } from "../../src/process/jobs/job-spec.js";
import type { StepSpec, TaskRef } from "../../src/process/jobs/job-spec.js";
import type { JobSource } from "./job-source.js";

/** The guarantees that are checked. */
export const SoakGuarantee = {
    /** A worker's tasks never exceed its capacity. */
    capacity: "capacity",
    /** A task runs on one worker at a time. */
    onePlace: "onePlace",
    /** A task whose successful end is durable never runs again. */
    neverAgain: "neverAgain",
    /** A step starts only after the steps that it depends on. */
    order: "order",
    /** Only submitted tasks run, with the submitted payload, and none starts long after its job was cancelled. */
    asked: "asked",
    /** A job whose every submission was refused never runs. */
    trueRefusal: "trueRefusal",
    /** The job states shown to callers are correct, and a final state never changes. */
    trueState: "trueState",
    /** An accepted job is never unknown, and it ends. */
    kept: "kept",
    /** No request with a key that no account has, or that was revoked for long enough, is served. */
    access: "access",
} as const;
export type SoakGuarantee = (typeof SoakGuarantee)[keyof typeof SoakGuarantee];

/** A guarantee that was violated. */
export interface SoakViolation {
    readonly guarantee: SoakGuarantee;
    readonly atMs: Millis;
    readonly message: string;
}

/** Job state as shown to a caller. */
export type ShownState = JobPhase | "unknownJob";
/** States that a job never leaves. */
type FinalState = Extract<JobPhase, "completed" | "failed" | "cancelled">;

/** How long a task may still start after its job's cancellation was acknowledged, as orders may be in flight. */
const CANCEL_LIMIT_MS: Millis = 4_000;

/** Longest time from a revocation to the last request that its key may make, in the nodes' settings. */
export const REVOCATION_MS: Millis = 2_500;

interface JobEvidence {
    accepted: boolean;
    refusals: number;
    /** Submissions that got no response. */
    unknowns: number;
    cancelSentAt: Millis | undefined;
    cancelledAt: Millis | undefined;
    starts: number;
    /** Names of the tasks that have ended as done. */
    readonly done: Set<string>;
    finalState: FinalState | undefined;
}

/** Collects observations and records every violation of a guarantee. */
export class SoakChecker {
    readonly violations: SoakViolation[] = [];
    private readonly evidence = new Map<string, JobEvidence>();
    /** IDs of the workers that run each task, by task name. */
    private readonly running = new Map<string, Set<string>>();
    /** Tasks whose successful end was acknowledged to a worker as durable. */
    private readonly acknowledged = new Set<string>();
    private revokedAt: Millis | undefined;
    private readonly begin: Millis;

    /**
     * @param clock - Timestamps the observations.
     * @param jobs - Source of the jobs that callers submit.
     */
    constructor(private readonly clock: Clock, private readonly jobs: JobSource) {
        this.begin = clock.now();
    }

    /** Counts jobs by the outcomes that callers have seen. */
    countJobs(): Readonly<Record<"accepted" | "refused" | "ended", number>> {
        const all = [...this.evidence.values()];
        return {
            accepted: all.filter(job => job.accepted).length,
            refused: all.filter(job => !job.accepted && job.refusals > 0).length,
            ended: all.filter(job => job.finalState !== undefined).length,
        };
    }

    /** Records that the store acknowledged a revocation, or that the key is about to be restored. */
    observeRevocation(revokedAt: Millis | undefined): void {
        this.revokedAt = revokedAt;
    }

    /** Records that a request with a probed key was served. */
    observeKeyServed(key: "revocable" | "unknown", sentAt: Millis): void {
        const isLate = this.revokedAt !== undefined && sentAt > this.revokedAt + REVOCATION_MS;
        if (key === "unknown" || isLate) {
            this.report("access", `a request with the ${key} key was served`);
        }
    }

    /** Records the response to a submission. */
    observeSubmit(jobId: string, answer: "accepted" | "refused" | "unknown"): void {
        const job = this.getEvidence(jobId);
        job.accepted ||= answer === "accepted";
        job.refusals += answer === "refused" ? 1 : 0;
        job.unknowns += answer === "unknown" ? 1 : 0;
    }

    /** Records that a caller is about to send a cancellation. */
    observeCancelSent(jobId: string): void {
        this.getEvidence(jobId).cancelSentAt ??= this.clock.now();
    }

    /** Records that a cancellation was acknowledged. */
    observeCancelled(jobId: string): void {
        this.getEvidence(jobId).cancelledAt ??= this.clock.now();
    }

    /** Checks and records a job state shown to a caller. */
    observeState(jobId: string, state: ShownState): void {
        const job = this.getEvidence(jobId);
        if (state === "unknownJob") {
            if (job.accepted) {
                this.report("kept", `accepted job ${jobId} is shown as unknown`);
            }
            return;
        }
        if (job.finalState !== undefined && state !== job.finalState) {
            this.report("trueState", `job ${jobId} was ${job.finalState} and is shown as ${state}`);
        }
        if (isFinal(state)) {
            this.checkFinal(jobId, job, state);
            job.finalState = state;
        }
    }

    /** Checks and records the start of a run on a worker. */
    observeStart(
        workerId: string,
        task: string,
        payload: string,
        used: Resources,
        workerCapacity: Resources,
    ): void {
        if (!isWithin(used, workerCapacity)) {
            this.report(
                "capacity",
                `${workerId} was given ${task} beyond its capacity: ${JSON.stringify(used)}`,
            );
        }
        const ref = parseTaskName(task);
        const job = ref && this.jobs.find(ref.jobId);
        const step = ref && job?.spec.steps[ref.step];
        if (ref === undefined || step === undefined || job?.spec.payload !== payload) {
            this.report("asked", `${workerId} was told to start ${task}, which nobody asked for`);
            return;
        }
        this.checkPlaces(workerId, task, ref, step);
        this.checkOrder(task, ref, step);
        this.checkCancelled(task, ref);
        this.getEvidence(ref.jobId).starts += 1;
    }

    /** Records the end of a run, be it on its own or by the loss of its worker. */
    observeEnd(workerId: string, task: string, end: RunEnd): void {
        this.running.get(task)?.delete(workerId);
        const ref = parseTaskName(task);
        if (ref !== undefined && end === "done") {
            this.getEvidence(ref.jobId).done.add(task);
        }
    }

    /** Records that a worker was told that a task's successful end is durable. */
    observeAcknowledged(task: string): void {
        this.acknowledged.add(task);
    }

    /** Makes the checks that need the end of the soak run. */
    finish(): void {
        for (const [jobId, job] of this.evidence) {
            const wasRefused = job.refusals > 0 && job.unknowns === 0 && !job.accepted;
            if (wasRefused && job.starts > 0) {
                this.report("trueRefusal", `job ${jobId} was refused each time and has run`);
            }
            if (job.accepted && job.finalState === undefined) {
                this.report("kept", `accepted job ${jobId} has not ended`);
            }
        }
    }

    private checkPlaces(workerId: string, task: string, ref: TaskRef, step: StepSpec): void {
        const places = this.running.get(task) ?? new Set();
        if (places.size > 0) {
            this.report("onePlace", `${task} was started on ${workerId} and runs on ${[...places].join()}`);
        }
        this.running.set(task, places.add(workerId));
        if (this.acknowledged.has(task)) {
            this.report("neverAgain", `${task} was started on ${workerId} after its end was durable`);
        }
        const limit = step.maxPerWorker ?? Infinity;
        const siblings = listTaskNames(ref, step)
            .filter(name => this.running.get(name)?.has(workerId) === true);
        if (siblings.length > limit) {
            this.report(
                "capacity",
                `${workerId} runs ${siblings.length} tasks of a step that allows ${limit}`,
            );
        }
    }

    private checkOrder(task: string, ref: TaskRef, step: StepSpec): void {
        const open = step.after.find(earlier => !this.isStepDone(ref.jobId, earlier));
        if (open !== undefined) {
            this.report("order", `${task} was started before step ${open} was done`);
        }
    }

    private checkCancelled(task: string, ref: TaskRef): void {
        const { cancelledAt } = this.getEvidence(ref.jobId);
        if (cancelledAt !== undefined && this.clock.now() - cancelledAt > CANCEL_LIMIT_MS) {
            this.report("asked", `${task} was started long after its job was cancelled`);
        }
    }

    private checkFinal(jobId: string, job: JobEvidence, state: FinalState): void {
        const known = this.jobs.find(jobId);
        const steps = known?.spec.steps ?? [];
        const isDone = steps.every((...[, number]) => this.isStepDone(jobId, number));
        const isTrue = {
            completed: isDone,
            failed: known?.isHopeless === true,
            cancelled: job.cancelSentAt !== undefined,
        }[state];
        if (!isTrue && job.finalState === undefined) {
            this.report("trueState", `job ${jobId} is shown as ${state} without cause`);
        }
    }

    /** A gang is done as soon as one of its members has ended as done. */
    private isStepDone(jobId: string, number: number): boolean {
        const step = this.jobs.find(jobId)?.spec.steps[number];
        const done = this.evidence.get(jobId)?.done;
        if (step === undefined || done === undefined) {
            return false;
        }
        const names = listTaskNames({ jobId, occurrence: 0, step: number }, step);
        return step.isGang ? names.some(name => done.has(name)) : names.every(name => done.has(name));
    }

    private getEvidence(jobId: string): JobEvidence {
        const known = this.evidence.get(jobId);
        if (known !== undefined) {
            return known;
        }
        const created: JobEvidence = {
            accepted: false,
            refusals: 0,
            unknowns: 0,
            cancelSentAt: undefined,
            cancelledAt: undefined,
            starts: 0,
            done: new Set(),
            finalState: undefined,
        };
        this.evidence.set(jobId, created);
        return created;
    }

    private report(violated: SoakGuarantee, message: string): void {
        this.violations.push({
            guarantee: violated,
            atMs: Math.round(this.clock.now() - this.begin),
            message,
        });
    }
}

export function isFinal(state: ShownState): state is FinalState {
    return state === "completed" || state === "failed" || state === "cancelled";
}

function listTaskNames(ref: Omit<TaskRef, "index">, step: StepSpec): readonly string[] {
    return Array.from({ length: step.taskCount }, (...[, index]) => formatTaskName({ ...ref, index }));
}
