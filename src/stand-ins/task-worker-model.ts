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
}

/** What a model is made from. */
export interface TaskWorkerModelOptions {
    readonly clock: Clock;
    readonly workerId: string;
    readonly capacity: Resources;
    /** What the worker's clock shows when ours is at 0. */
    readonly clockOffset?: Millis;
    readonly getBehavior: (task: string, run: number) => TaskBehavior;
    /** Told of each run that begins, with all that then runs here. */
    readonly handleStart?: (task: string, run: number, used: Resources, payload: string) => void;
    /** Told of each run that ends. */
    readonly handleEnd?: (task: string, run: number, end: RunEnd) => void;
    /** Told of each end that the worker may forget. */
    readonly handleSeen?: (ended: EndedRun) => void;
    /** Permits that the worker takes; without it none is needed. */
    readonly isPermitted?: (task: string, permit: string | undefined) => boolean;
}

interface ModelRun {
    readonly task: string;
    readonly run: number;
    readonly behavior: TaskBehavior;
    timer: Timer | undefined;
    startedAt: Millis;
}

/** Time that a stop takes. */
const STOP_MS: Millis = 100;

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
            this.options.clock.schedule(STOP_MS, () => this.endRun(run, RunEnd.stopped));
        }
        return { kind: "done", value: this.getNow() };
    }

    /** Gives a report, when something has ended or the wait is over. */
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
        return { kind: "done", value: this.buildReport() };
    }

    /** Ends the worker's life: everything on it is gone without a word. */
    kill(): void {
        this.leaseTimer?.cancel();
        for (const run of this.runs.values()) {
            run.timer?.cancel();
            this.options.handleEnd?.(run.task, run.run, RunEnd.lost);
        }
        this.runs.clear();
    }

    /** Returns the worker's time. */
    getNow(): Millis {
        return this.options.clock.now() + (this.options.clockOffset ?? 0);
    }

    /** Lists the tasks that run. */
    listRunning(): readonly string[] {
        return [...this.runs.keys()];
    }

    private findRefusal(order: StartOrder): OrderRefusal | undefined {
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
        return isPermitted ? undefined : OrderRefusal.noPermit;
    }

    private startRun(order: StartOrder): void {
        const { task, run: number } = order;
        const behavior = this.options.getBehavior(task, number);
        const run: ModelRun = { task, run: number, behavior, timer: undefined, startedAt: this.getNow() };
        this.runs.set(task, run);
        const used = [...this.runs.values()]
            .reduce((sum, other) => addResources(sum, other.behavior.demand), NO_RESOURCES);
        if (!isWithin(used, this.peak)) {
            this.peak = used;
        }
        this.options.handleStart?.(task, number, used, order.payload);
        run.timer = this.options.clock.schedule(behavior.runMs, () => this.endRun(run, behavior.end));
    }

    private endRun(run: ModelRun, end: RunEnd): void {
        if (this.runs.get(run.task) !== run) {
            return;
        }
        run.timer?.cancel();
        this.runs.delete(run.task);
        this.highestOver.set(run.task, Math.max(run.run, this.highestOver.get(run.task) ?? 0));
        this.lastEnd += 1;
        this.ended.push({ number: this.lastEnd, task: run.task, run: run.run, end, checkpoint: "" });
        this.options.handleEnd?.(run.task, run.run, end);
        this.waiters.forEach(wake => wake());
    }

    private extendLease(deadline: Millis): void {
        this.deadline = Math.max(this.deadline, deadline);
        this.leaseTimer?.cancel();
        this.leaseTimer = this.options.clock.schedule(this.deadline - this.getNow(), () => {
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
        const running = [...this.runs.values()].map(({ task, run }) => ({ task, run, checkpoint: "" }));
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
