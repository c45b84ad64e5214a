/** Jobs as text and back: the part of the journal that a snapshot covers. */
import type { Adoption } from "./adoptions.js";
import { buildJob, buildOccurrence } from "./build-job.js";
import { JobBook } from "./job-book.js";
import { JobPhase } from "./job-events.js";
import type { QueueConfigured } from "./job-events.js";
import type { JobSpec } from "./job-spec.js";
import { TaskState } from "./job.js";
import type { Job, Occurrence, Step, Task } from "./job.js";
import type { LossIndex, WorkerLoss } from "./worker-losses.js";

/** A task that differs from a fresh one. */
interface StoredTask {
    readonly index: number;
    readonly state: TaskState;
    readonly run: number;
    readonly failures: number;
    readonly workerId?: string;
    readonly checkpoint: string;
    /** Workers that a run failed on; not in snapshots of earlier versions. */
    readonly failedOn?: readonly string[];
    /** Workers that were lost with it; not in snapshots of earlier versions. */
    readonly losses?: readonly WorkerLoss[];
}

/** A step that differs from a fresh one. */
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
    readonly at: number;
    readonly spec: JobSpec;
    readonly hasStarted: boolean;
    readonly nextOccurrence: number;
    readonly occurrences: readonly StoredOccurrence[];
}

interface StoredEndedJob {
    readonly id: string;
    readonly queue: string;
    readonly at: number;
    readonly phase: JobPhase;
    readonly endedAt: number;
}

/** Worker, epoch, and the address where it is known. */
type StoredAdoption = readonly [string, number, string?];

interface StoredBook {
    readonly open: readonly StoredOpenJob[];
    readonly ended: readonly StoredEndedJob[];
    /** Workers with the epochs of the leaders that adopted them, and their addresses; not in snapshots of earlier versions. */
    readonly adoptions?: readonly StoredAdoption[];
    /** Settings of queues; not in snapshots of earlier versions. */
    readonly queues?: readonly QueueConfigured[];
}

/** Encodes all jobs. */
export function encodeBook(book: JobBook): string {
    const open: StoredOpenJob[] = [];
    const ended: StoredEndedJob[] = [];
    for (const job of book.listAll()) {
        const { id, queue, acceptedAt: at, phase, endedAt, spec } = job;
        if (spec === undefined) {
            ended.push({ id, queue, at, phase, endedAt });
            continue;
        }
        const occurrences = [...job.occurrences.values()].map(convertOccurrence);
        const { hasStarted, nextOccurrence } = job;
        open.push({ id, queue, at, spec, hasStarted, nextOccurrence, occurrences });
    }
    const adoptions = book.adoptions.list(book.listConcernedWorkers()).map(convertAdoption);
    const queues = [...book.listQueues()];
    return JSON.stringify({ open, ended, adoptions, queues } satisfies StoredBook);
}

/**
 * Decodes what {@link encodeBook} made.
 * @param text - Trusted: only this program writes it, under the leader's guard.
 */
export function decodeBook(text: string): JobBook {
    const book = new JobBook();
    const stored = JSON.parse(text) as StoredBook;
    for (const { id, queue, at, phase, endedAt } of stored.ended) {
        const spec: JobSpec = { payload: "", steps: [], repeat: undefined };
        const job = buildJob({ type: "accepted", jobId: id, queue, spec, at });
        book.restore({ ...job, spec: undefined, phase, endedAt });
    }
    for (const [workerId, epoch, address] of stored.adoptions ?? []) {
        book.apply({ type: "adopted", workerId, epoch, address });
    }
    stored.queues?.forEach(queue => book.apply(queue));
    for (const entry of stored.open) {
        book.restore(rebuildOpenJob(entry, book.losses));
    }
    return book;
}

function convertAdoption([workerId, { epoch, address }]: readonly [string, Adoption]): StoredAdoption {
    return address === undefined ? [workerId, epoch] : [workerId, epoch, address];
}

function rebuildOpenJob(entry: StoredOpenJob, index: LossIndex): Job {
    const { id, queue, at, spec, hasStarted, nextOccurrence } = entry;
    const job = buildJob({ type: "accepted", jobId: id, queue, spec, at });
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
        const task = step.tasks[number];
        if (task !== undefined) {
            const { state, run, failures, workerId, checkpoint } = rest;
            Object.assign(task, { state, run, failures, workerId, checkpoint });
            failedOn.forEach(id => task.failedOn.add(id));
            losses.forEach(loss => index.add(task, { ...loss }));
        }
    }
    step.done = step.tasks.filter(task => task.state === TaskState.done).length;
    step.assigned = step.tasks.filter(task => task.state === TaskState.assigned).length;
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
    return { number, failures, lastFailedRun, tasks: step.tasks.filter(isChanged).map(convertTask) };
}

function isChanged(task: Task): boolean {
    // A member of a gang has the gang's checkpoint, also where it was never assigned itself.
    return task.run > 0 || task.state !== TaskState.waiting || task.checkpoint !== "";
}

function convertTask(task: Task): StoredTask {
    const { index, state, run, failures, workerId, checkpoint } = task;
    const isFailedOnNeeded = state !== TaskState.done && task.failedOn.size > 0;
    const failedOn = isFailedOnNeeded ? [...task.failedOn] : undefined;
    const losses = task.losses.length > 0 ? task.losses : undefined;
    return { index, state, run, failures, workerId, checkpoint, failedOn, losses };
}
