/**
 * A job in the state of its home slice: one byte for each task, and details only of tasks that can be shown.
 */
import type { Millis } from "../../../common/clock.js";
import type { Caller, JobSpec } from "../../../request/work.js";
import { MAX_TASKS_SHOWN } from "../../../request/work.js";
import type { StoredOutcome, TaskEnd } from "./entries.js";

/** State of one task, stored as a byte. */
export const TaskCode = {
    waiting: 0,
    /** A start marker is durable: the task may be running. */
    marked: 1,
    done: 2,
    failed: 3,
    notRun: 4,
    mayHaveRun: 5,
    cancelledBefore: 6,
    cancelledAfter: 7,
} as const;
export type TaskCode = (typeof TaskCode)[keyof typeof TaskCode];

const TASK_CODES = 8;

/** Data of an ended task besides its code. */
export interface TaskDetail {
    readonly outcome: StoredOutcome;
    readonly workerId?: string;
    readonly attempts: number;
}

/** Data of a task that waits again after an earlier attempt. */
export interface TaskRetry {
    readonly failures: number;
    readonly checkpoint?: string;
}

/** A job and its tasks. */
export class JobRecord {
    readonly codes: Uint8Array;
    /** Number of tasks with each code. */
    readonly totals: number[] = new Array<number>(TASK_CODES).fill(0);
    readonly details = new Map<number, TaskDetail>();
    readonly retries = new Map<number, TaskRetry>();
    /** Attempts named by start markers, by task index. */
    readonly markers = new Map<number, string>();
    cancelled = false;
    /** Log time at which the last task ended. */
    endedAt: Millis | undefined;

    /**
     * @param acceptedAt - Log time of acceptance.
     */
    constructor(
        readonly jobId: string,
        readonly caller: Caller,
        readonly spec: JobSpec,
        readonly submittedWallMs: number,
        readonly acceptedAt: Millis,
    ) {
        this.codes = new Uint8Array(spec.tasks);
        this.totals[TaskCode.waiting] = spec.tasks;
    }

    /** Whether every task has ended. */
    isEnded(): boolean {
        return this.countOpen() === 0;
    }

    /** Number of tasks that have not ended. */
    countOpen(): number {
        return this.getTotal(TaskCode.waiting) + this.getTotal(TaskCode.marked);
    }

    getTotal(code: TaskCode): number {
        return this.totals[code] ?? 0;
    }

    /** Whether the job has this task and it has not ended. */
    isTaskOpen(index: number): boolean {
        const code = this.codes[index];
        return code === TaskCode.waiting || code === TaskCode.marked;
    }

    /** Changes the code of an open task; returns false for an ended one, whose code never changes. */
    setCode(index: number, code: TaskCode): boolean {
        if (!this.isTaskOpen(index)) {
            return false;
        }
        const previousCode = this.codes[index] ?? 0;
        this.codes[index] = code;
        if (code !== TaskCode.marked) {
            this.markers.delete(index);
        }
        if (!this.isTaskOpen(index)) {
            this.retries.delete(index);
        }
        this.totals[previousCode] = (this.totals[previousCode] ?? 0) - 1;
        this.totals[code] = (this.totals[code] ?? 0) + 1;
        return true;
    }

    /** Records a start marker, and its attempt unless it stands for several. */
    markTask(index: number, attempt: string | undefined): void {
        this.setCode(index, TaskCode.marked);
        if (attempt !== undefined && this.isTaskOpen(index)) {
            this.markers.set(index, attempt);
        }
        else {
            this.markers.delete(index);
        }
    }

    /** Records the end of a task; ends after the first are ignored. */
    endTask(end: TaskEnd): void {
        if (!this.setCode(end.index, convertToCode(end.outcome))) {
            return;
        }
        if (end.index < MAX_TASKS_SHOWN) {
            const { outcome, workerId, attempts } = end;
            this.details.set(end.index, { outcome, workerId, attempts });
        }
    }
}

function convertToCode(outcome: StoredOutcome): TaskCode {
    if (outcome.kind === "cancelled") {
        return outcome.started ? TaskCode.cancelledAfter : TaskCode.cancelledBefore;
    }
    return TaskCode[outcome.kind];
}
