/**
 * A worker as this system uses it: it runs tasks under leases and answers service requests.
 * One HTTP adapter and one in-memory fake stand behind this port; assumptions are in docs/ASSUMPTIONS.md.
 */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";

/** Where a worker is reached. */
export interface WorkerAddress {
    readonly workerId: string;
    /** `http://host:port` by IP number. */
    readonly url: string;
}

/** Answer of one call to a worker. `unavailable`: surely not received; `unknown`: may have been. */
export type WorkerAnswer<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "refused"; readonly reason: WorkerRefusal; readonly message: string; }
    | { readonly kind: "unavailable"; readonly message: string; }
    | { readonly kind: "unknown"; readonly message: string; };

/** Why a worker refused an order. */
export const WorkerRefusal = {
    /** The order's epoch is below the highest that the worker has seen: the sender is no longer owner. */
    staleEpoch: "staleEpoch",
    /** The order names another boot of the worker. */
    otherBoot: "otherBoot",
    /** The order's latest start time has passed on the worker's clock, or its lease has ended. */
    tooLate: "tooLate",
    /** The worker has no room. */
    noRoom: "noRoom",
    /** The worker is leaving and takes nothing new. */
    leaving: "leaving",
    /** The order is malformed. */
    invalid: "invalid",
} as const;
export type WorkerRefusal = (typeof WorkerRefusal)[keyof typeof WorkerRefusal];

/** What every order to a worker carries. */
export interface OrderFence {
    /** Epoch of the slice's owner. Workers that compare epochs refuse lower ones than they have seen. */
    readonly epoch: number;
    /**
     * The boot the order is meant for; a worker refuses orders for another boot. Without it a restarted
     * worker, which has forgotten the epochs, would take a start that was queued before its restart.
     * Left out only by an attach.
     */
    readonly bootId?: string;
    /** Latest instant of the worker's own clock at which it may take the order, in milliseconds. */
    readonly notAfter: Millis;
}

/** State of a task on a worker. */
export const WorkerTaskState = {
    running: "running",
    checkpointing: "checkpointing",
    /** Ended by itself with an answer. */
    done: "done",
    /** Ended by itself with an error. */
    failed: "failed",
    /** Ended by a stop order or after a checkpoint; `checkpoint` tells whether one was kept. */
    stopped: "stopped",
    /** Ended by the worker because its lease had passed. */
    expired: "expired",
} as const;
export type WorkerTaskState = (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

/** One task as the worker knows it. Ended tasks are kept until they are acknowledged. */
export interface WorkerTask {
    /** Attempt id of the order that started it. */
    readonly attempt: string;
    readonly state: WorkerTaskState;
    /** The `label` of the order, returned unread: lets a new owner learn what the task is. */
    readonly label: string;
    readonly resources: Resources;
    /** Time it has run, in milliseconds. */
    readonly ranMs: Millis;
    /** Measured use, which lags. */
    readonly usage?: Resources;
    /** Answer or error text of an ended task. */
    readonly answer?: string;
    /** Opaque name of the last checkpoint, to be passed to the next start. */
    readonly checkpoint?: string;
    readonly throttled?: boolean;
}

/** State of a worker, as it reports it. */
export interface WorkerReport {
    /** Changes when the worker restarts; a restarted worker has forgotten its tasks and epochs. */
    readonly bootId: string;
    /** The worker's monotonic clock, in milliseconds. */
    readonly workerNow: Millis;
    readonly capacity: Resources;
    /** Service requests it handles at once. */
    readonly slots: number;
    /** Connections it accepts. */
    readonly maxConnections: number;
    /** Whether it refuses orders with an epoch lower than the highest it has seen. */
    readonly comparesEpochs: boolean;
    readonly leaving: boolean;
    /** Resources used by work that others started on it, such as the operators' old scripts. */
    readonly foreignUse: Resources;
    /** Tasks that changed since the report before; all tasks in the answer to an attach. */
    readonly tasks: readonly WorkerTask[];
    /** Counter of task changes, to be passed to the next renewal. */
    readonly sequence: number;
}

/** Binds a worker to a new owner; the worker remembers the epoch and reports everything it has. */
export interface AttachOrder extends OrderFence {
    readonly leaseMs: Millis;
}

/** Extends the lease of the worker and of all tasks on it, and collects changes. */
export interface RenewOrder extends OrderFence {
    readonly leaseMs: Millis;
    /** Changes after this sequence are reported. */
    readonly afterSequence: number;
    /** Ended tasks whose end is durable elsewhere; the worker forgets them. */
    readonly acknowledged: readonly string[];
    /** How long the worker may hold the answer back while nothing changes. */
    readonly waitMs: Millis;
}

/** Starts a task. Repeating an order with the same attempt has no further effect. */
export interface StartOrder extends OrderFence {
    readonly attempt: string;
    readonly label: string;
    readonly resources: Resources;
    /** What to run; opaque to this system. */
    readonly payload: string;
    readonly checkpoint?: string;
}

/** Ends, checkpoints or slows a task. */
export interface TaskOrder extends OrderFence {
    readonly attempt: string;
}

/** A service request handed to a worker. */
export interface ServeOrder extends OrderFence {
    readonly requestId: string;
    readonly branch: string;
    readonly body: Uint8Array;
    readonly contentType: string;
    /** The worker gives the request up after this many milliseconds. */
    readonly timeoutMs: Millis;
}

/** The whole answer of a worker to a service request. */
export interface ServeReply {
    /** HTTP status of the worker: below 500 is an answer, 500 and above a failure of the worker. */
    readonly status: number;
    readonly body: Uint8Array;
    readonly contentType: string;
}

/** Calls to workers. */
export interface WorkerPort {
    attach(worker: WorkerAddress, order: AttachOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>>;
    renew(worker: WorkerAddress, order: RenewOrder, timeout: Millis): Promise<WorkerAnswer<WorkerReport>>;
    start(worker: WorkerAddress, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    /** Stops a task at once. */
    stop(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    /** Saves the task's state and then stops it; its end is reported as `stopped` with a checkpoint. */
    checkpoint(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    /** Slows a task to the least the worker can give it. */
    throttle(worker: WorkerAddress, order: TaskOrder, timeout: Millis): Promise<WorkerAnswer<undefined>>;
    serve(worker: WorkerAddress, order: ServeOrder): Promise<WorkerAnswer<ServeReply>>;
}
