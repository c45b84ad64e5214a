/** The tasks of one boot of a stand-in worker. */
import type { Clock, Millis, Timer } from "../common/clock.js";
import { addResources, NO_RESOURCES } from "../common/resources.js";
import type { Resources } from "../common/resources.js";
import { WorkerTaskState } from "../process/ports/index.js";
import type { StartOrder, TaskOrder, WorkerTask } from "../process/ports/index.js";
import { parseTask } from "./synthetic-work.js";
import type { SyntheticTask } from "./synthetic-work.js";
import type { JournalRun, WorkerJournal } from "./worker-journal.js";

/** The worker that a {@link TaskTable} belongs to. */
export interface TaskTableOptions {
    readonly clock: Clock;
    readonly getWorkerNow: () => Millis;
    readonly workerId: string;
    readonly bootId: string;
    readonly journal: WorkerJournal;
    readonly usageLagMs: Millis;
    readonly checkpointMs: Millis;
    /** Called after each change that was not caused by an order, such as the end of a task. */
    readonly notify: () => void;
}

interface Task {
    readonly order: StartOrder;
    readonly work: SyntheticTask;
    readonly run: JournalRun;
    state: WorkerTaskState;
    /** Value of the change counter at the task's last change. */
    changedAt: number;
    /** Work done before `resumedAt`, as milliseconds at full speed. */
    progress: Millis;
    resumedAt: Millis;
    throttled: boolean;
    usage?: Resources;
    answer?: string;
    checkpoint?: string;
    endedAt?: Millis;
    timer?: Timer;
}

/** Factor by which a throttled task takes longer. */
const THROTTLE_FACTOR = 10;

/** Tasks by attempt, running and ended. */
export class TaskTable {
    private readonly tasks = new Map<string, Task>();
    /**
     * Attempts that must not start (again), by the `notAfter` until which a delayed start order could still
     * arrive.
     */
    private readonly tombstones = new Map<string, Millis>();
    private sequence = 0;

    constructor(private readonly options: TaskTableOptions) {}

    /** Returns whether an attempt is known, running or ended. */
    has(attempt: string): boolean {
        return this.tasks.has(attempt);
    }

    /** Returns whether an attempt was stopped before its start arrived, or its end was acknowledged. */
    hasTombstone(attempt: string): boolean {
        return this.tombstones.has(attempt);
    }

    /** Returns the counter of changes. */
    getSequence(): number {
        return this.sequence;
    }

    /** Counts a change that does not concern a task. */
    touch(): void {
        this.sequence++;
    }

    /** Counts tasks that have not ended. */
    countRunning(): number {
        return [...this.tasks.values()].filter(isRunning).length;
    }

    /** Adds up the resources of running tasks. */
    sumUse(): Resources {
        return [...this.tasks.values()]
            .filter(isRunning)
            .reduce((sum, task) => addResources(sum, task.order.resources), NO_RESOURCES);
    }

    /** Returns tasks that changed after a sequence. */
    listChanged(afterSequence: number): WorkerTask[] {
        return [...this.tasks.values()]
            .filter(task => task.changedAt > afterSequence)
            .map(task => this.describeTask(task));
    }

    /** Starts a task that is known to be new. */
    start(order: StartOrder, failing: boolean): void {
        const parsed = parseTask(order.payload);
        const work = failing ? { ...parsed, runMs: 0, fail: "the worker fails everything" } : parsed;
        const now = this.options.clock.now();
        const run: JournalRun = {
            kind: "task",
            workerId: this.options.workerId,
            bootId: this.options.bootId,
            attempt: order.attempt,
            label: order.label,
            epoch: order.epoch,
            resources: order.resources,
            startedAt: now,
        };
        this.options.journal.runs.push(run);
        const task: Task = {
            order,
            work,
            run,
            state: WorkerTaskState.running,
            changedAt: ++this.sequence,
            progress: parseCheckpoint(order.checkpoint),
            resumedAt: now,
            throttled: false,
        };
        this.tasks.set(order.attempt, task);
        this.scheduleEnd(task);
        this.options.clock.schedule(this.options.usageLagMs, () => this.observeUsage(task));
    }

    /** Stops a task at once; an unknown attempt can't start afterwards. */
    stop(order: TaskOrder): void {
        const task = this.tasks.get(order.attempt);
        if (task === undefined) {
            this.addTombstone(order.attempt, order.notAfter);
            return;
        }
        this.end(task, WorkerTaskState.stopped);
    }

    /** Saves the state of a running task, then stops it. */
    checkpoint(attempt: string): void {
        const task = this.tasks.get(attempt);
        if (task?.state !== WorkerTaskState.running) {
            return;
        }
        task.progress = this.getProgress(task);
        task.resumedAt = this.options.clock.now();
        task.state = WorkerTaskState.checkpointing;
        this.recordChange(task);
        task.timer?.cancel();
        task.timer = this.options.clock.schedule(this.options.checkpointMs, () => {
            if (task.work.checkpointable) {
                task.checkpoint = `${CHECKPOINT_PREFIX}${Math.round(task.progress)}`;
            }
            this.end(task, WorkerTaskState.stopped);
            this.options.notify();
        });
    }

    /** Throttles a running task, which keeps its resources. */
    throttle(attempt: string): void {
        const task = this.tasks.get(attempt);
        if (task?.state !== WorkerTaskState.running || task.throttled) {
            return;
        }
        task.progress = this.getProgress(task);
        task.resumedAt = this.options.clock.now();
        task.throttled = true;
        this.recordChange(task);
        this.scheduleEnd(task);
    }

    /** Ends all running tasks because the lease has expired. */
    expire(): void {
        for (const task of this.tasks.values()) {
            this.end(task, WorkerTaskState.expired);
        }
    }

    /** Drops ended tasks whose end is durable elsewhere. */
    dropAcknowledged(attempts: readonly string[]): void {
        for (const attempt of attempts) {
            const task = this.tasks.get(attempt);
            if (task !== undefined && !isRunning(task)) {
                this.tasks.delete(attempt);
                this.addTombstone(attempt, task.order.notAfter);
            }
        }
    }

    /** Ends all running tasks without reporting it, as a crash of the worker does. */
    dropAll(): void {
        for (const task of this.tasks.values()) {
            if (isRunning(task)) {
                task.timer?.cancel();
                task.state = WorkerTaskState.expired;
                task.run.endedAt = this.options.clock.now();
                task.run.end = "lost";
            }
        }
    }

    private scheduleEnd(task: Task): void {
        task.timer?.cancel();
        const left = Math.max(0, task.work.runMs - task.progress);
        task.timer = this.options.clock.schedule(left * getSlowdown(task), () => {
            task.answer = task.work.fail ?? task.work.answer;
            this.end(task, task.work.fail === undefined ? WorkerTaskState.done : WorkerTaskState.failed);
            this.options.notify();
        });
    }

    private observeUsage(task: Task): void {
        if (isRunning(task)) {
            task.usage = task.work.actual ?? task.order.resources;
            this.recordChange(task);
            this.options.notify();
        }
    }

    private end(task: Task, state: WorkerTaskState): void {
        if (!isRunning(task)) {
            return;
        }
        task.timer?.cancel();
        task.state = state;
        task.endedAt = this.options.clock.now();
        task.run.endedAt = task.endedAt;
        task.run.end = state;
        this.recordChange(task);
    }

    private recordChange(task: Task): void {
        task.changedAt = ++this.sequence;
    }

    private getProgress(task: Task): Millis {
        return task.progress + (this.options.clock.now() - task.resumedAt) / getSlowdown(task);
    }

    private addTombstone(attempt: string, notAfter: Millis): void {
        const now = this.options.getWorkerNow();
        for (const [old, until] of this.tombstones) {
            if (until < now) {
                this.tombstones.delete(old);
            }
        }
        this.tombstones.set(attempt, notAfter);
    }

    private describeTask(task: Task): WorkerTask {
        return {
            attempt: task.order.attempt,
            state: task.state,
            label: task.order.label,
            resources: task.order.resources,
            ranMs: (task.endedAt ?? this.options.clock.now()) - task.run.startedAt,
            usage: task.usage,
            answer: task.answer,
            checkpoint: task.checkpoint,
            throttled: task.throttled,
        };
    }
}

const CHECKPOINT_PREFIX = "progress-";

function parseCheckpoint(checkpoint: string | undefined): Millis {
    const progress = Number(checkpoint?.slice(CHECKPOINT_PREFIX.length) ?? 0);
    return Number.isFinite(progress) ? progress : 0;
}

function getSlowdown(task: Task): number {
    return task.throttled ? THROTTLE_FACTOR : 1;
}

function isRunning(task: Task): boolean {
    return task.state === WorkerTaskState.running || task.state === WorkerTaskState.checkpointing;
}
