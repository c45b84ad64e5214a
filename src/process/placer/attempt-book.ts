/** Every attempt that this placer holds: queued, running, or ended and not yet acknowledged by its home. */
import type { Millis } from "../../common/clock.js";
import type { PlaceOrder, TaskUpdate } from "../../connection/messages.js";

/** State of an attempt at this placer. */
export const AttemptState = {
    queued: "queued",
    /** Room is held; its home has to confirm before it may start. */
    granted: "granted",
    /** A start order is under way. */
    starting: "starting",
    running: "running",
    /** The answer to its start was lost: it may be running. */
    uncertain: "uncertain",
    ended: "ended",
} as const;
export type AttemptState = (typeof AttemptState)[keyof typeof AttemptState];

/** One attempt. */
export interface Attempt {
    readonly order: PlaceOrder;
    state: AttemptState;
    workerId?: string;
    slice?: number;
    sliceEpoch?: number;
    /** Instant of its start here. */
    startedAt?: Millis;
    /** Instant after which a start whose answer was lost can no longer be taken by the worker. */
    startBy?: Millis;
    /** What is told to the home; set once ended. */
    end?: TaskUpdate;
    /** Whether a stop on order of its home is under way. */
    stopping: boolean;
}

/** Attempts by id, with indexes by home slice and by worker. */
export class AttemptBook {
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

    /** Records where an attempt is being started. */
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

    /** Number of attempts held. */
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
