/**
 * The attempts of one placer and the three things that happen to each of them: it is taken in, it runs, it ends.
 * Both sides of the placer, towards homes and towards workers, change attempts only through this class.
 */
import type { Millis } from "../../common/clock.js";
import { type PlaceOrder, type TaskUpdate, TaskUpdateState } from "../../connection/messages.js";
import type { PlacementCore, WorkItem } from "../placement/placement-core.js";
import type { WorkerTask } from "../ports/worker-port.js";
import type { RoleContext } from "../roles.js";
import { type Attempt, AttemptBook, AttemptState } from "./attempt-book.js";
import { UpdateOutbox } from "./update-outbox.js";

/** What is told of an end beside the attempt itself. */
export type AttemptEnd = Omit<TaskUpdate, "attempt" | "jobId" | "index" | "workerId" | "sliceEpoch">;

/** States of an attempt that surely has not started, and what homes are told. */
const NOT_STARTED_STATES: Readonly<Partial<Record<AttemptState, TaskUpdate["state"]>>> = {
    queued: TaskUpdateState.queued,
    granted: TaskUpdateState.granted,
};

/** What {@link AttemptLedger} is given. */
export interface LedgerOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    /** Asks for a new round of decisions soon. */
    requestDecisions(): void;
}

/** Attempts, their room in the core and the updates that tell homes of them. */
export class AttemptLedger {
    readonly book = new AttemptBook();
    readonly outbox: UpdateOutbox;

    constructor(private readonly options: LedgerOptions) {
        this.outbox = new UpdateOutbox(options.context);
    }

    close(): void {
        this.outbox.close();
    }

    /** Number of attempts on a worker that have not ended. */
    countOpenOn(workerId: string): number {
        return this.book.listOfWorker(workerId).filter(attempt => attempt.state !== AttemptState.ended)
            .length;
    }

    /** Takes in an order; it waits for a worker. */
    addQueued(order: PlaceOrder): Attempt {
        const attempt: Attempt = { order, state: AttemptState.queued, stopping: false };
        this.book.add(attempt);
        return attempt;
    }

    /** Records that room is held for the attempt until its home confirms it. */
    markGranted(attempt: Attempt): void {
        attempt.state = AttemptState.granted;
        this.outbox.post(attempt.order.home.homeSlice, this.describe(attempt));
    }

    /** Whether an attempt was not sent to any worker yet. */
    isUnsent(attempt: Attempt): boolean {
        return attempt.state === AttemptState.queued || attempt.state === AttemptState.granted;
    }

    /** Records that a worker runs the attempt. */
    markRunning(attempt: Attempt): void {
        attempt.state = AttemptState.running;
        this.outbox.post(attempt.order.home.homeSlice, this.describe(attempt));
    }

    /** Forgets an attempt of which only the next owner of its worker can tell, and says so. */
    reportMoved(attempt: Attempt): void {
        this.book.remove(attempt);
        this.outbox.post(attempt.order.home.homeSlice, {
            ...this.describe(attempt),
            state: TaskUpdateState.moved,
        });
    }

    /** Records the end, gives the room back and tells the home. */
    end(attempt: Attempt, end: AttemptEnd, task?: WorkerTask): void {
        attempt.end = { ...this.describe(attempt), ...end };
        attempt.state = AttemptState.ended;
        const failed = end.state === TaskUpdateState.failed;
        const sample = task === undefined ? undefined : { ranMs: task.ranMs, failed, usage: task.usage };
        this.options.core.release(attempt.order.attempt, this.options.context.clock.now(), sample);
        this.outbox.post(attempt.order.home.homeSlice, attempt.end);
        this.options.requestDecisions();
    }

    /** The attempt as an update; one whose start is under way counts as running. */
    describe(attempt: Attempt): TaskUpdate {
        return {
            attempt: attempt.order.attempt,
            jobId: attempt.order.jobId,
            index: attempt.order.index,
            state: NOT_STARTED_STATES[attempt.state] ?? TaskUpdateState.running,
            workerId: attempt.workerId,
            sliceEpoch: attempt.sliceEpoch,
        };
    }
}

/**
 * Builds the core's item of an order.
 * @param order - The order.
 * @param now - This instant; the order says how long its task has waited.
 */
export function buildItem(order: PlaceOrder, now: Millis): WorkItem {
    return {
        id: order.attempt,
        kind: order.kind,
        branch: order.branch,
        team: order.caller.team,
        callerId: order.caller.callerId,
        urgent: order.urgent,
        repeatable: order.repeatable,
        resources: order.resources,
        estimateMs: order.estimateMs ?? 0,
        queuedAt: now - order.waitedMs,
        avoid: [],
        gangId: order.gangId,
    };
}
