/**
 * Attempts at tasks: their start, phases, retries and ends.
 *
 * @remarks A task has at most one attempt. The next begins only when the previous one is proved to have ended or not
 * to have started: by an update, or by a complete census in which no placer reported it.
 */
import type { Millis } from "../../../common/clock.js";
import type { Outcome } from "../../../common/outcome.js";
import type { PlaceOrder, TaskUpdate } from "../../../connection/messages.js";
import { HOME_SLICES } from "../../../version/settings.js";
import type { HomeEntry, JobRecord, TaskEnd } from "../state/index.js";
import { encodeOutcome, TaskCode } from "../state/index.js";
import type { SliceCore } from "./core.js";
import type { LiveAttempt } from "./job-run.js";
import { AttemptPhase, JobRun } from "./job-run.js";
import type { Outbox } from "./outbox.js";
import type { PlacerSelector } from "./placer-selector.js";
import { computeLossBackoff, RETRY_BASE_MS } from "./retry-backoff.js";

const SECOND_MS: Millis = 1_000;
const MAX_ENDS_PER_ENTRY = 500;
/**
 * Timeout for writing the start marker of a granted attempt, shorter than a placer holds the capacity. A longer
 * timeout would queue up, in a store outage, markers of attempts that have ended long since.
 */
const GRANT_MARKER_TIMEOUT_MS: Millis = 2_000;
const DEFAULT_STARTS_PER_SECOND = 50;

/** States of an update after which an attempt may still run. */
const NON_FINAL_STATES: readonly TaskUpdate["state"][] = ["queued", "granted", "running", "moved"];

/** Message of the outcome of a task that is not repeatable and whose attempt is lost. */
export const LOST_MESSAGE = "its entry, placer or worker was lost after it had been handed over; " +
    "it is not repeatable and is not started again";

/** The open jobs of one slice and the live attempts at their tasks. */
export class TaskEngine {
    readonly runs = new Map<string, JobRun>();
    private readonly attempts = new Map<string, LiveAttempt>();
    /** Set when the slice is closed; callers that wait for a job's end then return. */
    isClosed = false;
    /** Earliest time at which the last lost task is started again; spaces the restarts after a correlated loss. */
    private nextRecoveryAt: Millis = -Infinity;

    constructor(
        readonly core: SliceCore,
        readonly outbox: Outbox,
        readonly selector: PlacerSelector,
        private readonly scheduleRound: () => void,
    ) {}

    /** Opens the run of a job whose acceptance is durable. */
    openRun(record: JobRecord, isRecovered: boolean): JobRun {
        const run = new JobRun(record, isRecovered);
        this.runs.set(record.jobId, run);
        this.scheduleRound();
        return run;
    }

    listAttempts(): Iterable<LiveAttempt> {
        return this.attempts.values();
    }

    findAttempt(attempt: string): LiveAttempt | undefined {
        return this.attempts.get(attempt);
    }

    /**
     * Makes an attempt the current one of its task; nothing is sent yet.
     * @param attempt - Id of an adopted or planned attempt; by default a new one is made.
     */
    registerAttempt(run: JobRun, index: number, placer: string, attempt?: string): LiveAttempt {
        const { clock } = this.core.context;
        const live: LiveAttempt = {
            attempt: attempt ?? this.makeAttemptId(run, index),
            run,
            index,
            sequence: 0,
            placer,
            phase: AttemptPhase.marking,
            sentAt: clock.now(),
            workerId: undefined,
            sliceEpoch: 0,
            gangId: undefined,
            isWithdrawn: false,
            isConfirmed: attempt !== undefined || run.record.spec.repeatable,
            lastUpdateAt: clock.now(),
            runningSince: undefined,
            isOverdue: false,
            sendCount: 0,
        };
        run.live.set(index, live);
        this.attempts.set(live.attempt, live);
        return live;
    }

    makeAttemptId(run: JobRun, index: number): string {
        return `${run.record.jobId}.${index}.${this.core.epoch}.${run.takeAttemptNumber(index)}`;
    }

    /** Puts the order of an attempt into the outbox, for the first time or to send it again. */
    sendOrder(live: LiveAttempt): void {
        const order = this.buildOrder(live.run, live.index, live.attempt, live.gangId);
        live.sequence = order.home.sequence;
        live.sentAt = this.core.context.clock.now();
        live.sendCount++;
        live.isConfirmed ||= live.gangId !== undefined;
        if (live.phase === AttemptPhase.marking) {
            this.setPhase(live, AttemptPhase.sent);
        }
        this.outbox.addOrder(live.placer, order);
        this.scheduleRound();
    }

    /**
     * Lets a granted attempt start once its start marker is durable.
     *
     * @remarks A task that is not repeatable is marked only when a placer holds capacity for it, so that the loss of
     * an entry leaves few tasks of which it is unknown whether they ran.
     */
    async confirmStart(live: LiveAttempt): Promise<void> {
        this.setPhase(live, AttemptPhase.granted);
        const { record } = live.run;
        const entry: HomeEntry = {
            kind: "tasksStarting",
            jobId: record.jobId,
            ranges: [[live.index, live.index]],
            attempt: live.attempt,
        };
        const result = await this.core.log.commit([entry], GRANT_MARKER_TIMEOUT_MS);
        if (result.kind !== "durable") {
            // The placer's hold expires and it reports that; the task is then offered again.
            return;
        }
        const isWanted = !record.cancelled && !live.run.isCancelling && !live.isWithdrawn;
        if (isWanted && live.phase === AttemptPhase.granted && this.attempts.get(live.attempt) === live) {
            live.isConfirmed = true;
            this.outbox.addConfirmation(live.placer, live.attempt);
            this.scheduleRound();
        }
    }

    buildOrder(run: JobRun, index: number, attempt: string, gangId: string | undefined): PlaceOrder {
        const { record } = run;
        const { spec } = record;
        return {
            attempt,
            jobId: record.jobId,
            index,
            home: this.core.makeFence(),
            kind: spec.kind,
            branch: spec.branch,
            caller: record.caller,
            urgent: spec.urgent,
            repeatable: spec.repeatable,
            resources: spec.resources,
            estimateMs: spec.estimateMs,
            waitedMs: Math.max(0, this.core.log.getLogTime() - record.acceptedAt),
            payload: spec.payload,
            checkpoint: record.retries.get(index)?.checkpoint,
            gangId,
        };
    }

    /** Returns a task whose first order was not sent, so that it can go to another placer. */
    handleUnsent(memberId: string, order: PlaceOrder): void {
        const live = this.attempts.get(order.attempt);
        if (live === undefined || live.phase !== AttemptPhase.sent || live.sendCount > 1) {
            return;
        }
        this.selector.pausePlacer(memberId, order.branch, RETRY_BASE_MS);
        this.returnTask(live, RETRY_BASE_MS, `the link to ${memberId} is down`);
    }

    /** Removes an attempt; its task waits to be offered again. */
    returnTask(live: LiveAttempt, delayMs: Millis, reason: string): void {
        this.removeAttempt(live);
        live.run.reason = reason;
        if (live.run.record.spec.kind === "gang") {
            live.run.isGangBroken = true;
        }
        else {
            live.run.returnTask(live.index, this.core.context.clock.now() + delayMs);
        }
        this.endIfCancelled(live);
        this.scheduleRound();
    }

    /**
     * Ends the task of a removed attempt if its job is cancelled.
     *
     * @remarks A cancellation that became durable while the end of the attempt was being written did not cover the
     * task. As it is not offered again either, the task would wait forever.
     */
    private endIfCancelled({ run, index }: LiveAttempt): void {
        if (!run.record.cancelled) {
            return;
        }
        const outcome = { kind: "cancelled", started: this.mayHaveStarted(run, index) } as const;
        const attempts = Math.max(1, run.countAttempts(index));
        void this.endUnassignedTasks(run, [{ index, outcome: encodeOutcome(outcome), attempts }]);
    }

    /** As {@link returnTask}, for a lost attempt, with backoff and with restarts rate-limited after a mass loss. */
    returnLostTask(live: LiveAttempt, reason: string): void {
        const now = this.core.context.clock.now();
        this.nextRecoveryAt = Math.max(now, this.nextRecoveryAt + SECOND_MS / this.getRecoveryRate());
        const pause = computeLossBackoff(live.run.countLosses(live.index));
        this.returnTask(live, Math.max(pause, this.nextRecoveryAt - now), reason);
    }

    /** Writes an entry about an attempt that has ended; once durable, calls `finish` and acknowledges the end. */
    async settleAttempt(live: LiveAttempt, entry: HomeEntry, finish: () => void): Promise<void> {
        const placer = live.placer;
        this.setPhase(live, AttemptPhase.ending);
        const result = await this.core.log.commit([entry]);
        if (result.kind !== "durable") {
            return;
        }
        finish();
        this.outbox.addAcknowledgement(placer, live.attempt);
        live.run.wakeWaiters();
        this.scheduleRound();
    }

    /** Ends a task with the outcome of its attempt. */
    endTask(live: LiveAttempt, outcome: Outcome): void {
        const { run, index } = live;
        const end: TaskEnd = {
            index,
            outcome: encodeOutcome(outcome),
            workerId: live.workerId,
            attempts: Math.max(1, run.countAttempts(index)),
        };
        const entry: HomeEntry = { kind: "tasksEnded", jobId: run.record.jobId, ends: [end] };
        void this.settleAttempt(live, entry, () => {
            this.removeAttempt(live);
            this.closeRunIfEnded(run);
        });
    }

    /** Writes that an attempt ended but its task did not, and lets the task wait again. */
    retryTask(live: LiveAttempt, failures: number, checkpoint: string | undefined, delayMs: Millis): void {
        const { run, index } = live;
        const entry: HomeEntry = {
            kind: "taskRequeued",
            jobId: run.record.jobId,
            index,
            failures,
            checkpoint,
        };
        void this.settleAttempt(live, entry, () => {
            const reason = failures > 0 ? "it failed and is tried again" : "it gave way to other work";
            this.returnTask(live, delayMs, reason);
        });
    }

    /** Resolves an attempt that no placer knows or can still run: ends its task, or lets it wait again. */
    resolveLost(live: LiveAttempt): void {
        const { record } = live.run;
        if (live.isConfirmed) {
            live.run.started.add(live.index);
        }
        if (!record.spec.repeatable && live.isConfirmed) {
            this.endTask(live, { kind: "mayHaveRun", message: LOST_MESSAGE });
        }
        else if (record.cancelled) {
            this.endTask(live, { kind: "cancelled", started: this.mayHaveStarted(live.run, live.index) });
        }
        else {
            this.returnLostTask(live, "its placer or worker was lost");
        }
    }

    /** Ends tasks that have no attempt, such as those that a census did not find; they are no longer offered. */
    async endUnassignedTasks(run: JobRun, ends: readonly TaskEnd[]): Promise<void> {
        for (const { index } of ends) {
            run.ending.add(index);
        }
        for (let start = 0; start < ends.length; start += MAX_ENDS_PER_ENTRY) {
            const part = ends.slice(start, start + MAX_ENDS_PER_ENTRY);
            const { jobId } = run.record;
            const result = await this.core.log.commit([{ kind: "tasksEnded", jobId, ends: part }]);
            if (result.kind === "durable") {
                this.closeRunIfEnded(run);
                run.wakeWaiters();
            }
        }
    }

    /** Removes the run of a job that has ended; its record stays until its retention is over. */
    closeRunIfEnded(run: JobRun): void {
        if (run.record.isEnded()) {
            this.runs.delete(run.record.jobId);
        }
    }

    setPhase(live: LiveAttempt, phase: AttemptPhase): void {
        const previous = live.phase;
        if (previous === phase) {
            return;
        }
        const change = Number(isWaiting(phase)) - Number(isWaiting(previous));
        this.selector.recordWaiting(live.placer, change);
        live.run.running += Number(phase === AttemptPhase.running) -
            Number(previous === AttemptPhase.running);
        live.phase = phase;
    }

    /** Records that another placer now owns an attempt, after its worker's slice has moved. */
    movePlacer(live: LiveAttempt, placer: string): void {
        if (live.placer === placer) {
            return;
        }
        if (isWaiting(live.phase)) {
            this.selector.recordWaiting(live.placer, -1);
            this.selector.recordWaiting(placer, 1);
        }
        live.placer = placer;
    }

    /** Tells an attempt's placer to withdraw or stop it; sent again periodically until its end is known. */
    withdrawAttempt(live: LiveAttempt): void {
        live.isWithdrawn = true;
        live.sendCount++;
        live.sentAt = this.core.context.clock.now();
        this.outbox.addWithdrawal(live.placer, live.attempt);
        this.scheduleRound();
    }

    /**
     * Whether a task may have started. Always true for a job of a previous owner: starts of repeatable tasks are not
     * written, so nothing proves that the task did not start.
     */
    mayHaveStarted(run: JobRun, index: number): boolean {
        return run.isRecovered || run.started.has(index) || run.record.retries.has(index);
    }

    private removeAttempt(live: LiveAttempt): void {
        this.setPhase(live, AttemptPhase.ending);
        live.run.live.delete(live.index);
        this.attempts.delete(live.attempt);
    }

    private getRecoveryRate(): number {
        const { settings, ownership } = this.core.context;
        const rate = settings.getCurrent()?.cell.recoveryStartsPerSecond ?? DEFAULT_STARTS_PER_SECOND;
        return Math.max(1, rate * Math.max(1, ownership.listMembers().length) / HOME_SLICES);
    }
}

function isWaiting(phase: AttemptPhase): boolean {
    return phase === AttemptPhase.sent || phase === AttemptPhase.queued;
}

/** Whether a start marker of a task is durable. */
export function hasMarker(run: JobRun, index: number): boolean {
    return run.record.codes[index] === TaskCode.marked;
}

/** Whether an update reports a final state of its attempt. */
export function isFinalState(update: TaskUpdate): boolean {
    return !NON_FINAL_STATES.includes(update.state);
}
