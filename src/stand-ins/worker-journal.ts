/** What really ran on the stand-in workers and when: the evidence that checkers of the promises read. */
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
    /** Label of a task's order; branch of a service request. */
    readonly label: string;
    /** Epoch of the order that started it. */
    readonly epoch: number;
    readonly resources: Resources;
    /** Instant of the common clock, in milliseconds. */
    readonly startedAt: Millis;
    /** Undefined while it runs. */
    endedAt?: Millis;
    /** How it ended: a task state, `answered`, `gaveUp` or `lost` (the worker died). */
    end?: string;
}

/** An order that a worker refused. */
export interface JournalRefusal {
    readonly workerId: string;
    readonly attempt: string;
    readonly reason: WorkerRefusal;
    readonly at: Millis;
}

/** What a worker has, written down at each boot and change. */
export interface JournalCapacity {
    readonly workerId: string;
    readonly at: Millis;
    readonly capacity: Resources;
    readonly slots: number;
    readonly foreignUse: Resources;
    readonly leaving: boolean;
}

/** A journal that all workers of a cell may share. */
export class WorkerJournal {
    readonly runs: JournalRun[] = [];
    readonly refusals: JournalRefusal[] = [];
    readonly capacities: JournalCapacity[] = [];
}
