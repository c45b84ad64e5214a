/**
 * Journal of what actually ran on the stand-in workers, and when: the evidence for checks of the system's
 * promises.
 */
import type { Millis } from "../common/clock.js";
import type { Resources } from "../common/resources.js";
import type { WorkerRefusal } from "../process/ports/index.js";

/** One run of a task or of a service request on a worker. */
export interface JournalRun {
    readonly kind: "task" | "service";
    readonly workerId: string;
    readonly bootId: string;
    /** Attempt id of a task, request id of a service request. */
    readonly attempt: string;
    /** Label of a task's start order; branch of a service request. */
    readonly label: string;
    /** Epoch of the order that started it. */
    readonly epoch: number;
    readonly resources: Resources;
    /** Instant of the common clock, in milliseconds. */
    readonly startedAt: Millis;
    /** Undefined while the run lasts. */
    endedAt?: Millis;
    /** A task state, `answered`, `gaveUp` (the request exceeded its timeout) or `lost` (the worker crashed). */
    end?: string;
}

/** An order that a worker refused. */
export interface JournalRefusal {
    readonly workerId: string;
    readonly attempt: string;
    readonly reason: WorkerRefusal;
    readonly at: Millis;
}

/** Capacity and state of a worker, recorded at each boot and change. */
export interface JournalCapacity {
    readonly workerId: string;
    readonly at: Millis;
    readonly capacity: Resources;
    readonly slots: number;
    readonly foreignUse: Resources;
    readonly leaving: boolean;
}

/** Journal of one worker, or shared by all workers of a cell. */
export class WorkerJournal {
    readonly runs: JournalRun[] = [];
    readonly refusals: JournalRefusal[] = [];
    readonly capacities: JournalCapacity[] = [];
}
