/** What the owner of a slice knows of a job that is not written: attempts under way, and what waits for what. */
import { Heap } from "heap-js";
import type { Millis } from "../../../common/clock.js";
import type { TaskUpdate } from "../../../connection/messages.js";
import type { JobRecord } from "../state/index.js";

/** Stages of an attempt. */
export const AttemptPhase = {
    /** Its start marker is being written; nothing has been sent. */
    marking: "marking",
    /** Sent, not confirmed. */
    sent: "sent",
    queued: "queued",
    /** A placer holds room for it; its start marker is being written, or its confirmation is on its way. */
    granted: "granted",
    running: "running",
    /** It has ended; the end is being written. */
    ending: "ending",
} as const;
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/** The current attempt at a task. A task has one at most: that no task runs twice starts here. */
export interface LiveAttempt {
    readonly attempt: string;
    readonly run: JobRun;
    readonly index: number;
    /** Sequence of its order; 0 for one adopted from an owner before. */
    sequence: number;
    placer: string;
    phase: AttemptPhase;
    sentAt: Millis;
    workerId: string | undefined;
    sliceEpoch: number;
    gangId: string | undefined;
    isWithdrawn: boolean;
    /** Whether its placer was allowed to start it: until then it surely has not run. */
    isConfirmed: boolean;
    /** When a placer last spoke of it. */
    heardAt: Millis;
    /** When it was first heard to run; undefined until then. */
    runningSince: Millis | undefined;
    /** Whether it is being stopped because it ran longer than its branch allows. */
    isOverdue: boolean;
    /** How often its order was put into the outbox. */
    sends: number;
}

/** An update about work of an owner before, kept until the census is complete. */
export interface FoundUpdate {
    readonly from: string;
    readonly update: TaskUpdate;
    /** When it was heard. */
    readonly heardAt: Millis;
}

interface Requeued {
    readonly index: number;
    readonly notBefore: Millis;
}

/** A task that has run for this long did not crash its worker by starting. */
const LOSS_CLEARED_MS: Millis = 60_000;

/** A job under way. */
export class JobRun {
    readonly live = new Map<number, LiveAttempt>();
    /** Tasks without an attempt whose end is being written: they must not be offered meanwhile. */
    readonly ending = new Set<number>();
    /** Tasks that have been seen running under this owner. */
    readonly started = new Set<number>();
    /** Found by the census; undefined once it is complete. */
    found: Map<number, FoundUpdate> | undefined;
    running = 0;
    isCancelling = false;
    /** What it waits for, in words, as last heard. */
    reason = "";
    /** Set when a task of a started gang has to start again. */
    isGangBroken = false;
    readonly waiters = new Set<() => void>();
    private cursor = 0;
    private readonly requeued = new Heap<Requeued>((left, right) =>
        left.notBefore - right.notBefore || left.index - right.index
    );
    private readonly tries = new Map<number, number>();
    /** Losses in a row of each task with its worker, none of them after it had run for long. */
    private readonly losses = new Map<number, number>();

    /**
     * @param record - The durable part.
     * @param isRecovered - Whether an owner before may have started tasks of it.
     */
    constructor(readonly record: JobRecord, readonly isRecovered: boolean) {
        this.found = isRecovered ? new Map() : undefined;
    }

    /** Whether tasks of it may be started. */
    canStart(): boolean {
        return this.found === undefined && !this.isCancelling && !this.record.cancelled;
    }

    /** The next task to be offered, without taking it; undefined if none is due. */
    findNext(now: Millis): number | undefined {
        this.dropStaleRequeued();
        const again = this.requeued.peek();
        if (again !== undefined && again.notBefore <= now) {
            return again.index;
        }
        while (this.cursor < this.record.codes.length && !this.isFree(this.cursor)) {
            this.cursor++;
        }
        return this.cursor < this.record.codes.length ? this.cursor : undefined;
    }

    /** Puts a task back, to be offered no earlier than an instant. */
    returnTask(index: number, notBefore: Millis): void {
        if (index >= this.cursor) {
            // Not passed by the cursor yet (adopted from an owner before): the heap holds it until it is due.
            this.held.add(index);
        }
        this.requeued.push({ index, notBefore });
    }

    /** Number of the next try of a task under this owner, from 1. */
    takeTry(index: number): number {
        const next = (this.tries.get(index) ?? 0) + 1;
        this.tries.set(index, next);
        return next;
    }

    countTries(index: number): number {
        return (this.tries.get(index) ?? 0) + (this.record.retries.has(index) ? 1 : 0);
    }

    /** Takes in that a task's worker was lost with it. */
    recordLoss({ index, runningSince }: LiveAttempt, now: Millis): void {
        const ranLong = runningSince !== undefined && now - runningSince >= LOSS_CLEARED_MS;
        this.losses.set(index, ranLong ? 0 : this.countLosses(index) + 1);
    }

    countLosses(index: number): number {
        return this.losses.get(index) ?? 0;
    }

    /** Open tasks without an attempt, in rising order. */
    listFree(): number[] {
        const free: number[] = [];
        for (let index = 0; index < this.record.codes.length; index++) {
            if (this.isIdle(index)) {
                free.push(index);
            }
        }
        return free;
    }

    /** Lets all who wait for a change of the job go on. */
    wakeWaiters(): void {
        for (const wake of [...this.waiters]) {
            wake();
        }
    }

    private readonly held = new Set<number>();

    private isFree(index: number): boolean {
        return this.isIdle(index) && !this.held.has(index);
    }

    /** Whether a task has neither an end, nor one being written, nor an attempt. */
    private isIdle(index: number): boolean {
        return this.record.isTaskOpen(index) && !this.live.has(index) && !this.ending.has(index);
    }

    private dropStaleRequeued(): void {
        for (;;) {
            const first = this.requeued.peek();
            if (first === undefined || this.isIdle(first.index)) {
                return;
            }
            this.requeued.pop();
            this.held.delete(first.index);
        }
    }
}
