/** Encodes the state of all jobs for a snapshot of the journal, and decodes it. */
import type { Adoption } from "./adoptions.js";
import { buildJob, buildOccurrence } from "./build-job.js";
import { JobPhase } from "./job-events.js";
import type { QueueConfigured } from "./job-events.js";
import { JobRegistry } from "./job-registry.js";
import type { JobSpec } from "./job-spec.js";
import { TaskState } from "./job.js";
import type { Job, LeftRun, Occurrence, Step, Task } from "./job.js";
import type { LossIndex, WorkerLoss } from "./worker-losses.js";

/** A task that differs from its initial state. */
interface StoredTask {
    readonly index: number;
    readonly state: TaskState;
    readonly run: number;
    readonly failures: number;
    readonly workerId?: string;
    readonly checkpoint: string;
    /** Workers on which a run failed. Absent from snapshots of earlier versions. */
    readonly failedOn?: readonly string[];
    /** Workers that were lost with a run of it. Absent from snapshots of earlier versions. */
    readonly losses?: readonly WorkerLoss[];
}

/** A step that differs from its initial state. */
interface StoredStep {
    readonly number: number;
    readonly failures: number;
    readonly lastFailedRun: number;
    readonly tasks: readonly StoredTask[];
}

interface StoredOccurrence {
    readonly number: number;
    readonly steps: readonly StoredStep[];
}

interface StoredOpenJob {
    readonly id: string;
    readonly queue: string;
    readonly account?: string;
    readonly isBeyondRate?: boolean;
    readonly at: number;
    readonly spec: JobSpec;
    readonly hasStarted: boolean;
    readonly nextOccurrence: number;
    readonly occurrences: readonly StoredOccurrence[];
}

interface StoredEndedJob {
    readonly id: string;
    readonly queue: string;
    readonly account?: string;
    readonly at: number;
    readonly phase: JobPhase;
    readonly endedAt: number;
    /** Absent if there are none. */
    readonly leftRuns?: readonly LeftRun[];
}

/**
 * Worker, epoch of the leader that adopted it, the worker's address if known, and whether that leader released it. The
 * last is unknown to earlier versions.
 */
type StoredAdoption = readonly [string, number, string?, true?];

interface StoredJobs {
    readonly open: readonly StoredOpenJob[];
    readonly ended: readonly StoredEndedJob[];
    /** Absent from snapshots of earlier versions. */
    readonly adoptions?: readonly StoredAdoption[];
    /** Settings of queues. Absent from snapshots of earlier versions. */
    readonly queues?: readonly QueueConfigured[];
}

/** Encodes all jobs, the adoptions of workers that they refer to, and the settings of queues as JSON. */
export function encodeJobs(jobs: JobRegistry): string {
    const open: StoredOpenJob[] = [];
    const ended: StoredEndedJob[] = [];
    for (const job of jobs.listAll()) {
        const { id, queue, account, acceptedAt: at, phase, endedAt, spec } = job;
        if (spec === undefined) {
            const leftRuns = job.leftRuns.length > 0 ? job.leftRuns : undefined;
            ended.push({ id, queue, account, at, phase, endedAt, leftRuns });
            continue;
        }
        const occurrences = [...job.occurrences.values()].map(convertOccurrence);
        const { hasStarted, nextOccurrence } = job;
        const isBeyondRate = job.isBeyondRate || undefined;
        open.push({ id, queue, account, isBeyondRate, at, spec, hasStarted, nextOccurrence, occurrences });
    }
    const adoptions = jobs.adoptions.list(jobs.listConcernedWorkers()).map(convertAdoption);
    const queues = [...jobs.listQueues()];
    return JSON.stringify({ open, ended, adoptions, queues } satisfies StoredJobs);
}

/**
 * Decodes the result of {@link encodeJobs}.
 * @param text - Not validated, since only a leader writes it, through {@link GuardedStore}.
 */
export function decodeJobs(text: string): JobRegistry {
    const jobs = new JobRegistry();
    const stored = JSON.parse(text) as StoredJobs;
    for (const { id, queue, account, at, phase, endedAt, leftRuns = [] } of stored.ended) {
        const spec: JobSpec = { payload: "", steps: [], repeat: undefined };
        const job = buildJob({ type: "accepted", jobId: id, queue, account, spec, at });
        jobs.restore({ ...job, spec: undefined, phase, endedAt, leftRuns });
    }
    for (const [workerId, epoch, address, isReleased] of stored.adoptions ?? []) {
        // An unknown address before another field is stored as null.
        jobs.apply({ type: "adopted", workerId, epoch, address: address ?? undefined });
        if (isReleased === true) {
            jobs.apply({ type: "workerReleased", workerId });
        }
    }
    stored.queues?.forEach(queue => jobs.apply(queue));
    for (const entry of stored.open) {
        jobs.restore(rebuildOpenJob(entry, jobs.losses));
    }
    return jobs;
}

function convertAdoption(
    [workerId, { epoch, address, isReleased }]: readonly [string, Adoption],
): StoredAdoption {
    if (isReleased) {
        return [workerId, epoch, address, true];
    }
    return address === undefined ? [workerId, epoch] : [workerId, epoch, address];
}

function rebuildOpenJob(entry: StoredOpenJob, index: LossIndex): Job {
    const { id, queue, account, isBeyondRate, at, spec, hasStarted, nextOccurrence } = entry;
    const job = buildJob({ type: "accepted", jobId: id, queue, account, isBeyondRate, spec, at });
    job.hasStarted = hasStarted;
    job.nextOccurrence = nextOccurrence;
    job.phase = hasStarted ? JobPhase.running : JobPhase.queued;
    for (const stored of entry.occurrences) {
        const occurrence = buildOccurrence(job, spec, stored.number);
        stored.steps.forEach(step => fillStep(occurrence, step, index));
        job.occurrences.set(stored.number, occurrence);
    }
    return job;
}

function fillStep(occurrence: Occurrence, stored: StoredStep, index: LossIndex): void {
    const step = occurrence.steps[stored.number];
    if (step === undefined) {
        return;
    }
    step.failures = stored.failures;
    step.lastFailedRun = stored.lastFailedRun;
    for (const { index: number, failedOn = [], losses = [], ...rest } of stored.tasks) {
        const task = step.tasks.get(number);
        if (task !== undefined) {
            const { state, run, failures, workerId, checkpoint } = rest;
            Object.assign(task, { state, run, failures, workerId, checkpoint });
            if (failedOn.length > 0) {
                task.failedOn = new Set(failedOn);
            }
            losses.forEach(loss => index.add(task, { ...loss }));
        }
    }
    step.done = [...step.tasks.listIn(TaskState.done)].length;
    step.assigned = [...step.tasks.listIn(TaskState.assigned)].length;
    step.waiting = step.tasks.length - step.done - step.assigned;
    if (step.done === step.tasks.length) {
        occurrence.openSteps -= 1;
    }
}

function convertOccurrence(occurrence: Occurrence): StoredOccurrence {
    const steps = occurrence.steps.map(convertStep).filter(step =>
        step.tasks.length > 0 || step.failures > 0
    );
    return { number: occurrence.number, steps };
}

function convertStep(step: Step): StoredStep {
    const { number, failures, lastFailedRun } = step;
    const tasks = [...step.tasks.listTouched()].filter(isChanged).map(convertTask);
    return { number, failures, lastFailedRun, tasks };
}

function isChanged(task: Task): boolean {
    // A gang member has the gang's checkpoint even if it was never assigned itself.
    return task.run > 0 || task.state !== TaskState.waiting || task.checkpoint !== "";
}

function convertTask(task: Task): StoredTask {
    const { index, state, run, failures, workerId, checkpoint } = task;
    const isFailedOnNeeded = state !== TaskState.done && task.failedOn.size > 0;
    const failedOn = isFailedOnNeeded ? [...task.failedOn] : undefined;
    const losses = task.losses.length > 0 ? task.losses : undefined;
    return { index, state, run, failures, workerId, checkpoint, failedOn, losses };
}
