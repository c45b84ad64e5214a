/** The volatile state of a job at the owner of its slice: live attempts, and tasks that wait to be offered. */
import { Heap } from "heap-js";
import type { Millis } from "../../../common/clock.js";
import type { TaskUpdate } from "../../../connection/messages.js";
import type { JobRecord } from "../state/index.js";

/** Stages of an attempt. */
export const AttemptPhase = {
    /** Its start marker is being written; nothing has been sent. */
    marking: "marking",
    /** Its order was sent; no placer has reported it yet. */
    sent: "sent",
    queued: "queued",
    /** A placer holds capacity for it; its start marker is being written, or its confirmation is in transit. */
    granted: "granted",
    running: "running",
    /** It has ended; the end is being written. */
    ending: "ending",
} as const;
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/** The current attempt at a task. A task has at most one, which is the basis for no task running twice. */
export interface LiveAttempt {
    readonly attempt: string;
    readonly run: JobRun;
    readonly index: number;
    /** Sequence number of its last order; 0 for an attempt adopted from a previous owner. */
    sequence: number;
    placer: string;
    phase: AttemptPhase;
    sentAt: Millis;
    workerId: string | undefined;
    sliceEpoch: number;
    gangId: string | undefined;
    isWithdrawn: boolean;
    /** Whether its placer may have been allowed to start it; while false, it cannot have run. */
    isConfirmed: boolean;
    /** When the last update about it was received. */
    lastUpdateAt: Millis;
    /** When the first update that it runs was received; undefined until then. */
    runningSince: Millis | undefined;
    /** Whether it is being stopped because it ran longer than the `maxRunMs` of its branch. */
    isOverdue: boolean;
    /** How often its order or its withdrawal was put into the outbox. */
    sendCount: number;
}

/** An update about an attempt that a previous owner started, kept until the census is complete. */
export interface RecoveredUpdate {
    readonly from: string;
    readonly update: TaskUpdate;
    readonly receivedAt: Millis;
}

interface Requeued {
    readonly index: number;
    readonly notBefore: Millis;
}

/** Run time after which the loss of a worker is not blamed on the task's start; it resets the count of losses. */
const LOSS_RESET_RUN_MS: Millis = 60_000;

/** A job that has not ended. */
export class JobRun {
    readonly live = new Map<number, LiveAttempt>();
    /** Tasks without an attempt whose end is being written: they must not be offered meanwhile. */
    readonly ending = new Set<number>();
    /** Tasks that were reported running to this owner, or may have run under it. */
    readonly started = new Set<number>();
    /** Updates about attempts of previous owners, by task; undefined once a census is complete, or for a new job. */
    recoveredUpdates: Map<number, RecoveredUpdate> | undefined;
    running = 0;
    isCancelling = false;
    /** What its tasks wait for, in words, as last reported. */
    reason = "";
    /** Set when a task of a started gang has to start again. */
    isGangBroken = false;
    readonly waiters = new Set<() => void>();
    private cursor = 0;
    private readonly requeued = new Heap<Requeued>((left, right) =>
        left.notBefore - right.notBefore || left.index - right.index
    );
    private readonly attemptCounts = new Map<number, number>();
    /** Consecutive losses of each task with its worker, none of them after a run of {@link LOSS_RESET_RUN_MS}. */
    private readonly losses = new Map<number, number>();

    /**
     * @param record - The durable state of the job.
     * @param isRecovered - Whether a previous owner may have started tasks of it.
     */
    constructor(readonly record: JobRecord, readonly isRecovered: boolean) {
        this.recoveredUpdates = isRecovered ? new Map() : undefined;
    }

    /** Whether its tasks may be started: only after a census has shown what runs, and not if cancelled. */
    canStart(): boolean {
        return this.recoveredUpdates === undefined && !this.isCancelling && !this.record.cancelled;
    }

    /** Finds the next task to offer, without removing it; undefined if none is due. */
    findNext(now: Millis): number | undefined {
        this.dropStaleRequeued();
        const requeued = this.requeued.peek();
        if (requeued !== undefined && requeued.notBefore <= now) {
            return requeued.index;
        }
        while (this.cursor < this.record.codes.length && !this.canOfferNow(this.cursor)) {
            this.cursor++;
        }
        return this.cursor < this.record.codes.length ? this.cursor : undefined;
    }

    /** Puts a task back, to be offered again no earlier than `notBefore`. */
    returnTask(index: number, notBefore: Millis): void {
        if (index >= this.cursor) {
            // The cursor has not passed it (adopted from a previous owner): it is deferred until the heap's time.
            this.deferred.add(index);
        }
        this.requeued.push({ index, notBefore });
    }

    /** Returns the number of the next attempt at a task under this owner, from 1, and counts that attempt. */
    takeAttemptNumber(index: number): number {
        const next = (this.attemptCounts.get(index) ?? 0) + 1;
        this.attemptCounts.set(index, next);
        return next;
    }

    countAttempts(index: number): number {
        return (this.attemptCounts.get(index) ?? 0) + (this.record.retries.has(index) ? 1 : 0);
    }

    /** Records that a task was lost with its worker. */
    recordLoss({ index, runningSince }: LiveAttempt, now: Millis): void {
        const ranLong = runningSince !== undefined && now - runningSince >= LOSS_RESET_RUN_MS;
        this.losses.set(index, ranLong ? 0 : this.countLosses(index) + 1);
    }

    countLosses(index: number): number {
        return this.losses.get(index) ?? 0;
    }

    /** Lists the open tasks without an attempt, in ascending order. */
    listUnassigned(): number[] {
        const unassigned: number[] = [];
        for (let index = 0; index < this.record.codes.length; index++) {
            if (this.isUnassigned(index)) {
                unassigned.push(index);
            }
        }
        return unassigned;
    }

    /** Notifies all callers that wait for a change of the job. */
    wakeWaiters(): void {
        for (const wake of [...this.waiters]) {
            wake();
        }
    }

    /** Tasks ahead of the cursor that the cursor must skip, since they are requeued for a later time. */
    private readonly deferred = new Set<number>();

    private canOfferNow(index: number): boolean {
        return this.isUnassigned(index) && !this.deferred.has(index);
    }

    /** Whether a task has neither an end, nor one being written, nor an attempt. */
    private isUnassigned(index: number): boolean {
        return this.record.isTaskOpen(index) && !this.live.has(index) && !this.ending.has(index);
    }

    private dropStaleRequeued(): void {
        for (;;) {
            const first = this.requeued.peek();
            if (first === undefined || this.isUnassigned(first.index)) {
                return;
            }
            this.requeued.pop();
            this.deferred.delete(first.index);
        }
    }
}
