/**
 * Records the life cycle of the attempts at one placer: queued, granted, running, ended. Both sides of the
 * placer, the one that serves homes and the one that drives workers, change attempts through this class.
 */
import type { Millis } from "../../common/clock.js";
import { type PlaceOrder, type TaskUpdate, TaskUpdateState } from "../../connection/messages.js";
import type { PlacementCore, WorkItem } from "../placement/placement-core.js";
import type { WorkerTask } from "../ports/worker-port.js";
import type { RoleContext } from "../roles.js";
import { type Attempt, AttemptRegistry, AttemptState } from "./attempt-registry.js";
import { UpdateOutbox } from "./update-outbox.js";

/** The part of a final update that the attempt itself does not determine. */
export type AttemptEnd = Omit<TaskUpdate, "attempt" | "jobId" | "index" | "workerId" | "sliceEpoch">;

/** For the states in which an attempt has certainly not started: the state reported to its home. */
const UPDATE_STATES_BEFORE_START: Readonly<Partial<Record<AttemptState, TaskUpdate["state"]>>> = {
    queued: TaskUpdateState.queued,
    granted: TaskUpdateState.granted,
};

/** Options of {@link AttemptLedger}. */
export interface LedgerOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    /** Schedules a new placement round. */
    requestDecisions(): void;
}

/** Keeps attempts, the capacity they hold in the placement core and the updates sent to homes in step. */
export class AttemptLedger {
    readonly attempts = new AttemptRegistry();
    readonly outbox: UpdateOutbox;

    constructor(private readonly options: LedgerOptions) {
        this.outbox = new UpdateOutbox(options.context);
    }

    close(): void {
        this.outbox.close();
    }

    /** Number of attempts on a worker that have not ended. */
    countOpenOn(workerId: string): number {
        return this.attempts.listOfWorker(workerId).filter(attempt => attempt.state !== AttemptState.ended)
            .length;
    }

    /** Adds an attempt that waits for a worker. */
    addQueued(order: PlaceOrder): Attempt {
        const attempt: Attempt = { order, state: AttemptState.queued, stopping: false };
        this.attempts.add(attempt);
        return attempt;
    }

    /** Records that capacity is held for the attempt until its home confirms the start. */
    markGranted(attempt: Attempt): void {
        attempt.state = AttemptState.granted;
        this.outbox.post(attempt.order.home.homeSlice, this.buildUpdate(attempt));
    }

    /** Whether no start order for the attempt has been sent yet. */
    isUnsent(attempt: Attempt): boolean {
        return attempt.state === AttemptState.queued || attempt.state === AttemptState.granted;
    }

    /** Records that a worker runs the attempt. */
    markRunning(attempt: Attempt): void {
        attempt.state = AttemptState.running;
        this.outbox.post(attempt.order.home.homeSlice, this.buildUpdate(attempt));
    }

    /**
     * Drops an attempt whose state only the worker's next owner can know, and reports it to the home as
     * moved.
     */
    reportMoved(attempt: Attempt): void {
        this.attempts.remove(attempt);
        this.outbox.post(attempt.order.home.homeSlice, {
            ...this.buildUpdate(attempt),
            state: TaskUpdateState.moved,
        });
    }

    /** Records the end, releases the attempt's capacity and notifies the home. */
    end(attempt: Attempt, end: AttemptEnd, task?: WorkerTask): void {
        attempt.end = { ...this.buildUpdate(attempt), ...end };
        attempt.state = AttemptState.ended;
        const failed = end.state === TaskUpdateState.failed;
        const sample = task === undefined ? undefined : { ranMs: task.ranMs, failed, usage: task.usage };
        this.options.core.release(attempt.order.attempt, this.options.context.clock.now(), sample);
        this.outbox.post(attempt.order.home.homeSlice, attempt.end);
        this.options.requestDecisions();
    }

    /** Builds an update with the attempt's state; one whose start order is unanswered counts as running. */
    buildUpdate(attempt: Attempt): TaskUpdate {
        return {
            attempt: attempt.order.attempt,
            jobId: attempt.order.jobId,
            index: attempt.order.index,
            state: UPDATE_STATES_BEFORE_START[attempt.state] ?? TaskUpdateState.running,
            workerId: attempt.workerId,
            sliceEpoch: attempt.sliceEpoch,
        };
    }
}

/**
 * Builds the placement core's item for an order.
 * @param now - Current time, from which the order's waiting time is subtracted to get the time of queueing.
 */
export function buildWorkItem(order: PlaceOrder, now: Millis): WorkItem {
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
