/** What a caller hands in: a job of steps, each of equal tasks. */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";

/** One step of a job. */
export interface StepSpec {
    readonly taskCount: number;
    /** What each task takes of its worker. */
    readonly demand: Resources;
    /** The caller's rough estimate of one task's run time. */
    readonly estimateMs: Millis;
    /** Earlier steps whose tasks must all be done first. */
    readonly after: readonly number[];
    /** Whether tasks save checkpoints that a later run can go on from. */
    readonly savesCheckpoints: boolean;
    /** Whether the tasks work only while all of them run. */
    readonly isGang: boolean;
    /** Whether the tasks are much slower when they run on more than one rack. */
    readonly prefersOneRack: boolean;
    /** Label that a worker must have. */
    readonly requiredLabel: string | undefined;
    /** Rack where the step's data is. */
    readonly dataRack: string | undefined;
    /** Most tasks of the step on one worker. */
    readonly maxPerWorker: number | undefined;
    /** Whether the tasks run until the job is cancelled. */
    readonly isLongRunning: boolean;
    /** Whether the tasks live on processor time that others leave unused. */
    readonly fillsSpareCpu: boolean;
}

/** When the steps of a job run again. */
export interface RepeatSpec {
    readonly count: number;
    /** Wall-clock time of the first occurrence, in milliseconds since 1970. */
    readonly firstRunAt: number;
    readonly intervalMs: Millis;
}

/** A job as it was handed in. */
export interface JobSpec {
    /** Text that is passed to each run. */
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

/** Formats the name that workers know a task by. */
export function formatTaskName(ref: TaskRef): string {
    return `${ref.jobId}.${ref.occurrence}.${ref.step}.${ref.index}`;
}

/** Formats the name that the advice service knows a step by. */
export function formatStepName(ref: Omit<TaskRef, "index">): string {
    return `${ref.jobId}.${ref.occurrence}.${ref.step}`;
}

/**
 * Parses a task's name.
 * @returns Undefined where the text is none.
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
 * Computes the longest chain of a job's steps.
 * @param steps - The steps; `after` names earlier ones only.
 * @param predictMs - What to expect of a caller's estimate.
 */
export function computeChainMs(
    steps: readonly StepSpec[],
    predictMs: (estimateMs: Millis) => Millis,
): Millis {
    const ends: Millis[] = [];
    for (const step of steps) {
        const begin = Math.max(0, ...step.after.map(earlier => ends[earlier] ?? 0));
        ends.push(begin + predictMs(step.estimateMs));
    }
    return Math.max(0, ...ends);
}

/**
 * Computes the longest chain that begins with a step and goes on with those that wait for it.
 * @param steps - The steps; `after` names earlier ones only.
 * @param first - Number of the step.
 * @param predictMs - What to expect of a caller's estimate.
 */
export function computeChainFromMs(
    steps: readonly StepSpec[],
    first: number,
    predictMs: (estimateMs: Millis) => Millis,
): Millis {
    const ends: (Millis | undefined)[] = [];
    let longest = 0;
    for (const [number, step] of steps.entries()) {
        const earlier = step.after.flatMap(before => ends[before] ?? []);
        if (number === first || earlier.length > 0) {
            const end = Math.max(0, ...earlier) + predictMs(step.estimateMs);
            ends[number] = end;
            longest = Math.max(longest, end);
        }
    }
    return longest;
}
