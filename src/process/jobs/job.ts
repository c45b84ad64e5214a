/** The state of one job: occurrences, steps and tasks. Only {@link JobRegistry} changes it. */
import type { Resources } from "../../common/resources.js";
import type { JobPhase } from "./job-events.js";
import type { JobSpec, StepSpec } from "./job-spec.js";
import type { TaskList } from "./task-list.js";
import type { WorkerLoss } from "./worker-losses.js";

/** State of a task. */
export const TaskState = {
    waiting: "waiting",
    /** Assigned to a worker; the worker's session tracks whether it already runs there. */
    assigned: "assigned",
    done: "done",
} as const;
export type TaskState = (typeof TaskState)[keyof typeof TaskState];

/** One task of a step. */
export interface Task {
    readonly index: number;
    /** Name of the task in orders to workers and in their reports. */
    readonly name: string;
    state: TaskState;
    /** Number of the latest run; 0 before the first. */
    run: number;
    /** Number of failed runs; for a gang, {@link Step.failures} counts them instead. */
    failures: number;
    workerId: string | undefined;
    /** Checkpoint from which the next run resumes; empty to start from the beginning. */
    checkpoint: string;
    /** Workers on which a run failed; other workers are tried first. */
    failedOn: ReadonlySet<string>;
    /**
     * Workers that were lost with a run of the task, oldest first. Cleared once a run has lasted long enough.
     */
    losses: readonly WorkerLoss[];
}

/** One step of one occurrence. */
export interface Step {
    readonly job: Job;
    readonly occurrence: Occurrence;
    readonly number: number;
    /** Name of the step in requests to the advice service. */
    readonly name: string;
    readonly spec: StepSpec;
    readonly tasks: TaskList;
    waiting: number;
    assigned: number;
    done: number;
    /** Number of failed runs of a gang, each counted once, and the latest of them. */
    failures: number;
    lastFailedRun: number;
    /**
     * Run of a gang that waits for members that could not be started: they may still join it. Not durable:
     * only the leader that started the run has it.
     */
    repairRun: number | undefined;
}

/** One occurrence of a job's steps. */
export interface Occurrence {
    readonly number: number;
    readonly steps: Step[];
    /** Wall-clock time before which none of its steps starts; 0 for immediately. */
    readonly dueAt: number;
    openSteps: number;
}

/** One job. */
export interface Job {
    readonly id: string;
    readonly queue: string;
    /** Client account that submitted it; undefined if it was submitted without a key. */
    readonly account: string | undefined;
    /** Whether its account had used up its rate of jobs, so that it runs behind the work of others. */
    readonly isBeyondRate: boolean;
    /** Undefined once the job has ended (only its end is kept) or its acceptance was withdrawn. */
    spec: JobSpec | undefined;
    /** Wall-clock time of its acceptance. */
    readonly acceptedAt: number;
    phase: JobPhase;
    /** Wall-clock time of its end; 0 while the job is open. */
    endedAt: number;
    /** Whether the end is durable; only then may callers be told about it. */
    isEndDurable: boolean;
    /** Occurrences that are due and not yet done, by number. */
    readonly occurrences: Map<number, Occurrence>;
    /** Number of the next occurrence to open. */
    nextOccurrence: number;
    /** Whether a worker is known to have begun a run. */
    hasStarted: boolean;
    /** Runs that were assigned when the job ended, and that may go on until they are stopped. */
    leftRuns: readonly LeftRun[];
}

/** A run of a job that has ended. */
export interface LeftRun {
    readonly workerId: string;
    readonly task: string;
    readonly demand: Resources;
}

/** Lists a job's assigned runs. */
export function listAssignedRuns(job: Job): readonly LeftRun[] {
    const runs: LeftRun[] = [];
    for (const { tasks, spec: { demand } } of listSteps(job)) {
        for (const { workerId, name: task } of tasks.listIn(TaskState.assigned)) {
            if (workerId !== undefined) {
                runs.push({ workerId, task, demand });
            }
        }
    }
    return runs;
}

/** Lists the steps of a job's occurrences that are due and not yet done. */
export function* listSteps(job: Job): Iterable<Step> {
    for (const occurrence of job.occurrences.values()) {
        yield* occurrence.steps;
    }
}

/** Returns whether all steps that a step depends on are done. */
export function isStepReady(step: Step): boolean {
    return step.spec.after.every(number => {
        const earlier = step.occurrence.steps[number];
        return earlier === undefined || earlier.done === earlier.tasks.length;
    });
}

/** Returns whether a step has a task, or a complete gang, that could be assigned to workers now. */
export function isStepRunnable(step: Step): boolean {
    const isWholeNeeded = step.spec.isGang && step.repairRun === undefined;
    const canStart = isWholeNeeded ? step.waiting === step.tasks.length : step.waiting > 0;
    return canStart && isStepReady(step);
}
