/** The specification of a job as submitted: steps, each of identical tasks. */
import type { Millis } from "../../common/clock.js";
import { computeMax } from "../../common/lists.js";
import type { Resources } from "../../common/resources.js";

/** One step of a job. */
export interface StepSpec {
    readonly taskCount: number;
    /** Resources that each task uses on its worker. */
    readonly demand: Resources;
    /** The caller's rough estimate of the run time of one task. */
    readonly estimateMs: Millis;
    /** Numbers of earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** Whether tasks save checkpoints from which a later run can resume. */
    readonly savesCheckpoints: boolean;
    /** Whether the tasks make progress only while all of them run. */
    readonly isGang: boolean;
    /** Whether the tasks are much slower when they run on more than one rack. */
    readonly prefersOneRack: boolean;
    /** Label that a worker must have to run the tasks. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the step's data. */
    readonly dataRack: string | undefined;
    /** Maximum number of the step's tasks on one worker. */
    readonly maxPerWorker: number | undefined;
    /** Whether the tasks run until the job is cancelled. */
    readonly isLongRunning: boolean;
    /** Whether the tasks use only processor time that other tasks leave unused. */
    readonly fillsSpareCpu: boolean;
}

/** Schedule of a job whose steps run repeatedly. */
export interface RepeatSpec {
    readonly count: number;
    /** Wall-clock time of the first occurrence, in milliseconds since 1970. */
    readonly firstRunAt: number;
    readonly intervalMs: Millis;
}

/** A job as submitted. */
export interface JobSpec {
    /** Opaque text that is passed to each run. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly repeat: RepeatSpec | undefined;
}

/** Identity of a task: job, occurrence, step and index. */
export interface TaskRef {
    readonly jobId: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Formats the name of a task in orders to workers and in their reports. */
export function formatTaskName(ref: TaskRef): string {
    return `${ref.jobId}.${ref.occurrence}.${ref.step}.${ref.index}`;
}

/** Formats the name of a step in requests to the advice service. */
export function formatStepName(ref: Omit<TaskRef, "index">): string {
    return `${ref.jobId}.${ref.occurrence}.${ref.step}`;
}

/**
 * Parses the name of a task.
 * @returns Undefined if the text is not the name of a task.
 */
export function parseTaskName(name: string): TaskRef | undefined {
    const match = TASK_NAME_PATTERN.exec(name);
    if (!match) {
        return undefined;
    }
    const [, jobId = "", occurrence, step, index] = match;
    return { jobId, occurrence: Number(occurrence), step: Number(step), index: Number(index) };
}

const TASK_NAME_PATTERN = /^([^.]+)\.(\d{1,9})\.(\d{1,9})\.(\d{1,9})$/;

/**
 * Computes the length of the critical path through a job's steps.
 * @param steps - All steps of the job; `after` refers to earlier steps only.
 * @param predictMs - Converts a caller's estimate to the expected run time.
 */
export function computeCriticalPathMs(
    steps: readonly StepSpec[],
    predictMs: (estimateMs: Millis) => Millis,
): Millis {
    const ends: Millis[] = [];
    for (const step of steps) {
        const begin = computeMax(step.after.map(earlier => ends[earlier] ?? 0), 0);
        ends.push(begin + predictMs(step.estimateMs));
    }
    return computeMax(ends, 0);
}

/**
 * Computes, for each step, the length of the critical path that starts with it and continues with the steps that depend
 * on it.
 * @param steps - All steps of the job; `after` refers to earlier steps only.
 * @param predictMs - Converts a caller's estimate to the expected run time.
 */
export function computeCriticalPathsFromMs(
    steps: readonly StepSpec[],
    predictMs: (estimateMs: Millis) => Millis,
): readonly Millis[] {
    const fromMs: Millis[] = steps.map(() => 0);
    const longestAfterMs: Millis[] = steps.map(() => 0);
    for (const [back, { after, estimateMs }] of [...steps].reverse().entries()) {
        const number = steps.length - 1 - back;
        const length = predictMs(estimateMs) + (longestAfterMs[number] ?? 0);
        fromMs[number] = length;
        for (const earlier of after) {
            longestAfterMs[earlier] = Math.max(longestAfterMs[earlier] ?? 0, length);
        }
    }
    return fromMs;
}
