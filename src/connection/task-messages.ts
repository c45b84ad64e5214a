/** What homes and placers tell each other of tasks: orders, and the state of what was ordered. */
import type { Millis } from "../common/clock.js";
import type { Resources } from "../common/resources.js";
import type { Caller, WorkKind } from "../request/work.js";

/** Proof of a home's right to have work started. */
export interface HomeFence {
    readonly homeSlice: number;
    readonly epoch: number;
    /** Rises with each order of one home epoch; a census sets a floor below which orders are refused. */
    readonly sequence: number;
}

/** One task that a home asks a placer to run. */
export interface PlaceOrder {
    /** Unique over all tries of all tasks: `job.index.homeEpoch.try`. */
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
    /** Milliseconds since the job was accepted, when sent. */
    readonly waitedMs: Millis;
    readonly payload: string;
    readonly checkpoint?: string;
    readonly gangId?: string;
}

/** Hands tasks to a placer; repeating an attempt has no further effect. */
export interface PlaceNote {
    readonly kind: "place";
    readonly orders: readonly PlaceOrder[];
}

/**
 * Lets granted attempts start: their start markers are durable. Only tasks that are not repeatable, outside of
 * gangs, wait for it.
 */
export interface ConfirmNote {
    readonly kind: "confirm";
    readonly homeSlice: number;
    readonly attempts: readonly string[];
}

/** Takes tasks back: queued ones are dropped, running ones stopped if `stop` is set. */
export interface WithdrawNote {
    readonly kind: "withdraw";
    readonly homeSlice: number;
    readonly attempts: readonly string[];
    readonly stop: boolean;
}

/** The ends of these attempts are durable; placer and worker may forget them. */
export interface AcknowledgeNote {
    readonly kind: "acknowledge";
    readonly homeSlice: number;
    readonly attempts: readonly string[];
}

/** What a placer tells the home of tasks; repeated until acknowledged where it is an end. */
export interface UpdateNote {
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
    /** Epoch of the worker's slice: of two updates about a running task the higher one counts. */
    readonly sliceEpoch?: number;
    readonly answer?: string;
    readonly message?: string;
    readonly checkpoint?: string;
    /** Why it was refused or shed. */
    readonly reason?: string;
    readonly retryAfterMs?: Millis;
    readonly ranMs?: Millis;
}

/** States of an attempt at a placer. */
export const TaskUpdateState = {
    queued: "queued",
    /** Room is held for it; it starts when its home confirms that its start marker is durable. */
    granted: "granted",
    running: "running",
    /**
     * Its start was ordered, and its worker went to another owner before the result was in: this placer knows no
     * more of it, and a census has to tell.
     */
    moved: "moved",
    /** Ended with an answer. */
    done: "done",
    /** Ended with an error of the task or worker. */
    failed: "failed",
    /** Stopped on order, or preempted; `checkpoint` tells what is left of it. */
    stopped: "stopped",
    /** Proved not started: dropped from the queue, refused by the placer or by the worker's fence. */
    notStarted: "notStarted",
    /** It was started; its worker is lost or restarted and its lease has surely ended. */
    lost: "lost",
} as const;
export type TaskUpdateState = (typeof TaskUpdateState)[keyof typeof TaskUpdateState];
