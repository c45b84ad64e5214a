/**
 * Attempts at tasks: starting them, what each update means, and ends.
 *
 * @remarks A task has one attempt at most. The next begins only when the one before is proved not to have started
 * or to have ended: by an update, or by a complete census that nobody knows it in.
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
import type { PlacerChoice } from "./placer-choice.js";
import { computeLossPause, RETRY_BASE_MS } from "./retry-pause.js";

const SECOND_MS: Millis = 1_000;
const ENDS_PER_ENTRY = 500;
/**
 * Time for the start marker of a granted attempt: less than a placer holds the room. Markers are not queued longer,
 * or a store outage would pile up markers of attempts that are long over.
 */
const GRANT_PATIENCE_MS: Millis = 2_000;
const DEFAULT_STARTS_PER_SECOND = 50;

/** States that say nothing final of an attempt. */
const PASSING_STATES: readonly TaskUpdate["state"][] = ["queued", "granted", "running", "moved"];

/** Why a task that is not repeatable ends when its attempt is lost. */
export const LOST_MESSAGE = "its entry, placer or worker was lost after it had been handed over; " +
    "it is not repeatable and is not started again";

/** Attempts of one slice. */
export class TaskEngine {
    readonly runs = new Map<string, JobRun>();
    private readonly attempts = new Map<string, LiveAttempt>();
    /** Set when the slice is closed: nobody need wait here any longer. */
    isClosed = false;
    private nextRecoveryAt: Millis = -Infinity;

    constructor(
        readonly core: SliceCore,
        readonly outbox: Outbox,
        readonly choice: PlacerChoice,
        private readonly wake: () => void,
    ) {}

    /** Begins to work on a job that is durable. */
    openRun(record: JobRecord, isRecovered: boolean): JobRun {
        const run = new JobRun(record, isRecovered);
        this.runs.set(record.jobId, run);
        this.wake();
        return run;
    }

    listAttempts(): Iterable<LiveAttempt> {
        return this.attempts.values();
    }

    findAttempt(attempt: string): LiveAttempt | undefined {
        return this.attempts.get(attempt);
    }

    /** Makes an attempt the current one of its task; nothing is sent yet. */
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
            heardAt: clock.now(),
            runningSince: undefined,
            isOverdue: false,
            sends: 0,
        };
        run.live.set(index, live);
        this.attempts.set(live.attempt, live);
        return live;
    }

    makeAttemptId(run: JobRun, index: number): string {
        return `${run.record.jobId}.${index}.${this.core.epoch}.${run.takeTry(index)}`;
    }

    /** Puts the order of an attempt into the outbox, the first time or again. */
    sendOrder(live: LiveAttempt): void {
        const order = this.buildOrder(live.run, live.index, live.attempt, live.gangId);
        live.sequence = order.home.sequence;
        live.sentAt = this.core.context.clock.now();
        live.sends++;
        live.isConfirmed ||= live.gangId !== undefined;
        if (live.phase === AttemptPhase.marking) {
            this.setPhase(live, AttemptPhase.sent);
        }
        this.outbox.addOrder(live.placer, order);
        this.wake();
    }

    /**
     * Lets a granted attempt start, once its start marker is durable. A task that is not repeatable is marked only
     * when a placer has room for it, so that the loss of an entry leaves few tasks of which nobody can tell.
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
        const result = await this.core.log.commit([entry], GRANT_PATIENCE_MS);
        if (result.kind !== "durable") {
            // The placer gives the room to others and says so; the task is offered again.
            return;
        }
        const isWanted = !record.cancelled && !live.run.isCancelling && !live.isWithdrawn;
        if (isWanted && live.phase === AttemptPhase.granted && this.attempts.get(live.attempt) === live) {
            live.isConfirmed = true;
            this.outbox.addConfirmation(live.placer, live.attempt);
            this.wake();
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

    /** The first order of an attempt left no trace: the task may go elsewhere. */
    handleUnsent(memberId: string, order: PlaceOrder): void {
        const live = this.attempts.get(order.attempt);
        if (live === undefined || live.phase !== AttemptPhase.sent || live.sends > 1) {
            return;
        }
        this.choice.pausePlacer(memberId, order.branch, RETRY_BASE_MS);
        this.returnTask(live, RETRY_BASE_MS, `the link to ${memberId} is down`);
    }

    /** Takes an attempt off the books; its task waits again. */
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
        this.wake();
    }

    /**
     * Guards against a task of a cancelled job that waits for ever: the cancellation became durable while the end of
     * the task's attempt was being written, and passed over it. Nothing offers it again and nothing else ends it.
     */
    private endIfCancelled({ run, index }: LiveAttempt): void {
        if (!run.record.cancelled) {
            return;
        }
        const outcome = { kind: "cancelled", started: this.mayHaveStarted(run, index) } as const;
        const attempts = Math.max(1, run.countTries(index));
        void this.endFreeTasks(run, [{ index, outcome: encodeOutcome(outcome), attempts }]);
    }

    /** As {@link returnTask}, for a lost attempt: a correlated loss is started again at a pace. */
    returnLostTask(live: LiveAttempt, reason: string): void {
        const now = this.core.context.clock.now();
        this.nextRecoveryAt = Math.max(now, this.nextRecoveryAt + SECOND_MS / this.getRecoveryRate());
        const pause = computeLossPause(live.run.countLosses(live.index));
        this.returnTask(live, Math.max(pause, this.nextRecoveryAt - now), reason);
    }

    /** Writes entries about an attempt that has ended, then acknowledges it. */
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
        this.wake();
    }

    /** Ends a task by its attempt. */
    endTask(live: LiveAttempt, outcome: Outcome): void {
        const { run, index } = live;
        const end: TaskEnd = {
            index,
            outcome: encodeOutcome(outcome),
            workerId: live.workerId,
            attempts: Math.max(1, run.countTries(index)),
        };
        const entry: HomeEntry = { kind: "tasksEnded", jobId: run.record.jobId, ends: [end] };
        void this.settleAttempt(live, entry, () => {
            this.removeAttempt(live);
            this.closeRunIfEnded(run);
        });
    }

    /** Writes that an attempt ended without an end of its task, and lets the task wait again. */
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

    /** Nobody knows the attempt, and nobody can run it any more. */
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

    /** Ends tasks that have no attempt, such as those that no census found; none is offered from now on. */
    async endFreeTasks(run: JobRun, ends: readonly TaskEnd[]): Promise<void> {
        for (const { index } of ends) {
            run.ending.add(index);
        }
        for (let start = 0; start < ends.length; start += ENDS_PER_ENTRY) {
            const part = ends.slice(start, start + ENDS_PER_ENTRY);
            const { jobId } = run.record;
            const result = await this.core.log.commit([{ kind: "tasksEnded", jobId, ends: part }]);
            if (result.kind === "durable") {
                this.closeRunIfEnded(run);
                run.wakeWaiters();
            }
        }
    }

    /** Forgets the run of a job that has ended; its record stays until its retention is over. */
    closeRunIfEnded(run: JobRun): void {
        if (run.record.isEnded()) {
            this.runs.delete(run.record.jobId);
        }
    }

    setPhase(live: LiveAttempt, phase: AttemptPhase): void {
        const before = live.phase;
        if (before === phase) {
            return;
        }
        const change = Number(isWaiting(phase)) - Number(isWaiting(before));
        this.choice.recordWaiting(live.placer, change);
        live.run.running += Number(phase === AttemptPhase.running) - Number(before === AttemptPhase.running);
        live.phase = phase;
    }

    /** Follows a task to another placer, after its worker's slice has moved. */
    movePlacer(live: LiveAttempt, placer: string): void {
        if (live.placer === placer) {
            return;
        }
        if (isWaiting(live.phase)) {
            this.choice.recordWaiting(live.placer, -1);
            this.choice.recordWaiting(placer, 1);
        }
        live.placer = placer;
    }

    /** Has an attempt stopped wherever it is; repeated by the sync until its end is known. */
    withdrawAttempt(live: LiveAttempt): void {
        live.isWithdrawn = true;
        live.sends++;
        live.sentAt = this.core.context.clock.now();
        this.outbox.addWithdrawal(live.placer, live.attempt);
        this.wake();
    }

    /**
     * Whether a task may have started. Of jobs of an owner before nobody can prove that one did not, since the
     * starts of repeatable tasks are not written.
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

/** Answers and updates that need it: whether a state of an update is final. */
export function isFinalState(update: TaskUpdate): boolean {
    return !PASSING_STATES.includes(update.state);
}
