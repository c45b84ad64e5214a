/**
 * In-memory model of a worker that runs tasks under a lease on its own clock, checks epochs and reports ended
 * runs until they are acknowledged. By default it starts whatever is ordered, as workers without admission checks
 * do, and records its peak usage, so that tests can detect overcommitment.
 */
import type { Clock, Millis, Timer } from "../common/clock.js";
import { addResources, isWithin, NO_RESOURCES } from "../common/resources.js";
import type { Resources } from "../common/resources.js";
import { RunEnd } from "../process/jobs/job-events.js";
import { OrderRefusal } from "../process/ports/task-worker-port.js";
import type {
    EndedRun,
    ReportRequest,
    RunOrder,
    StartOrder,
    WorkerAnswer,
    WorkerReport,
} from "../process/ports/task-worker-port.js";

/** Simulated behavior of a task's run. */
export interface TaskBehavior {
    readonly demand: Resources;
    readonly runMs: Millis;
    /** How the run ends unless it is stopped. */
    readonly end: "done" | "failed";
    /** Whether the run saves checkpoints: one for each second of work, and one at a stop. */
    readonly savesCheckpoints?: boolean;
    /** Whether the work begins only at {@link TaskWorkerModel.startWork}, called once the whole gang has started. */
    readonly waitsForGang?: boolean;
}

/** Clock, capacity and behavior of a {@link TaskWorkerModel}. */
export interface TaskWorkerModelOptions {
    readonly clock: Clock;
    readonly workerId: string;
    readonly capacity: Resources;
    /** Reading of the worker's clock when the common clock is at 0; 0 if omitted. */
    readonly clockOffset?: Millis;
    /** Speed of the worker's clock relative to the common clock; 1 if omitted. */
    readonly clockRate?: number;
    /** Time from a stop order until the run ends. */
    readonly stopMs?: Millis;
    /** Whether the worker refuses tasks that exceed its free capacity. */
    readonly checksAdmission?: boolean;
    /** Whether the worker accepts start orders; true if omitted. */
    readonly isHealthy?: () => boolean;
    readonly getBehavior: (task: string, run: number) => TaskBehavior;
    /** Called when a run starts, with the usage of all runs including it. */
    readonly handleStart?: (task: string, run: number, used: Resources, order: StartOrder) => void;
    /** Called when a run ends. */
    readonly handleEnd?: (task: string, run: number, end: RunEnd) => void;
    /** Called when the end of a run was acknowledged, so that the worker no longer reports it. */
    readonly handleAcknowledged?: (ended: EndedRun) => void;
    /** Called when the lease has expired, before all runs end. */
    readonly handleLapse?: () => void;
    /** Whether the worker accepts a permit, or its absence; if omitted, no permit is needed. */
    readonly isPermitted?: (task: string, permit: string | undefined) => boolean;
}

interface ModelRun {
    readonly task: string;
    readonly run: number;
    readonly behavior: TaskBehavior;
    timer: Timer | undefined;
    /** Work of earlier runs, restored from a checkpoint. */
    readonly restoredMs: Millis;
    /** Instant at which the work begins; undefined while the run waits for its gang. */
    workBegin: Millis | undefined;
}

const DEFAULT_STOP_MS: Millis = 100;
const CHECKPOINT_INTERVAL_MS: Millis = 1_000;
/** Time that it takes to restore a checkpoint. */
const RESTORE_MS: Millis = 600;

/** A deterministic worker on one clock. */
export class TaskWorkerModel {
    private readonly runs = new Map<string, ModelRun>();
    /** Highest run of each task that has ended or was stopped; it and lower ones are refused. */
    private readonly highestEndedRun = new Map<string, number>();
    private ended: EndedRun[] = [];
    private lastEndNumber = 0;
    private epoch = 0;
    private deadline: Millis = 0;
    private leaseTimer: Timer | undefined;
    private readonly waiters = new Set<() => void>();
    private isKilled = false;
    /** Peak usage, to compare with the capacity. */
    peak: Resources = NO_RESOURCES;

    constructor(private readonly options: TaskWorkerModelOptions) {}

    get workerId(): string {
        return this.options.workerId;
    }

    /** Starts a run; a repeated order has no further effect. */
    start(order: StartOrder): WorkerAnswer<Millis> {
        const refusal = this.findRefusal(order);
        if (refusal !== undefined) {
            return { kind: "refused", reason: refusal };
        }
        this.epoch = order.epoch;
        this.extendLease(order.workerDeadline);
        if (!this.runs.has(order.task)) {
            this.startRun(order);
        }
        return { kind: "done", value: this.getNow() };
    }

    /** Stops a run, which ends after `stopMs`. */
    stop(order: RunOrder): WorkerAnswer<Millis> {
        if (order.epoch < this.epoch) {
            return { kind: "refused", reason: OrderRefusal.fenced };
        }
        this.epoch = order.epoch;
        this.highestEndedRun.set(order.task, Math.max(order.run, this.highestEndedRun.get(order.task) ?? 0));
        const run = this.runs.get(order.task);
        if (run !== undefined && run.run <= order.run) {
            const stopMs = this.options.stopMs ?? DEFAULT_STOP_MS;
            this.options.clock.schedule(stopMs, () => this.endRun(run, RunEnd.stopped));
        }
        return { kind: "done", value: this.getNow() };
    }

    /** Reports as soon as a run has ended or the wait is over; never settles if the worker is killed before. */
    async report(request: ReportRequest): Promise<WorkerAnswer<WorkerReport>> {
        if (request.epoch < this.epoch) {
            return { kind: "refused", reason: OrderRefusal.fenced };
        }
        this.epoch = request.epoch;
        if (request.workerDeadline !== undefined) {
            this.extendLease(request.workerDeadline);
        }
        this.dropAcknowledged(request.seenEnd);
        if (this.ended.length === 0 && request.waitMs > 0) {
            await this.waitForEnd(request.waitMs);
        }
        if (this.isKilled) {
            return new Promise(() => undefined);
        }
        return { kind: "done", value: this.buildReport() };
    }

    /** Kills the worker: all runs are lost without a report. */
    kill(): void {
        this.isKilled = true;
        this.leaseTimer?.cancel();
        for (const run of this.runs.values()) {
            run.timer?.cancel();
            this.options.handleEnd?.(run.task, run.run, RunEnd.lost);
        }
        this.runs.clear();
    }

    /** Returns the worker's time. */
    getNow(): Millis {
        return this.options.clock.now() * this.getRate() + (this.options.clockOffset ?? 0);
    }

    /** Lists the running tasks. */
    listRunning(): readonly string[] {
        return [...this.runs.keys()];
    }

    /** Begins the work of a run that waits for its gang, once all members have started. */
    startWork(task: string, run: number): void {
        const found = this.findRun(task, run);
        if (found !== undefined) {
            this.scheduleEnd(found);
        }
    }

    /** Ends a run from outside, for example when another member of its gang has ended. */
    finishRun(task: string, run: number, end: RunEnd): void {
        const found = this.findRun(task, run);
        if (found !== undefined) {
            this.endRun(found, end);
        }
    }

    private findRun(task: string, run: number): ModelRun | undefined {
        const found = this.runs.get(task);
        return found?.run === run ? found : undefined;
    }

    private getRate(): number {
        return this.options.clockRate ?? 1;
    }

    private findRefusal(order: StartOrder): OrderRefusal | undefined {
        if (this.options.isHealthy?.() === false) {
            return OrderRefusal.unhealthy;
        }
        if (order.epoch < this.epoch) {
            return OrderRefusal.fenced;
        }
        if (order.run <= (this.highestEndedRun.get(order.task) ?? 0)) {
            return OrderRefusal.outdated;
        }
        if (order.workerDeadline < this.getNow()) {
            return OrderRefusal.late;
        }
        const isPermitted = this.options.isPermitted?.(order.task, order.permit) ?? true;
        if (!isPermitted) {
            return OrderRefusal.noPermit;
        }
        return this.options.checksAdmission === true && !this.hasCapacity(order) ?
            OrderRefusal.noRoom :
            undefined;
    }

    private hasCapacity({ task, run }: StartOrder): boolean {
        const { demand } = this.options.getBehavior(task, run);
        return this.runs.has(task) || isWithin(addResources(this.sumUse(), demand), this.options.capacity);
    }

    private sumUse(): Resources {
        return [...this.runs.values()]
            .reduce((sum, other) => addResources(sum, other.behavior.demand), NO_RESOURCES);
    }

    private startRun(order: StartOrder): void {
        const { task, run: number } = order;
        const behavior = this.options.getBehavior(task, number);
        const restoredMs = behavior.savesCheckpoints === true ? Number(order.checkpoint) : 0;
        const run: ModelRun = {
            task,
            run: number,
            behavior,
            timer: undefined,
            restoredMs,
            workBegin: undefined,
        };
        this.runs.set(task, run);
        const used = this.sumUse();
        if (!isWithin(used, this.peak)) {
            this.peak = used;
        }
        if (behavior.waitsForGang !== true) {
            this.scheduleEnd(run);
        }
        this.options.handleStart?.(task, number, used, order);
    }

    private scheduleEnd(run: ModelRun): void {
        const { clock } = this.options;
        const { behavior, restoredMs } = run;
        const restoreMs = restoredMs > 0 ? RESTORE_MS : 0;
        const workMs = Math.max(0, behavior.runMs - restoredMs);
        run.workBegin = clock.now() + restoreMs;
        run.timer = clock.schedule(restoreMs + workMs, () => this.endRun(run, behavior.end));
    }

    /** Returns the latest periodic checkpoint of a run or, for a stop, one taken now; empty without any progress. */
    private getCheckpoint(run: ModelRun, isStop: boolean): string {
        if (run.behavior.savesCheckpoints !== true) {
            return "";
        }
        const ownMs = Math.max(0, this.options.clock.now() - (run.workBegin ?? Infinity));
        const savedMs = isStop ? ownMs : ownMs - ownMs % CHECKPOINT_INTERVAL_MS;
        const workMs = Math.round(run.restoredMs + savedMs);
        return workMs === 0 ? "" : String(workMs);
    }

    private endRun(run: ModelRun, end: RunEnd): void {
        if (this.runs.get(run.task) !== run) {
            return;
        }
        run.timer?.cancel();
        this.runs.delete(run.task);
        this.highestEndedRun.set(run.task, Math.max(run.run, this.highestEndedRun.get(run.task) ?? 0));
        this.lastEndNumber += 1;
        const checkpoint = this.getCheckpoint(run, end === RunEnd.stopped);
        this.ended.push({ number: this.lastEndNumber, task: run.task, run: run.run, end, checkpoint });
        this.options.handleEnd?.(run.task, run.run, end);
        this.waiters.forEach(wake => wake());
    }

    private extendLease(deadline: Millis): void {
        this.deadline = Math.max(this.deadline, deadline);
        this.leaseTimer?.cancel();
        const leftMs = (this.deadline - this.getNow()) / this.getRate();
        this.leaseTimer = this.options.clock.schedule(leftMs, () => {
            this.options.handleLapse?.();
            for (const run of [...this.runs.values()]) {
                this.endRun(run, RunEnd.lapsed);
            }
        });
    }

    private dropAcknowledged(seenEnd: number): void {
        const acknowledged = this.ended.filter(end => end.number <= seenEnd);
        this.ended = this.ended.filter(end => end.number > seenEnd);
        acknowledged.forEach(end => this.options.handleAcknowledged?.(end));
    }

    private buildReport(): WorkerReport {
        const running = [...this.runs.values()]
            .map(run => ({ task: run.task, run: run.run, checkpoint: this.getCheckpoint(run, false) }));
        return { workerNow: this.getNow(), running, ended: [...this.ended] };
    }

    private waitForEnd(waitMs: Millis): Promise<void> {
        return new Promise(resolve => {
            const finish = (): void => {
                this.waiters.delete(finish);
                timer.cancel();
                resolve();
            };
            const timer = this.options.clock.schedule(waitMs, finish);
            this.waiters.add(finish);
        });
    }
}
