/**
 * Port to a worker, which runs tasks under leases and serves service requests. Implemented by an HTTP adapter
 * and an in-memory fake. See docs/ASSUMPTIONS.md for what is assumed of workers.
 */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";

/** Address of a worker. */
export interface WorkerAddress {
    readonly workerId: string;
    /** `http://host:port` with an IP address. */
    readonly url: string;
}

/**
 * Answer of one call to a worker. `unavailable`: certainly not received. `unknown`: may have been received.
 */
export type WorkerAnswer<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "refused"; readonly reason: WorkerRefusal; readonly message: string; }
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

/** Why a worker refused an order. */
export const WorkerRefusal = {
    /**
     * The order's epoch is below the highest that the worker has seen, so the sender is no longer the owner.
     */
    staleEpoch: "staleEpoch",
    /** The order is meant for another boot of the worker. */
    otherBoot: "otherBoot",
    /** The order's latest start time has passed on the worker's clock, or its lease has ended. */
    tooLate: "tooLate",
    /** The worker has not enough free capacity. */
    noRoom: "noRoom",
    /** The worker is leaving and accepts no new work. */
    leaving: "leaving",
    /** The order is malformed. */
    invalid: "invalid",
} as const;
export type WorkerRefusal = (typeof WorkerRefusal)[keyof typeof WorkerRefusal];

/** Fields of every order to a worker that fence off outdated senders. */
export interface OrderFence {
    /**
     * Epoch of the slice's owner. Workers that compare epochs refuse orders with a lower one than the highest
     * seen.
     */
    readonly epoch: number;
    /**
     * The boot that the order is meant for; a worker refuses orders for another boot. Without it, a restarted
     * worker, which has forgotten the epochs, would accept a start that was queued before its restart.
     * Omitted only by attach.
     */
    readonly bootId?: string;
    /** Latest instant at which the worker may accept the order, in milliseconds of the worker's own clock. */
    readonly notAfter: Millis;
}

/** State of a task on a worker. */
export const WorkerTaskState = {
    running: "running",
    checkpointing: "checkpointing",
    /** Ended on its own, with an answer. */
    done: "done",
    /** Ended on its own, with an error. */
    failed: "failed",
    /** Ended by a stop order or after a checkpoint; `checkpoint` is set if one was saved. */
    stopped: "stopped",
    /** Ended by the worker because its lease had expired. */
    expired: "expired",
} as const;
export type WorkerTaskState = (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

/** A task as reported by a worker. The worker keeps ended tasks until they are acknowledged. */
export interface WorkerTask {
    /** Attempt id of the order that started it. */
    readonly attempt: string;
    readonly state: WorkerTaskState;
    /** The `label` of the order, returned unchanged, so that a new owner can identify the task. */
    readonly label: string;
    readonly resources: Resources;
    /** Run time so far, in milliseconds. */
    readonly ranMs: Millis;
    /** Measured usage, which lags. */
    readonly usage?: Resources;
    /** Answer or error text of an ended task. */
    readonly answer?: string;
    /** Opaque name of the last checkpoint, to be passed with the next start. */
    readonly checkpoint?: string;
    readonly throttled?: boolean;
}

/** State of a worker, reported by itself. */
export interface WorkerReport {
    /** Changes when the worker restarts; a restarted worker has forgotten its tasks and epochs. */
    readonly bootId: string;
    /** The worker's monotonic clock, in milliseconds. */
    readonly workerNow: Millis;
    readonly capacity: Resources;
    /** Maximum number of concurrent service requests. */
    readonly slots: number;
    /** Maximum number of connections. */
    readonly maxConnections: number;
    /** Whether the worker refuses orders with an epoch lower than the highest it has seen. */
    readonly comparesEpochs: boolean;
    readonly leaving: boolean;
    /** Resources used by work that this system did not start, such as the operators' old scripts. */
    readonly foreignUse: Resources;
    /** Tasks that changed since the previous report; in the answer to an attach, all tasks. */
    readonly tasks: readonly WorkerTask[];
    /** Counter of task changes, to be passed to the next renewal. */
    readonly sequence: number;
}

/** Binds a worker to a new owner; the worker stores the epoch and reports all of its tasks. */
export interface AttachOrder extends OrderFence {
    readonly leaseMs: Millis;
}

/** Renews the lease of the worker and of all tasks on it, and requests changes. */
export interface RenewOrder extends OrderFence {
    readonly leaseMs: Millis;
    /** Changes after this sequence are reported. */
    readonly afterSequence: number;
    /** Ended tasks whose end is durable at the owner; the worker may forget them. */
    readonly acknowledged: readonly string[];
    /** How long the worker may hold the answer while nothing changes. */
    readonly waitMs: Millis;
}

/** Starts a task. Repeating an order with the same attempt has no further effect. */
export interface StartOrder extends OrderFence {
    readonly attempt: string;
    readonly label: string;
    readonly resources: Resources;
    /** The work to run, opaque to this system. */
    readonly payload: string;
    readonly checkpoint?: string;
}

/** Stops, checkpoints or throttles a task. */
export interface TaskOrder extends OrderFence {
    readonly attempt: string;
}

/** Forwards a service request to a worker. */
export interface ServeOrder extends OrderFence {
    readonly requestId: string;
    readonly branch: string;
    readonly body: Uint8Array;
    readonly contentType: string;
    /** Time after which the worker abandons the request, in milliseconds. */
    readonly timeoutMs: Millis;
}

/** A worker's complete answer to a service request. */
export interface ServeReply {
    /** HTTP status of the worker: below 500 is an answer, 500 and above is a failure of the worker. */
    readonly status: number;
    readonly body: Uint8Array;
    readonly contentType: string;
}

/** Calls to workers. */
export interface WorkerPort {
    attach(worker: WorkerAddress, order: AttachOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>>;
    renew(worker: WorkerAddress, order: RenewOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>>;
    start(worker: WorkerAddress, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    /** Stops a task immediately, without a checkpoint. */
    stop(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    /** Saves the task's state, then stops the task; its end is reported as `stopped` with a checkpoint. */
    checkpoint(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    /** Throttles a task to the minimum of resources that the worker can give it. */
    throttle(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    serve(worker: WorkerAddress, order: ServeOrder): Promise<WorkerAnswer<ServeReply>>;
}
