/** The state of one job: occurrences, steps and tasks. Changed only through {@link JobBook}. */
import type { JobPhase } from "./job-events.js";
import type { JobSpec, StepSpec } from "./job-spec.js";
import type { WorkerLoss } from "./worker-losses.js";

/** State of a task. */
export const TaskState = {
    waiting: "waiting",
    /** Given to a worker; whether it runs there yet, the worker's session knows. */
    assigned: "assigned",
    done: "done",
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** One task. */
export interface Task {
    readonly index: number;
    /** Name that workers know it by. */
    readonly name: string;
    state: TaskState;
    /** Number of its last run; 0 before the first. */
    run: number;
    /** Failed runs; of a gang the step counts them. */
    failures: number;
    workerId: string | undefined;
    /** Where the next run goes on from; empty for the beginning. */
    checkpoint: string;
    /** Workers that a run failed on: another one is tried first. */
    readonly failedOn: Set<string>;
    /** Workers that were lost with a run of it, oldest first; none once a run has gone on for long. */
    losses: WorkerLoss[];
}

/** One step of one occurrence. */
export interface Step {
    readonly job: Job;
    readonly occurrence: Occurrence;
    readonly number: number;
    /** Name that the advice service knows it by. */
    readonly name: string;
    readonly spec: StepSpec;
    readonly tasks: readonly Task[];
    waiting: number;
    assigned: number;
    done: number;
    /** Failed runs of a gang, each counted once, and the last of them. */
    failures: number;
    lastFailedRun: number;
    /**
     * Run of a gang that waits for members whose start failed: they may join it. Only the leader that started the run
     * knows of it.
     */
    repairRun: number | undefined;
}

/** One occurrence of a job's steps. */
export interface Occurrence {
    readonly number: number;
    readonly steps: Step[];
    /** Wall-clock time before which nothing of it starts; 0 for at once. */
    readonly dueAt: number;
    openSteps: number;
}

/** One job. */
export interface Job {
    readonly id: string;
    readonly queue: string;
    /** Undefined once the job has ended, of which only the end is kept, or its acceptance was withdrawn. */
    spec: JobSpec | undefined;
    /** Wall-clock time of its acceptance. */
    readonly acceptedAt: number;
    phase: JobPhase;
    /** Wall-clock time of its end; 0 while it goes on. */
    endedAt: number;
    /** Whether callers may be told of its end: only once that is durable. */
    isEndDurable: boolean;
    /** Occurrences that are due and not done, by number. */
    readonly occurrences: Map<number, Occurrence>;
    /** Number of the next occurrence to open. */
    nextOccurrence: number;
    /** Whether a run was ever assigned. */
    hasStarted: boolean;
}

/** Lists the steps of a job's occurrences that are due and not done. */
export function* listSteps(job: Job): Iterable<Step> {
    for (const occurrence of job.occurrences.values()) {
        yield* occurrence.steps;
    }
}

/** Tells whether all steps that a step depends on are done. */
export function isStepReady(step: Step): boolean {
    return step.spec.after.every(number => {
        const earlier = step.occurrence.steps[number];
        return earlier === undefined || earlier.done === earlier.tasks.length;
    });
}

/** Tells whether a step has a task, or a whole gang, that could be given to workers now. */
export function isStepRunnable(step: Step): boolean {
    const isWholeNeeded = step.spec.isGang && step.repairRun === undefined;
    const canStart = isWholeNeeded ? step.waiting === step.tasks.length : step.waiting > 0;
    return canStart && isStepReady(step);
}
