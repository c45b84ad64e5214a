/** Units of work that callers submit: service requests, jobs and the tasks of jobs. */
import type { Millis } from "../common/clock.js";
import type { Outcome } from "../common/outcome.js";
import type { Resources } from "../common/resources.js";

/** Kinds of work; the settings tree sets the policy for each branch of a kind. */
export const WorkKind = {
    /** A request answered by a running service. */
    service: "service",
    /** Independent tasks, placed for dense packing. */
    batch: "batch",
    /** Tasks that all start together or not at all. */
    gang: "gang",
    /** A few small tasks for which waiting time matters most. */
    short: "short",
} as const;
export type WorkKind = (typeof WorkKind)[keyof typeof WorkKind];

/** Kinds of work that are submitted as jobs. */
export type JobKind = Exclude<WorkKind, "service">;

/** The caller, as identified by its token. */
export interface Caller {
    readonly callerId: string;
    readonly team: string;
}

/** A validated service request. */
export interface ServiceRequest {
    readonly requestId: string;
    readonly caller: Caller;
    /** Path of the branch in the settings tree, such as `services/catalogo-beni`. */
    readonly branch: string;
    readonly body: Uint8Array;
    readonly contentType: string;
    /** Whether it may be run again once it provably did not run or has ended. */
    readonly repeatable: boolean;
    readonly idempotencyKey?: string;
    /** Instant on this entry's clock by which the caller wants the answer. */
    readonly deadline: Millis;
}

/** A validated job. */
export interface JobSpec {
    readonly kind: JobKind;
    readonly branch: string;
    /** Number of tasks, at least 1. */
    readonly tasks: number;
    /** Resources that each task demands. */
    readonly resources: Resources;
    /** Run time of a task as declared by the caller; often inaccurate. */
    readonly estimateMs?: Millis;
    readonly urgent: boolean;
    readonly repeatable: boolean;
    /** Input for the workers; opaque to the scheduler. */
    readonly payload: string;
    readonly idempotencyKey?: string;
}

/** State of a job as its caller sees it. */
export const JobState = {
    waiting: "waiting",
    running: "running",
    ended: "ended",
} as const;
export type JobState = (typeof JobState)[keyof typeof JobState];

/** A job as its caller sees it. */
export interface JobView {
    readonly jobId: string;
    readonly caller: Caller;
    readonly spec: JobSpec;
    readonly state: JobState;
    readonly submittedWallMs: number;
    /** Number of tasks by state; the sum is `spec.tasks`. */
    readonly counts: {
        readonly waiting: number;
        readonly running: number;
        readonly done: number;
        readonly failed: number;
        readonly notRun: number;
        readonly mayHaveRun: number;
        readonly cancelled: number;
    };
    /** The first tasks with their outcomes and workers, at most {@link MAX_TASKS_SHOWN}. */
    readonly tasks: readonly TaskView[];
}

/** Largest number of tasks listed in a {@link JobView}. */
export const MAX_TASKS_SHOWN = 100;

/** A task as its caller sees it. */
export interface TaskView {
    readonly index: number;
    readonly state: "waiting" | "running" | "ended";
    readonly workerId?: string;
    readonly outcome?: Outcome;
    readonly attempts: number;
    /** What a waiting task waits for, as text. */
    readonly waitsFor?: string;
}
