/**
 * The leader's port to a worker, which runs tasks under leases. Instants with `worker` in their name are on
 * the worker's own monotonic clock, which may be slower than the leader's by up to 2%.
 */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import type { RunEnd } from "../jobs/job-events.js";

/** One incarnation of a worker. */
export interface WorkerIdentity {
    /** Changes with each start of the worker's process: see `incarnation.ts`. */
    readonly workerId: string;
    /** `host:port` with an IP address. Another incarnation may answer there. */
    readonly address: string;
}

/** A worker's registration. Only a hint: it lags, and registrations lapse while the store is unavailable. */
export interface WorkerRecord extends WorkerIdentity {
    readonly pool: string;
    readonly failureDomain: string;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    readonly rack: string | undefined;
    /** Whether the worker is draining and must not be given new work. */
    readonly isDraining: boolean;
}

/** Fields of every order. A worker refuses orders with a lower epoch than the highest it has seen. */
export interface RunOrder {
    readonly task: string;
    readonly run: number;
    readonly epoch: number;
}

/** An order to start a run. */
export interface StartOrder extends RunOrder {
    readonly payload: string;
    /** The worker does not start the run after this instant. It never shortens the worker's lease. */
    readonly workerDeadline: Millis;
    /** Checkpoint to resume from; empty to start from the beginning. */
    readonly checkpoint: string;
    /** Permit of the advice service; set if the queue requires one. */
    readonly permit: string | undefined;
}

/** Requests a report and renews the lease of everything that runs on the worker. */
export interface ReportRequest {
    readonly epoch: number;
    /** Ends up to this number are durable at the leader; the worker may forget them. */
    readonly seenEnd: number;
    /** End of the lease; undefined while the worker's clock is unknown. */
    readonly workerDeadline: Millis | undefined;
    /** How long the worker may hold the answer until a run ends. */
    readonly waitMs: Millis;
}

/** A run that the worker executes. */
export interface RunningRun {
    readonly task: string;
    readonly run: number;
    /** Last checkpoint; empty if there is none. */
    readonly checkpoint: string;
}

/** A run that ended on the worker. */
export interface EndedRun {
    /** Sequence number of the end, from 1 in each incarnation of the worker. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** A worker's report of its runs. */
export interface WorkerReport {
    readonly workerNow: Millis;
    readonly running: readonly RunningRun[];
    /** Ends after `seenEnd`, oldest first; if the list is full, there may be more. */
    readonly ended: readonly EndedRun[];
}

/** Maximum number of ends in one report. */
export const MAX_REPORTED_ENDS = 500;

/** Why a worker refused an order, which then had no effect. */
export const OrderRefusal = {
    /** It has seen a higher epoch. */
    fenced: "fenced",
    /** This run of the task, or a later one, was stopped or has ended on the worker. */
    outdated: "outdated",
    /** The order's deadline has passed. */
    late: "late",
    /** The worker enforces its capacity and has not enough left. */
    noRoom: "noRoom",
    /** The permit is missing, expired or not for this worker. */
    noPermit: "noPermit",
    /** The worker cannot parse the order. */
    invalid: "invalid",
    /** The worker reports itself as unhealthy or busy. */
    unhealthy: "unhealthy",
} as const;
export type OrderRefusal = (typeof OrderRefusal)[keyof typeof OrderRefusal];

/** Outcome of a call to a worker. */
export type WorkerAnswer<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "refused"; readonly reason: OrderRefusal; }
    /**
     * Another incarnation answered at the address: the addressed one has ended, with all of its runs. With
     * `successorId`, the same worker has started again under its name, and orders to the addressed incarnation
     * may be carried out by its successor.
     */
    | { readonly kind: "replaced"; readonly successorId?: string; }
    /** Nothing was sent. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The order may have been carried out, or may still be, seconds later. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Calls to workers. */
export interface TaskWorkerPort {
    /** Starts a run; `done` carries the worker's time. */
    start(worker: WorkerIdentity, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<Millis>>;
    /**
     * Stops a run; if it has not started there, it is refused from then on. `done` carries the worker's time.
     */
    stop(worker: WorkerIdentity, order: RunOrder, timeout: Millis): Promise<WorkerAnswer<Millis>>;
    report(
        worker: WorkerIdentity,
        request: ReportRequest,
        timeout: Millis,
    ): Promise<WorkerAnswer<WorkerReport>>;
    /** Closes the connections to an incarnation that has ended. */
    forget(worker: WorkerIdentity): void;
}

/** A permit of the advice service for one worker. */
export interface Permit {
    readonly workerId: string;
    readonly token: string;
}

/** Outcome of a request to the advice service. */
export type AdviceAnswer =
    | { readonly kind: "done"; readonly permits: readonly Permit[]; }
    /** The queue of the service is full. */
    | { readonly kind: "busy"; }
    | { readonly kind: "failed"; readonly message: string; };

/** The service that decides which workers may run a step. It serves one call at a time per calling VM. */
export interface AdvicePort {
    /**
     * @param step - Name of the step.
     * @param workerIds - At most 100.
     */
    requestPermits(step: string, workerIds: readonly string[], timeout: Millis): Promise<AdviceAnswer>;
}
