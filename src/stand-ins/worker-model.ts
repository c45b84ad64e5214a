/**
 * A worker as this system assumes it, without I/O: it runs synthetic tasks under one lease that ends by the
 * worker's own clock, keeps ended tasks until they are acknowledged, and answers service requests in slots.
 */
import type { Clock, Millis, Timer } from "../common/clock.js";
import { isWithin, NO_RESOURCES, removeResources } from "../common/resources.js";
import type { Resources } from "../common/resources.js";
import { WorkerRefusal } from "../process/ports/index.js";
import type {
    AttachOrder,
    OrderFence,
    RenewOrder,
    ServeOrder,
    ServeReply,
    StartOrder,
    TaskOrder,
    WorkerAnswer,
    WorkerReport,
} from "../process/ports/index.js";
import { ReportWaiters } from "./report-waiters.js";
import { RequestSlots } from "./request-slots.js";
import { TaskTable } from "./task-table.js";
import { WorkerJournal } from "./worker-journal.js";

/** What a {@link WorkerModel} is and does. */
export interface WorkerModelOptions {
    readonly workerId: string;
    readonly capacity: Resources;
    /** Service requests handled at once. */
    readonly slots: number;
    readonly maxConnections?: number;
    /** Whether it refuses lower epochs than it has seen; otherwise it knows leases only. */
    readonly comparesEpochs: boolean;
    /** What its monotonic clock shows at its first boot, in milliseconds. */
    readonly clockOffset?: Millis;
    /** Speed of its clock against the common one; 1 where left out. */
    readonly clockRate?: number;
    /** Milliseconds from the start of a task until its measured use is reported. */
    readonly usageLagMs?: Millis;
    /** Milliseconds that a checkpoint takes. */
    readonly checkpointMs?: Millis;
    /**
     * Whether it refuses a start without room. A worker that does not shows a scheduler that hands out too
     * much as a breach in its journal.
     */
    readonly refusesOverfill?: boolean;
    readonly journal?: WorkerJournal;
}

const DEFAULT_MAX_CONNECTIONS = 60;
const DEFAULT_USAGE_LAG_MS = 1_000;
const DEFAULT_CHECKPOINT_MS = 200;

/** A deterministic worker on one clock. */
export class WorkerModel {
    readonly workerId: string;
    readonly journal: WorkerJournal;
    private readonly waiters: ReportWaiters;
    private tasks: TaskTable;
    private slots: RequestSlots;
    private boots = 1;
    private bootedAt: Millis;
    private highestEpoch = 0;
    private leaseEndsAt: Millis;
    private leaseTimer: Timer | undefined;
    private leaving = false;
    private failing = false;
    private foreignUse: Resources = NO_RESOURCES;

    /**
     * @param clock - The common clock; the worker's own is derived from it.
     * @param options - Its size, kind and speeds.
     */
    constructor(private readonly clock: Clock, private readonly options: WorkerModelOptions) {
        this.workerId = options.workerId;
        this.journal = options.journal ?? new WorkerJournal();
        this.bootedAt = clock.now();
        this.leaseEndsAt = this.getNow();
        this.waiters = new ReportWaiters(clock);
        this.tasks = this.createTasks();
        this.slots = this.createSlots();
        this.recordCapacity();
    }

    /** Reads the worker's own monotonic clock. */
    getNow(): Millis {
        const offset = this.options.clockOffset ?? 0;
        return offset + (this.clock.now() - this.bootedAt) * this.getRate();
    }

    /** Returns the identifier of this life of the worker. */
    getBootId(): string {
        return `${this.workerId}-boot-${this.boots}`;
    }

    /** Binds the worker to an owner and reports every task. */
    attach(order: AttachOrder): WorkerAnswer<WorkerReport> {
        const refusal = this.checkFence(order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.renewLease(order.leaseMs);
        return { kind: "done", value: this.buildReport(-1) };
    }

    /** Extends the lease and reports changes, waiting for one if there is none. */
    async renew(order: RenewOrder): Promise<WorkerAnswer<WorkerReport>> {
        const refusal = this.checkFence(order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.renewLease(order.leaseMs);
        this.tasks.dropAcknowledged(order.acknowledged);
        if (this.tasks.getSequence() <= order.afterSequence) {
            await this.waiters.wait(order.waitMs);
        }
        return this.findStale(order) ?? { kind: "done", value: this.buildReport(order.afterSequence) };
    }

    /** Starts a task; a repeated attempt has no further effect. */
    start(order: StartOrder): WorkerAnswer<undefined> {
        const refusal = this.checkStart(order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.tasks.start(order, this.failing);
        this.waiters.wake();
        return DONE;
    }

    /** Stops a task at once. An attempt it has not seen is refused if it arrives later. */
    stop(order: TaskOrder): WorkerAnswer<undefined> {
        return this.checkFence(order) ?? this.applyToTask(() => this.tasks.stop(order));
    }

    /** Saves the state of a task and then stops it. */
    checkpoint(order: TaskOrder): WorkerAnswer<undefined> {
        return this.checkFence(order) ?? this.applyToTask(() => this.tasks.checkpoint(order.attempt));
    }

    /** Slows a task down. */
    throttle(order: TaskOrder): WorkerAnswer<undefined> {
        return this.checkFence(order) ?? this.applyToTask(() => this.tasks.throttle(order.attempt));
    }

    /** Answers a service request. */
    async serve(order: ServeOrder): Promise<WorkerAnswer<ServeReply>> {
        const refusal = this.checkFence(order) ?? this.checkTaking(order.requestId);
        if (refusal !== undefined) {
            return refusal;
        }
        if (!this.slots.hasRoom()) {
            return this.refuse(order.requestId, WorkerRefusal.noRoom, "all slots are in use");
        }
        return this.slots.serve(order, this.failing);
    }

    /** Forgets all tasks, epochs and leases, as a restart does. Requests under way get no answer. */
    restart(): void {
        this.close();
        this.boots++;
        this.bootedAt = this.clock.now();
        this.highestEpoch = 0;
        this.leaseEndsAt = this.getNow();
        this.tasks = this.createTasks();
        this.slots = this.createSlots();
        this.waiters.wake();
        this.recordCapacity();
    }

    /** Dies: everything that runs ends without an answer. */
    close(): void {
        this.leaseTimer?.cancel();
        this.slots.dropAll();
        this.tasks.dropAll();
        this.waiters.wake();
    }

    /** Sets whether the worker takes nothing new. */
    setLeaving(leaving: boolean): void {
        this.leaving = leaving;
        this.recordCapacity();
        this.tasks.touch();
        this.waiters.wake();
    }

    /** Sets whether everything it starts fails. */
    setFailing(failing: boolean): void {
        this.failing = failing;
    }

    /** Sets what others' work uses on it. */
    setForeignUse(use: Resources): void {
        this.foreignUse = use;
        this.recordCapacity();
        this.tasks.touch();
        this.waiters.wake();
    }

    /** Counts tasks that run now. */
    countRunning(): number {
        return this.tasks.countRunning();
    }

    private checkFence(order: OrderFence): WorkerAnswer<never> | undefined {
        const stale = this.findStale(order);
        if (stale !== undefined) {
            return stale;
        }
        if (order.notAfter < this.getNow()) {
            return this.refuse(getSubject(order), WorkerRefusal.tooLate, "the order came after its notAfter");
        }
        if (order.epoch > this.highestEpoch) {
            this.highestEpoch = order.epoch;
            this.waiters.wake();
        }
        return undefined;
    }

    private findStale(order: OrderFence): WorkerAnswer<never> | undefined {
        if (order.bootId !== undefined && order.bootId !== this.getBootId()) {
            return this.refuse(getSubject(order), WorkerRefusal.otherBoot, "the order is for another boot");
        }
        if (this.options.comparesEpochs && order.epoch < this.highestEpoch) {
            const message = `epoch ${order.epoch} is below ${this.highestEpoch}: read the ownership table`;
            return this.refuse(getSubject(order), WorkerRefusal.staleEpoch, message);
        }
        return undefined;
    }

    private checkStart(order: StartOrder): WorkerAnswer<undefined> | undefined {
        const refusal = this.checkFence(order);
        if (refusal !== undefined) {
            return refusal;
        }
        if (this.tasks.has(order.attempt)) {
            return DONE;
        }
        if (this.tasks.isForgotten(order.attempt)) {
            return this.refuse(order.attempt, WorkerRefusal.tooLate, "the attempt was stopped or has ended");
        }
        const taking = this.checkTaking(order.attempt);
        if (taking !== undefined) {
            return taking;
        }
        const free = removeResources(
            removeResources(this.options.capacity, this.foreignUse),
            this.tasks.sumUse(),
        );
        if ((this.options.refusesOverfill ?? true) && !isWithin(order.resources, free)) {
            return this.refuse(
                order.attempt,
                WorkerRefusal.noRoom,
                "the task does not fit into what is free",
            );
        }
        return undefined;
    }

    private checkTaking(subject: string): WorkerAnswer<never> | undefined {
        if (this.leaving) {
            return this.refuse(subject, WorkerRefusal.leaving, "the worker is leaving");
        }
        if (this.leaseEndsAt <= this.getNow()) {
            return this.refuse(
                subject,
                WorkerRefusal.tooLate,
                "the worker's lease has ended: renew it first",
            );
        }
        return undefined;
    }

    private refuse(subject: string, reason: WorkerRefusal, message: string): WorkerAnswer<never> {
        this.journal.refusals.push({
            workerId: this.workerId,
            attempt: subject,
            reason,
            at: this.clock.now(),
        });
        return { kind: "refused", reason, message };
    }

    private applyToTask(act: () => void): WorkerAnswer<undefined> {
        act();
        this.waiters.wake();
        return DONE;
    }

    private renewLease(leaseMs: Millis): void {
        const until = this.getNow() + leaseMs;
        if (until <= this.leaseEndsAt) {
            return;
        }
        this.leaseEndsAt = until;
        this.leaseTimer?.cancel();
        this.leaseTimer = this.clock.schedule(leaseMs / this.getRate(), () => {
            this.tasks.expire();
            this.waiters.wake();
        });
    }

    private buildReport(afterSequence: number): WorkerReport {
        return {
            bootId: this.getBootId(),
            workerNow: this.getNow(),
            capacity: this.options.capacity,
            slots: this.options.slots,
            maxConnections: this.options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
            comparesEpochs: this.options.comparesEpochs,
            leaving: this.leaving,
            foreignUse: this.foreignUse,
            tasks: this.tasks.listChanged(afterSequence),
            sequence: this.tasks.getSequence(),
        };
    }

    private getRate(): number {
        return this.options.clockRate ?? 1;
    }

    private createTasks(): TaskTable {
        return new TaskTable({
            clock: this.clock,
            getWorkerNow: () => this.getNow(),
            workerId: this.workerId,
            bootId: this.getBootId(),
            journal: this.journal,
            usageLagMs: this.options.usageLagMs ?? DEFAULT_USAGE_LAG_MS,
            checkpointMs: this.options.checkpointMs ?? DEFAULT_CHECKPOINT_MS,
            notify: () => this.waiters.wake(),
        });
    }

    private createSlots(): RequestSlots {
        return new RequestSlots(this.clock, {
            workerId: this.workerId,
            bootId: this.getBootId(),
            slots: this.options.slots,
            journal: this.journal,
        });
    }

    private recordCapacity(): void {
        this.journal.capacities.push({
            workerId: this.workerId,
            at: this.clock.now(),
            capacity: this.options.capacity,
            slots: this.options.slots,
            foreignUse: this.foreignUse,
            leaving: this.leaving,
        });
    }
}

const DONE: WorkerAnswer<undefined> = { kind: "done", value: undefined };

function getSubject(order: OrderFence & { readonly attempt?: string; readonly requestId?: string; }): string {
    return order.attempt ?? order.requestId ?? "";
}
