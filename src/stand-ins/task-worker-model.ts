/**
 * A worker that runs tasks under leases, without I/O: leases on its own clock, epochs, ends that are listed until
 * they were seen. It starts whatever it is told, as workers without guards do, and keeps the most that ran at once.
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

/** What a task does once it runs. */
export interface TaskBehavior {
    readonly demand: Resources;
    readonly runMs: Millis;
    /** How its run ends by itself. */
    readonly end: "done" | "failed";
    /** Whether its run saves checkpoints: one for each second of work, and one at a stop. */
    readonly savesCheckpoints?: boolean;
    /** Whether its work begins only once {@link TaskWorkerModel.startWork} says that the whole gang is there. */
    readonly waitsForGang?: boolean;
}

/** What a model is made from. */
export interface TaskWorkerModelOptions {
    readonly clock: Clock;
    readonly workerId: string;
    readonly capacity: Resources;
    /** What the worker's clock shows when ours is at 0. */
    readonly clockOffset?: Millis;
    /** How fast the worker's clock runs; 1 where left out. */
    readonly clockRate?: number;
    /** Time that a stop takes. */
    readonly stopMs?: Millis;
    /** Whether it refuses what does not fit. */
    readonly checksAdmission?: boolean;
    /** Whether it takes orders; it does where left out. */
    readonly isHealthy?: () => boolean;
    readonly getBehavior: (task: string, run: number) => TaskBehavior;
    /** Told of each run that begins, with all that then runs here. */
    readonly handleStart?: (task: string, run: number, used: Resources, order: StartOrder) => void;
    /** Told of each run that ends. */
    readonly handleEnd?: (task: string, run: number, end: RunEnd) => void;
    /** Told of each end that the worker may forget. */
    readonly handleSeen?: (ended: EndedRun) => void;
    /** Told that the lease on all runs has run out. */
    readonly handleLapse?: () => void;
    /** Permits that the worker takes; without it none is needed. */
    readonly isPermitted?: (task: string, permit: string | undefined) => boolean;
}

interface ModelRun {
    readonly task: string;
    readonly run: number;
    readonly behavior: TaskBehavior;
    timer: Timer | undefined;
    /** Work done by earlier runs. */
    readonly restoredMs: Millis;
    /** When its own work begins; undefined while it waits for its gang. */
    workBegin: Millis | undefined;
}

const DEFAULT_STOP_MS: Millis = 100;
const CHECKPOINT_EVERY_MS: Millis = 1_000;
/** Time that a run takes to go on from a checkpoint. */
const RESTORE_MS: Millis = 600;

/** The model; see the module comment. */
export class TaskWorkerModel {
    private readonly runs = new Map<string, ModelRun>();
    private readonly highestOver = new Map<string, number>();
    private ended: EndedRun[] = [];
    private lastEnd = 0;
    private epoch = 0;
    private deadline: Millis = 0;
    private leaseTimer: Timer | undefined;
    private readonly waiters = new Set<() => void>();
    private isKilled = false;
    /** Most that ran at once, to compare with the capacity. */
    peak: Resources = NO_RESOURCES;

    constructor(private readonly options: TaskWorkerModelOptions) {}

    get workerId(): string {
        return this.options.workerId;
    }

    /** Carries out a start. */
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

    /** Carries out a stop: the end is listed a little later. */
    stop(order: RunOrder): WorkerAnswer<Millis> {
        if (order.epoch < this.epoch) {
            return { kind: "refused", reason: OrderRefusal.fenced };
        }
        this.epoch = order.epoch;
        this.highestOver.set(order.task, Math.max(order.run, this.highestOver.get(order.task) ?? 0));
        const run = this.runs.get(order.task);
        if (run !== undefined && run.run <= order.run) {
            const stopMs = this.options.stopMs ?? DEFAULT_STOP_MS;
            this.options.clock.schedule(stopMs, () => this.endRun(run, RunEnd.stopped));
        }
        return { kind: "done", value: this.getNow() };
    }

    /** Gives a report, when something has ended or the wait is over; none ever where its life ends before that. */
    async report(request: ReportRequest): Promise<WorkerAnswer<WorkerReport>> {
        if (request.epoch < this.epoch) {
            return { kind: "refused", reason: OrderRefusal.fenced };
        }
        this.epoch = request.epoch;
        if (request.workerDeadline !== undefined) {
            this.extendLease(request.workerDeadline);
        }
        this.forgetSeen(request.seenEnd);
        if (this.ended.length === 0 && request.waitMs > 0) {
            await this.waitForEnd(request.waitMs);
        }
        if (this.isKilled) {
            return new Promise(() => undefined);
        }
        return { kind: "done", value: this.buildReport() };
    }

    /** Ends the worker's life: everything on it is gone without a word. */
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

    /** Lists the tasks that run. */
    listRunning(): readonly string[] {
        return [...this.runs.keys()];
    }

    /** Begins the work of a member of a gang that is whole now. */
    startWork(task: string, run: number): void {
        const found = this.findRun(task, run);
        if (found !== undefined) {
            this.scheduleEnd(found);
        }
    }

    /** Ends a run from outside, as the end of another member of its gang does. */
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
        if (order.run <= (this.highestOver.get(order.task) ?? 0)) {
            return OrderRefusal.outdated;
        }
        if (order.workerDeadline < this.getNow()) {
            return OrderRefusal.late;
        }
        const isPermitted = this.options.isPermitted?.(order.task, order.permit) ?? true;
        if (!isPermitted) {
            return OrderRefusal.noPermit;
        }
        return this.options.checksAdmission === true && !this.hasRoom(order) ?
            OrderRefusal.noRoom :
            undefined;
    }

    private hasRoom({ task, run }: StartOrder): boolean {
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

    /** Returns the newest checkpoint of a run, or that of a stop at this moment. */
    private getCheckpoint(run: ModelRun, isStop: boolean): string {
        if (run.behavior.savesCheckpoints !== true) {
            return "";
        }
        const ownMs = Math.max(0, this.options.clock.now() - (run.workBegin ?? Infinity));
        const savedMs = isStop ? ownMs : ownMs - ownMs % CHECKPOINT_EVERY_MS;
        const workMs = Math.round(run.restoredMs + savedMs);
        return workMs === 0 ? "" : String(workMs);
    }

    private endRun(run: ModelRun, end: RunEnd): void {
        if (this.runs.get(run.task) !== run) {
            return;
        }
        run.timer?.cancel();
        this.runs.delete(run.task);
        this.highestOver.set(run.task, Math.max(run.run, this.highestOver.get(run.task) ?? 0));
        this.lastEnd += 1;
        const checkpoint = this.getCheckpoint(run, end === RunEnd.stopped);
        this.ended.push({ number: this.lastEnd, task: run.task, run: run.run, end, checkpoint });
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

    private forgetSeen(seenEnd: number): void {
        const seen = this.ended.filter(end => end.number <= seenEnd);
        this.ended = this.ended.filter(end => end.number > seenEnd);
        seen.forEach(end => this.options.handleSeen?.(end));
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
