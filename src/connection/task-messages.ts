/** Messages between homes and placers about tasks: orders, and the state of the ordered attempts. */
import type { Millis } from "../common/clock.js";
import type { Resources } from "../common/resources.js";
import type { Caller, WorkKind } from "../request/work.js";

/** Fencing token: proves that a home may have work started. */
export interface HomeFence {
    readonly homeSlice: number;
    readonly epoch: number;
    /** Increases with each order of one home epoch. A census sets a floor; orders below it are refused. */
    readonly sequence: number;
}

/** One task that a home asks a placer to run. */
export interface PlaceOrder {
    /** Unique over all attempts of all tasks: `job.index.homeEpoch.attempt`. */
    readonly attempt: string;
    readonly jobId: string;
    readonly index: number;
    readonly home: HomeFence;
    readonly kind: WorkKind;
    readonly branch: string;
    readonly caller: Caller;
    readonly urgent: boolean;
    readonly repeatable: boolean;
    readonly resources: Resources;
    readonly estimateMs?: Millis;
    /** Time between acceptance of the job and the sending of this order, in milliseconds. */
    readonly waitedMs: Millis;
    readonly payload: string;
    readonly checkpoint?: string;
    readonly gangId?: string;
}

/** Submits tasks to a placer. Idempotent: sending the same attempt again has no further effect. */
export interface PlaceNotification {
    readonly kind: "place";
    readonly orders: readonly PlaceOrder[];
}

/**
 * Lets granted attempts start, since their start markers are durable. Only tasks that are neither repeatable
 * nor part of a gang wait for this message.
 */
export interface ConfirmNotification {
    readonly kind: "confirm";
    readonly homeSlice: number;
    readonly attempts: readonly string[];
}

/** Withdraws attempts: queued ones are dropped; running ones are stopped if `stop` is set. */
export interface WithdrawNotification {
    readonly kind: "withdraw";
    readonly homeSlice: number;
    readonly attempts: readonly string[];
    readonly stop: boolean;
}

/** Acknowledges that the outcomes of these attempts are durable; placer and worker may forget them. */
export interface AcknowledgeNotification {
    readonly kind: "acknowledge";
    readonly homeSlice: number;
    readonly attempts: readonly string[];
}

/** Reports attempt states from a placer to the home. Final states are resent until they are acknowledged. */
export interface UpdateNotification {
    readonly kind: "updates";
    readonly homeSlice: number;
    readonly updates: readonly TaskUpdate[];
}

/** State of one attempt at a placer. */
export interface TaskUpdate {
    readonly attempt: string;
    readonly jobId: string;
    readonly index: number;
    readonly state: TaskUpdateState;
    readonly workerId?: string;
    /**
     * Epoch of the worker's slice. Of two updates about a running task, the one with the higher epoch wins.
     */
    readonly sliceEpoch?: number;
    readonly answer?: string;
    readonly message?: string;
    readonly checkpoint?: string;
    /** Why the attempt was refused or shed. */
    readonly reason?: string;
    readonly retryAfterMs?: Millis;
    readonly ranMs?: Millis;
}

/** States of an attempt at a placer. */
export const TaskUpdateState = {
    queued: "queued",
    /** Capacity is reserved; the attempt starts once its home confirms that the start marker is durable. */
    granted: "granted",
    running: "running",
    /**
     * Its start was ordered, but the worker moved to another owner before the result arrived. This placer
     * does not know the state any more; the home finds it by a census.
     */
    moved: "moved",
    /** Completed with an answer. */
    done: "done",
    /** Completed with an error of the task or worker. */
    failed: "failed",
    /** Stopped on order or preempted; `checkpoint` holds the saved state, if any. */
    stopped: "stopped",
    /**
     * Known not to have started: dropped from the queue, or refused by the placer or by the worker's fence.
     */
    notStarted: "notStarted",
    /** Started, but its worker was lost or restarted, and its lease has certainly expired. */
    lost: "lost",
} as const;
export type TaskUpdateState = (typeof TaskUpdateState)[keyof typeof TaskUpdateState];
