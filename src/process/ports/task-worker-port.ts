/**
 * A worker that runs tasks under leases, as the leader speaks to it. Instants with `worker` in their name are on the
 * worker's own monotonic clock, which may be slower than ours by up to 2%.
 */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import type { RunEnd } from "../jobs/job-events.js";

/** One life of a worker. */
export interface WorkerIdentity {
    /** New with each start of the worker's process. */
    readonly workerId: string;
    /** `host:port` by IP number. Another life may answer there. */
    readonly address: string;
}

/** What a worker registered about itself. A hint: it lags, and entries lapse while the store is away. */
export interface WorkerRecord extends WorkerIdentity {
    readonly pool: string;
    readonly failureDomain: string;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    readonly rack: string | undefined;
    /** Whether it is leaving: it must be given nothing new. */
    readonly isDraining: boolean;
}

/** What every order carries. A worker does nothing for an epoch lower than one it has seen. */
export interface RunOrder {
    readonly task: string;
    readonly run: number;
    readonly epoch: number;
}

/** An order to start a run. */
export interface StartOrder extends RunOrder {
    readonly payload: string;
    /** The run is not begun after this, however late the order arrives. It never shortens the worker's lease. */
    readonly workerDeadline: Millis;
    /** Where to go on from; empty for the beginning. */
    readonly checkpoint: string;
    /** Set where the queue needs one. */
    readonly permit: string | undefined;
}

/** Asks for a report and renews the lease of everything that runs on the worker. */
export interface ReportRequest {
    readonly epoch: number;
    /** Ends up to this number are durable here; the worker forgets them. */
    readonly seenEnd: number;
    /** End of the lease; left out while the worker's clock is unknown. */
    readonly workerDeadline: Millis | undefined;
    /** Time for which the worker may hold the answer back until something ends. */
    readonly waitMs: Millis;
}

/** A run that is on the worker. */
export interface RunningRun {
    readonly task: string;
    readonly run: number;
    /** Last checkpoint; empty if there is none. */
    readonly checkpoint: string;
}

/** A run that ended on the worker. */
export interface EndedRun {
    /** Counts from 1 in each life of the worker. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** What a worker says of itself. */
export interface WorkerReport {
    readonly workerNow: Millis;
    readonly running: readonly RunningRun[];
    /** Ends after `seenEnd`, oldest first; a full list may go on. */
    readonly ended: readonly EndedRun[];
}

/** Ends that one report holds at most. */
export const MAX_REPORTED_ENDS = 500;

/** Why a worker refused an order. It has then not been carried out. */
export const OrderRefusal = {
    /** It has seen a higher epoch. */
    fenced: "fenced",
    /** This run, or a higher one, was stopped or has ended there. */
    outdated: "outdated",
    /** The order's deadline has passed. */
    late: "late",
    /** The worker guards its capacity and has no room. */
    noRoom: "noRoom",
    /** The permit is missing, expired or not for this worker. */
    noPermit: "noPermit",
    /** The worker can't read the order. */
    invalid: "invalid",
    /** The worker calls itself unhealthy or busy. */
    unhealthy: "unhealthy",
} as const;
export type OrderRefusal = (typeof OrderRefusal)[keyof typeof OrderRefusal];

/** How a call to a worker ended. */
export type WorkerAnswer<Value> =
    | { readonly kind: "done"; readonly value: Value; }
    | { readonly kind: "refused"; readonly reason: OrderRefusal; }
    /** Another life answers at the address: the one that was meant is over, with all it ran. */
    | { readonly kind: "replaced"; }
    /** Not a byte was sent. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** It may have been carried out, or may be, seconds later. */
    | { readonly kind: "unknown"; readonly message: string; };

/** Calls to workers. */
export interface TaskWorkerPort {
    /** `done` gives the worker's time. */
    start(worker: WorkerIdentity, order: StartOrder, timeout: Millis): Promise<WorkerAnswer<Millis>>;
    /** Stops a run; one that is not there yet is refused from then on. `done` gives the worker's time. */
    stop(worker: WorkerIdentity, order: RunOrder, timeout: Millis): Promise<WorkerAnswer<Millis>>;
    report(
        worker: WorkerIdentity,
        request: ReportRequest,
        timeout: Millis,
    ): Promise<WorkerAnswer<WorkerReport>>;
    /** Closes the connections to a life that is over. */
    forget(worker: WorkerIdentity): void;
}

/** A permit of the advice service for one worker. */
export interface Permit {
    readonly workerId: string;
    readonly token: string;
}

/** How a question to the advice service ended. */
export type AdviceAnswer =
    | { readonly kind: "done"; readonly permits: readonly Permit[]; }
    /** Its waiting line is full. */
    | { readonly kind: "busy"; }
    | { readonly kind: "failed"; readonly message: string; };

/** The service that knows which workers may run a step. It serves one call at a time for each calling VM. */
export interface AdvicePort {
    /**
     * @param step - Name of the step.
     * @param workerIds - At most 100.
     */
    requestPermits(step: string, workerIds: readonly string[], timeout: Millis): Promise<AdviceAnswer>;
}
