/** The durable events of jobs. A new leader rebuilds the state of all jobs by applying them in order. */
import type { QueueConfig } from "../../version/cluster-config.js";
import type { JobSpec } from "./job-spec.js";

/** How a run ended, or that it never started. */
export const RunEnd = {
    /** The task is done and will not run again. */
    done: "done",
    /**
     * The run failed, through its own fault or its worker's. It counts towards the queue's limit of attempts.
     */
    failed: "failed",
    /** The run was stopped by an order of the leader. */
    stopped: "stopped",
    /** The lease of its worker expired. */
    lapsed: "lapsed",
    /** Another member of its gang ended, so this one was stopped. */
    broken: "broken",
    /** The other members of its gang did not start in time. */
    alone: "alone",
    /** The run certainly never started. */
    notRun: "notRun",
    /** Its worker is gone, or did not answer until its lease had certainly expired. */
    lost: "lost",
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

/** Ends of runs that may never have begun. */
const ENDS_WITHOUT_START: ReadonlySet<RunEnd> = new Set([RunEnd.notRun, RunEnd.lost]);

/** Returns whether the end of a run proves that its worker had begun it. */
export function hasCertainlyBegun(end: RunEnd): boolean {
    return !ENDS_WITHOUT_START.has(end);
}

/** What is known about a worker that was lost while it had a run. */
export const LossKind = {
    /**
     * It did not answer until its lease had certainly expired: it may only be partitioned from the leader.
     */
    suspected: "suspected",
    /** It certainly crashed. */
    crashed: "crashed",
} as const;
export type LossKind = (typeof LossKind)[keyof typeof LossKind];

/** State of a job as shown to callers. */
export const JobPhase = {
    queued: "queued",
    running: "running",
    completed: "completed",
    failed: "failed",
    cancelled: "cancelled",
} as const;
export type JobPhase = (typeof JobPhase)[keyof typeof JobPhase];

/** A job was submitted and accepted. */
export interface JobAccepted {
    readonly type: "accepted";
    readonly jobId: string;
    readonly queue: string;
    readonly spec: JobSpec;
    /** Client account that submitted it. Absent if it was submitted without a key. */
    readonly account?: string;
    /** Whether the account had used up its rate of jobs. Absent if it had not. */
    readonly isBeyondRate?: boolean;
    /** Wall-clock time, in milliseconds since 1970. */
    readonly at: number;
}

/** A run was assigned to a worker. The event is durable before the order is sent to the worker. */
export interface RunAssigned {
    readonly type: "assigned";
    readonly task: string;
    /** Increases with each run of the task. */
    readonly run: number;
    readonly workerId: string;
    /**
     * Epoch of the leader, which has adopted the worker. Repeated here because snapshots leave out the
     * adoptions of idle workers. Absent from events of earlier versions.
     */
    readonly epoch?: number;
    /** Address of the worker; set only if no stored adoption contains it. */
    readonly address?: string;
}

/**
 * A worker has begun a run of a job for the first time. Unknown to earlier versions, for which a job has
 * started when a run is assigned.
 */
export interface JobStarted {
    readonly type: "started";
    readonly jobId: string;
}

/** A run ended. The event is durable before the end is acknowledged to the worker. */
export interface RunEnded {
    readonly type: "ended";
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    /** Last known checkpoint; empty if there is none. */
    readonly checkpoint: string;
    /** Set if the run's worker was lost with it. Absent from events of earlier versions. */
    readonly loss?: LossKind;
    /** Whether the run had only just started when its worker was lost. */
    readonly isEarlyLoss?: boolean;
    /**
     * Wall-clock time at which the run was declared lost, in milliseconds since 1970. Absent from events of
     * earlier versions.
     */
    readonly lostAt?: number;
    /**
     * Whether the worker was lost together with others for a reason other than their tasks. Absent from
     * events of earlier versions.
     */
    readonly isCommonLoss?: boolean;
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

/** An ended job was removed from the state. */
export interface JobForgotten {
    readonly type: "forgotten";
    readonly jobId: string;
}

/**
 * A leader is about to extend leases on a worker for the first time. The event is durable before it does so.
 */
export interface WorkerAdopted {
    readonly type: "adopted";
    readonly workerId: string;
    /** Epoch of the leader. */
    readonly epoch: number;
    /**
     * Address of the worker, at which a later incarnation of it will answer. Absent from events of earlier
     * versions.
     */
    readonly address?: string;
}

/**
 * A leader cannot reach a worker that it has adopted: it extends no leases there from before this event until it
 * adopts the worker again. Unknown to earlier versions, which wait longer for the leases to expire.
 */
export interface WorkerReleased {
    readonly type: "workerReleased";
    readonly workerId: string;
}

/** A worker that was lost with runs certainly crashed: another incarnation answers at its address. */
export interface WorkerCrashed {
    readonly type: "workerCrashed";
    readonly workerId: string;
}

/** A worker that was counted as lost with runs is alive: it had only been partitioned from the leader. */
export interface WorkerSurvived {
    readonly type: "workerSurvived";
    readonly workerId: string;
}

/** A task has run for so long that its earlier losses are no evidence against it. */
export interface TaskCleared {
    readonly type: "taskCleared";
    readonly task: string;
}

/** The settings that apply to a queue's jobs from now on, even if a later configuration removes the queue. */
export interface QueueConfigured {
    readonly type: "queueConfigured";
    /** Version of the configuration that contains the settings. */
    readonly version: number;
    readonly queue: QueueConfig;
}

/**
 * A queue that was removed from the configuration has no open jobs left: its settings are no longer stored.
 */
export interface QueueForgotten {
    readonly type: "queueForgotten";
    readonly name: string;
}

/** A durable event. */
export type JobEvent =
    | JobAccepted
    | RunAssigned
    | JobStarted
    | RunEnded
    | JobCancelled
    | JobClosed
    | JobForgotten
    | WorkerAdopted
    | WorkerReleased
    | WorkerCrashed
    | WorkerSurvived
    | TaskCleared
    | QueueConfigured
    | QueueForgotten;
