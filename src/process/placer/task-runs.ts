/** Drives the tasks of jobs on workers: starts, stops, reports, adoption and losses. */
import { type Millis, sleep } from "../../common/clock.js";
import { TaskUpdateState } from "../../connection/messages.js";
import type { Decision, PlacementCore } from "../placement/placement-core.js";
import { type WorkerReport, type WorkerTask, WorkerTaskState } from "../ports/worker-port.js";
import type { RoleContext } from "../roles.js";
import { type AttemptLedger, buildWorkItem } from "./attempt-ledger.js";
import { type Attempt, AttemptState } from "./attempt-registry.js";
import { decodeLabel, encodeLabel } from "./task-label.js";
import { ORDER_WINDOW_MS } from "./worker-clock.js";
import type { WorkerFleet } from "./worker-fleet.js";
import type { WorkerSession } from "./worker-session.js";

/** How long capacity is held for a task whose home has to confirm its start. */
const GRANT_HOLD_MS: Millis = 3_000;
/** Interval between checks of whether start orders are still unanswered. */
const START_POLL_MS: Millis = 10;
/** Retry delay given to a home for a task whose worker became unavailable before the start order was sent. */
const UNSENT_RETRY_MS: Millis = 250;

/** Options of {@link TaskRuns}. */
export interface TaskRunsOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    readonly ledger: AttemptLedger;
    readonly fleet: WorkerFleet;
    /** Reports a task's result to the worker's health record. */
    observeResult(workerId: string, branch: string, failed: boolean): void;
}

/** For each final state of a worker's task: the state reported to the home. */
const END_STATES = {
    done: TaskUpdateState.done,
    failed: TaskUpdateState.failed,
    stopped: TaskUpdateState.stopped,
    expired: TaskUpdateState.lost,
} as const;

/** Moves attempts through their states by orders to workers and by reports from them. */
export class TaskRuns {
    constructor(private readonly options: TaskRunsOptions) {}

    /** Carries out a start decision; the placement core has already allocated the capacity. */
    start(decision: Extract<Decision, { kind: "start"; }>): void {
        const attempt = this.options.ledger.attempts.find(decision.item.id);
        const session = this.options.fleet.find(decision.workerId);
        if (attempt === undefined || session === undefined) {
            this.options.core.release(decision.item.id, this.options.context.clock.now());
            return;
        }
        this.options.ledger.attempts.assign(attempt, session.workerId, session.slice, session.epoch);
        if (attempt.order.repeatable || attempt.order.gangId !== undefined) {
            this.dispatchStart(attempt, session);
            return;
        }
        this.options.ledger.markGranted(attempt);
        this.options.context.clock.schedule(GRANT_HOLD_MS, () => this.expireGrant(attempt));
    }

    /** Starts an attempt whose home has confirmed that the start marker is durable. */
    startGranted(attempt: Attempt): void {
        const session = this.options.fleet.find(attempt.workerId ?? "");
        if (session === undefined || !this.options.fleet.isOpen(session)) {
            this.endUnsent(attempt, "its worker takes nothing new any more");
            return;
        }
        this.dispatchStart(attempt, session);
    }

    private dispatchStart(attempt: Attempt, session: WorkerSession): void {
        attempt.state = AttemptState.starting;
        attempt.startedAt = this.options.context.clock.now();
        attempt.startBy = attempt.startedAt + ORDER_WINDOW_MS;
        void this.sendStart(attempt, session);
    }

    /**
     * Releases the capacity for other work if the home has not confirmed: it is unreachable, or cannot write.
     */
    private expireGrant(attempt: Attempt): void {
        if (attempt.state === AttemptState.granted) {
            this.endUnsent(attempt, "its home did not confirm the start in time");
        }
    }

    private endUnsent(attempt: Attempt, reason: string): void {
        this.options.ledger.end(attempt, {
            state: TaskUpdateState.notStarted,
            reason,
            retryAfterMs: UNSENT_RETRY_MS,
        });
    }

    /**
     * Stops an attempt by order of its home; one whose start is pending is stopped once it is known to run.
     */
    stop(attemptId: string): void {
        const attempt = this.options.ledger.attempts.find(attemptId);
        if (attempt !== undefined) {
            attempt.stopping = true;
            this.sendStop(attempt);
        }
    }

    /** Waits until every pending start on a slice has a result; each has its own timeout. */
    async waitForStarts(slice: number): Promise<void> {
        while (this.isStarting(slice)) {
            await sleep(this.options.context.clock, START_POLL_MS);
        }
    }

    private isStarting(slice: number): boolean {
        for (const attempt of this.options.ledger.attempts.listAll()) {
            if (attempt.slice === slice && attempt.state === AttemptState.starting) {
                return true;
            }
        }
        return false;
    }

    /** Sends the preemption step (throttle, checkpoint or stop) to the victim's worker. */
    preempt(decision: Extract<Decision, { kind: "preempt"; }>): void {
        void this.options.fleet.find(decision.workerId)?.orderTask(decision.step, decision.victimId);
    }

    /** Handles the full report of a worker that was just attached. */
    handleAttached(session: WorkerSession, report: WorkerReport, restarted: boolean): void {
        const listed = new Set(report.tasks.map(task => task.attempt));
        for (const attempt of this.options.ledger.attempts.listOfWorker(session.workerId)) {
            if (attempt.state !== AttemptState.ended && !listed.has(attempt.order.attempt)) {
                this.handleMissing(session, attempt, restarted);
            }
        }
        this.handleReport(session, report);
    }

    /** Handles the changes that a worker reports. */
    handleReport(session: WorkerSession, report: WorkerReport): void {
        for (const task of report.tasks) {
            this.handleTask(session, task);
        }
    }

    /** Ends the attempts on a lost worker, whose tasks have certainly ended by now. */
    handleLost(session: WorkerSession): void {
        for (const attempt of this.options.ledger.attempts.listOfWorker(session.workerId)) {
            if (attempt.state === AttemptState.granted) {
                this.endUnsent(attempt, "its worker was lost");
            }
            else if (attempt.state !== AttemptState.ended) {
                this.options.ledger.end(attempt, {
                    state: TaskUpdateState.lost,
                    message: `worker ${session.workerId} was lost`,
                });
            }
        }
    }

    /**
     * Drops the attempts on a worker that belongs to another owner now; that owner reports what runs or ended
     * there. Ends that only this placer knows stay until acknowledged, and a pending start stays until it has
     * a result.
     */
    handleDropped(session: WorkerSession): void {
        const { ledger } = this.options;
        for (const attempt of ledger.attempts.listOfWorker(session.workerId)) {
            if (attempt.state === AttemptState.granted) {
                this.endUnsent(attempt, "its worker has another owner now");
            }
            if (attempt.state === AttemptState.starting || isEndKnownOnlyHere(attempt)) {
                continue;
            }
            ledger.outbox.drop(attempt.order.home.homeSlice, attempt.order.attempt);
            ledger.attempts.remove(attempt);
        }
        this.options.core.removeWorker(session.workerId);
    }

    private sendStop(attempt: Attempt): void {
        if (attempt.workerId !== undefined && attempt.state === AttemptState.running) {
            void this.options.fleet.find(attempt.workerId)?.orderTask("stop", attempt.order.attempt);
        }
    }

    private async sendStart(attempt: Attempt, session: WorkerSession): Promise<void> {
        const { order } = attempt;
        const result = await session.startTask({
            attempt: order.attempt,
            label: encodeLabel(order),
            resources: order.resources,
            payload: order.payload,
            checkpoint: order.checkpoint,
        });
        if (
            attempt.state !== AttemptState.starting ||
            this.options.ledger.attempts.find(order.attempt) !== attempt
        ) {
            return;
        }
        const isOwned = this.options.fleet.find(session.workerId) === session;
        if (result.kind === "notStarted") {
            this.options.ledger.end(attempt, {
                state: TaskUpdateState.notStarted,
                reason: result.reason,
                retryAfterMs: 0,
            });
        }
        else if (!isOwned) {
            // The worker has another owner by now, which learns from the worker whether the task runs. A
            // census may have told the home that it runs here, so the home has to ask again.
            this.options.ledger.reportMoved(attempt);
        }
        else if (result.kind === "started") {
            this.markRunning(attempt);
        }
        else {
            attempt.state = AttemptState.uncertain;
            this.scheduleRefresh(session);
        }
    }

    /**
     * Requests a full report once the worker can no longer accept the order; it proves whether the task
     * started.
     */
    private scheduleRefresh(session: WorkerSession): void {
        this.options.context.clock.schedule(ORDER_WINDOW_MS, () => session.refresh());
    }

    private markRunning(attempt: Attempt): void {
        this.options.ledger.markRunning(attempt);
        if (attempt.stopping) {
            this.sendStop(attempt);
        }
    }

    /** Handles an attempt that this placer holds as started and that a full report does not list. */
    private handleMissing(session: WorkerSession, attempt: Attempt, restarted: boolean): void {
        const now = this.options.context.clock.now();
        const mayStillStart = attempt.startBy !== undefined && now <= attempt.startBy + ORDER_WINDOW_MS;
        if (this.options.ledger.isUnsent(attempt) || attempt.state === AttemptState.starting) {
            return;
        }
        if (!restarted && mayStillStart) {
            this.scheduleRefresh(session);
            return;
        }
        if (!restarted && attempt.state === AttemptState.uncertain) {
            this.options.ledger.end(attempt, {
                state: TaskUpdateState.notStarted,
                reason: "the worker never took it",
                retryAfterMs: 0,
            });
        }
        else {
            this.options.ledger.end(attempt, {
                state: TaskUpdateState.lost,
                message: `worker ${attempt.workerId} restarted`,
            });
        }
    }

    private handleTask(session: WorkerSession, task: WorkerTask): void {
        const attempt = this.options.ledger.attempts.find(task.attempt) ?? this.adopt(session, task);
        if (attempt === undefined || attempt.state === AttemptState.ended) {
            return;
        }
        if (task.state === WorkerTaskState.running || task.state === WorkerTaskState.checkpointing) {
            if (attempt.state !== AttemptState.running) {
                this.markRunning(attempt);
            }
            return;
        }
        this.endByWorker(attempt, task);
    }

    /** Adopts a task that a previous owner started; undefined if its label was not written by a placer. */
    private adopt(session: WorkerSession, task: WorkerTask): Attempt | undefined {
        const order = decodeLabel(task);
        if (order === undefined) {
            this.options.context.log.warn("CR1101", "task with a foreign label left alone", {
                attempt: task.attempt,
            });
            return undefined;
        }
        const now = this.options.context.clock.now();
        const attempt: Attempt = {
            order,
            state: AttemptState.uncertain,
            workerId: session.workerId,
            slice: session.slice,
            sliceEpoch: session.epoch,
            startedAt: now - task.ranMs,
            stopping: false,
        };
        this.options.ledger.attempts.add(attempt);
        const ended = task.state !== WorkerTaskState.running && task.state !== WorkerTaskState.checkpointing;
        if (!ended) {
            this.options.core.adopt(session.workerId, buildWorkItem(order, now), now);
        }
        return attempt;
    }

    private endByWorker(attempt: Attempt, task: WorkerTask): void {
        if (task.state === WorkerTaskState.running || task.state === WorkerTaskState.checkpointing) {
            return;
        }
        const failed = task.state === WorkerTaskState.failed;
        if (failed || task.state === WorkerTaskState.done) {
            this.options.observeResult(attempt.workerId ?? "", attempt.order.branch, failed);
        }
        const { ranMs, checkpoint, answer } = task;
        const message = failed ? answer : undefined;
        this.options.ledger.end(attempt, {
            state: END_STATES[task.state],
            ranMs,
            checkpoint,
            answer,
            message,
        }, task);
    }
}

function isEndKnownOnlyHere(attempt: Attempt): boolean {
    return attempt.end?.state === TaskUpdateState.notStarted || attempt.end?.state === TaskUpdateState.lost;
}
