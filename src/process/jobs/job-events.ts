/** The durable events of jobs. Applying them in order rebuilds the state, so a new leader starts from them. */
import type { QueueConfig } from "../../version/cluster-config.js";
import type { JobSpec } from "./job-spec.js";

/** How a run ended, or that it never began. */
export const RunEnd = {
    /** The task is done for good. */
    done: "done",
    /** It failed, by its own fault or its worker's. It counts as an attempt. */
    failed: "failed",
    /** It was stopped by an order. */
    stopped: "stopped",
    /** Its worker's lease ran out. */
    lapsed: "lapsed",
    /** Another member of its gang ended. */
    broken: "broken",
    /** It waited in vain for the other members of its gang. */
    alone: "alone",
    /** It surely never began. */
    notRun: "notRun",
    /** Its worker is gone, or was silent until its lease had surely run out. */
    lost: "lost",
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** What is known of a worker that was lost with a run. */
export const LossKind = {
    /** It was silent until its lease had surely run out: it may be cut off. */
    suspected: "suspected",
    /** It crashed. */
    crashed: "crashed",
} as const;
export type LossKind = (typeof LossKind)[keyof typeof LossKind];

/** State of a job as callers see it. */
export const JobPhase = {
    queued: "queued",
    running: "running",
    completed: "completed",
    failed: "failed",
    cancelled: "cancelled",
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

/** A job was handed in. */
export interface JobAccepted {
    readonly type: "accepted";
    readonly jobId: string;
    readonly queue: string;
    readonly spec: JobSpec;
    /** Wall-clock time, in milliseconds since 1970. */
    readonly at: number;
}

/** A run was given to a worker. It is durable before the worker is told. */
export interface RunAssigned {
    readonly type: "assigned";
    readonly task: string;
    /** Rises with each run of the task. */
    readonly run: number;
    readonly workerId: string;
    /**
     * The leader's, which has adopted the worker. Snapshots leave out adoptions of idle workers, so it is said again here;
     * not in events of earlier versions.
     */
    readonly epoch?: number;
    /** The worker's; set where no adoption that is kept says it. */
    readonly address?: string;
}

/** A run ended. It is durable before the worker is told that the end was seen. */
export interface RunEnded {
    readonly type: "ended";
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    /** Last checkpoint that is known; empty if there is none. */
    readonly checkpoint: string;
    /** Set where the run's worker was lost with it; not in events of earlier versions. */
    readonly loss?: LossKind;
    /** Whether the run had just started when its worker was lost. */
    readonly isEarlyLoss?: boolean;
}

/** A job was cancelled by its caller. */
export interface JobCancelled {
    readonly type: "cancelled";
    readonly jobId: string;
    readonly at: number;
}

/** A job has completed or failed. */
export interface JobClosed {
    readonly type: "closed";
    readonly jobId: string;
    readonly phase: "completed" | "failed";
    readonly at: number;
}

/** An ended job is no longer kept. */
export interface JobForgotten {
    readonly type: "forgotten";
    readonly jobId: string;
}

/** A leader is about to extend leases on a worker for the first time. It is durable before it does. */
export interface WorkerAdopted {
    readonly type: "adopted";
    readonly workerId: string;
    /** The leader's. */
    readonly epoch: number;
    /** The worker's, where a later life of it will answer; not in events of earlier versions. */
    readonly address?: string;
}

/** A worker that was lost with runs is known to have crashed: another life answers at its address. */
export interface WorkerCrashed {
    readonly type: "workerCrashed";
    readonly workerId: string;
}

/** A worker that seemed lost with runs goes on: it was cut off. */
export interface WorkerSurvived {
    readonly type: "workerSurvived";
    readonly workerId: string;
}

/** A task has run for so long that its earlier losses say nothing about it. */
export interface TaskCleared {
    readonly type: "taskCleared";
    readonly task: string;
}

/** The settings that a queue's jobs follow from now on, also when a later configuration drops it. */
export interface QueueConfigured {
    readonly type: "queueConfigured";
    /** Version of the configuration that they are from. */
    readonly version: number;
    readonly queue: QueueConfig;
}

/** A queue that was dropped has no open jobs any more: its settings are no longer kept. */
export interface QueueForgotten {
    readonly type: "queueForgotten";
    readonly name: string;
}

/** A durable event. */
export type JobEvent =
    | JobAccepted
    | RunAssigned
    | RunEnded
    | JobCancelled
    | JobClosed
    | JobForgotten
    | WorkerAdopted
    | WorkerCrashed
    | WorkerSurvived
    | TaskCleared
    | QueueConfigured
    | QueueForgotten;
