/**
 * Registry of the attempts that this placer holds: queued, running, or ended and not yet acknowledged by the
 * home (the entry that owns the job).
 */
import type { Millis } from "../../common/clock.js";
import type { PlaceOrder, TaskUpdate } from "../../connection/messages.js";

export const AttemptState = {
    queued: "queued",
    /** Capacity is held; the home has to confirm before the attempt may start. */
    granted: "granted",
    /** A start order has been sent and not yet answered. */
    starting: "starting",
    running: "running",
    /** The answer to the start order was lost: the attempt may be running. */
    uncertain: "uncertain",
    ended: "ended",
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** One attempt to run a task. */
export interface Attempt {
    readonly order: PlaceOrder;
    state: AttemptState;
    workerId?: string;
    slice?: number;
    sliceEpoch?: number;
    /** When this placer sent the start order, or, for an adopted task, when the task started. */
    startedAt?: Millis;
    /** After this time the worker no longer accepts the start order, even if its answer was lost. */
    startBy?: Millis;
    /** The final update for the home; set once the attempt has ended. */
    end?: TaskUpdate;
    /** Whether the home has ordered the attempt to stop. */
    stopping: boolean;
}

/** Attempts by id, with indexes by home slice, job and worker. */
export class AttemptRegistry {
    private readonly byId = new Map<string, Attempt>();
    private readonly byHome = new Map<number, Set<Attempt>>();
    private readonly byJob = new Map<string, Set<Attempt>>();
    private readonly byWorker = new Map<string, Set<Attempt>>();

    find(attempt: string): Attempt | undefined {
        return this.byId.get(attempt);
    }

    add(attempt: Attempt): void {
        this.byId.set(attempt.order.attempt, attempt);
        insertInto(this.byHome, attempt.order.home.homeSlice, attempt);
        insertInto(this.byJob, attempt.order.jobId, attempt);
        if (attempt.workerId !== undefined) {
            insertInto(this.byWorker, attempt.workerId, attempt);
        }
    }

    /** Records the worker, its slice and the slice's epoch for an attempt that is about to start. */
    assign(attempt: Attempt, workerId: string, slice: number, sliceEpoch: number): void {
        attempt.workerId = workerId;
        attempt.slice = slice;
        attempt.sliceEpoch = sliceEpoch;
        insertInto(this.byWorker, workerId, attempt);
    }

    remove(attempt: Attempt): void {
        this.byId.delete(attempt.order.attempt);
        dropFrom(this.byHome, attempt.order.home.homeSlice, attempt);
        dropFrom(this.byJob, attempt.order.jobId, attempt);
        if (attempt.workerId !== undefined) {
            dropFrom(this.byWorker, attempt.workerId, attempt);
        }
    }

    listOfHome(homeSlice: number): readonly Attempt[] {
        return [...this.byHome.get(homeSlice) ?? []];
    }

    listOfJob(jobId: string, limit: number): readonly Attempt[] {
        return [...this.byJob.get(jobId) ?? []].slice(0, limit);
    }

    listOfWorker(workerId: string): readonly Attempt[] {
        return [...this.byWorker.get(workerId) ?? []];
    }

    listAll(): Iterable<Attempt> {
        return this.byId.values();
    }

    count(): number {
        return this.byId.size;
    }
}

function insertInto<Key>(index: Map<Key, Set<Attempt>>, key: Key, attempt: Attempt): void {
    const set = index.get(key);
    if (set === undefined) {
        index.set(key, new Set([attempt]));
    }
    else {
        set.add(attempt);
    }
}

function dropFrom<Key>(index: Map<Key, Set<Attempt>>, key: Key, attempt: Attempt): void {
    const set = index.get(key);
    set?.delete(attempt);
    if (set?.size === 0) {
        index.delete(key);
    }
}
