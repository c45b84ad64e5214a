/**
 * In-memory model of a worker, as this system assumes it: runs synthetic tasks under one lease that expires by the
 * worker's own clock, keeps ended tasks until they are acknowledged, and serves requests in slots.
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

/** Size, clock and abilities of a {@link WorkerModel}. */
export interface WorkerModelOptions {
    readonly workerId: string;
    readonly capacity: Resources;
    /** Number of service requests that are handled concurrently. */
    readonly slots: number;
    readonly maxConnections?: number;
    /** Whether the worker refuses epochs below the highest one it has seen; otherwise it only supports leases. */
    readonly comparesEpochs: boolean;
    /** Reading of the worker's monotonic clock at each boot; 0 if omitted. */
    readonly clockOffset?: Millis;
    /** Speed of the worker's clock relative to the common clock; 1 if omitted. */
    readonly clockRate?: number;
    /** Time from the start of a task until its measured usage is reported. */
    readonly usageLagMs?: Millis;
    /** Time that it takes to save a checkpoint. */
    readonly checkpointMs?: Millis;
    /**
     * Whether the worker refuses tasks that exceed its free capacity; true if omitted. If it does not,
     * overcommitment by the scheduler shows in its journal.
     */
    readonly refusesOvercommit?: boolean;
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
    private bootCount = 1;
    private bootedAt: Millis;
    private highestEpoch = 0;
    private leaseEndsAt: Millis;
    private leaseTimer: Timer | undefined;
    private leaving = false;
    private failing = false;
    private foreignUse: Resources = NO_RESOURCES;

    /**
     * @param clock - The common clock, from which the worker's own is derived.
     * @param options - Size, clock and abilities.
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

    /** Returns the time of the worker's own monotonic clock. */
    getNow(): Millis {
        const offset = this.options.clockOffset ?? 0;
        return offset + (this.clock.now() - this.bootedAt) * this.getRate();
    }

    /** Returns the identifier of the worker's current boot. */
    getBootId(): string {
        return `${this.workerId}-boot-${this.bootCount}`;
    }

    /** Attaches the worker to an owner and reports all tasks. */
    attach(order: AttachOrder): WorkerAnswer<WorkerReport> {
        const refusal = this.checkFence(order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.renewLease(order.leaseMs);
        return { kind: "done", value: this.buildReport(-1) };
    }

    /** Renews the lease and reports changes; without any, waits for one up to `waitMs`. */
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

    /** Starts a task; a repeated order for the same attempt has no further effect. */
    start(order: StartOrder): WorkerAnswer<undefined> {
        const refusal = this.checkStart(order);
        if (refusal !== undefined) {
            return refusal;
        }
        this.tasks.start(order, this.failing);
        this.waiters.wake();
        return DONE;
    }

    /** Stops a task at once. If the attempt is unknown, its start is refused should it arrive later. */
    stop(order: TaskOrder): WorkerAnswer<undefined> {
        return this.checkFence(order) ?? this.applyToTask(() => this.tasks.stop(order));
    }

    /** Saves the state of a task and then stops it. */
    checkpoint(order: TaskOrder): WorkerAnswer<undefined> {
        return this.checkFence(order) ?? this.applyToTask(() => this.tasks.checkpoint(order.attempt));
    }

    /** Throttles a task. */
    throttle(order: TaskOrder): WorkerAnswer<undefined> {
        return this.checkFence(order) ?? this.applyToTask(() => this.tasks.throttle(order.attempt));
    }

    /** Serves a service request. */
    async serve(order: ServeOrder): Promise<WorkerAnswer<ServeReply>> {
        const refusal = this.checkFence(order) ?? this.checkAdmission(order.requestId);
        if (refusal !== undefined) {
            return refusal;
        }
        if (!this.slots.hasFreeSlot()) {
            return this.refuse(order.requestId, WorkerRefusal.noRoom, "all slots are in use");
        }
        return this.slots.serve(order, this.failing);
    }

    /** Restarts the worker, which loses all tasks, epochs and leases. Requests in flight get no reply. */
    restart(): void {
        this.close();
        this.bootCount++;
        this.bootedAt = this.clock.now();
        this.highestEpoch = 0;
        this.leaseEndsAt = this.getNow();
        this.tasks = this.createTasks();
        this.slots = this.createSlots();
        this.waiters.wake();
        this.recordCapacity();
    }

    /** Kills the worker: all tasks and requests end without a reply. */
    close(): void {
        this.leaseTimer?.cancel();
        this.slots.dropAll();
        this.tasks.dropAll();
        this.waiters.wake();
    }

    /** Sets whether the worker is leaving and accepts nothing new. */
    setLeaving(leaving: boolean): void {
        this.leaving = leaving;
        this.recordCapacity();
        this.tasks.touch();
        this.waiters.wake();
    }

    /** Sets whether everything that the worker starts fails. */
    setFailing(failing: boolean): void {
        this.failing = failing;
    }

    /** Sets the resources that work from outside the system uses on the worker. */
    setForeignUse(use: Resources): void {
        this.foreignUse = use;
        this.recordCapacity();
        this.tasks.touch();
        this.waiters.wake();
    }

    /** Returns the number of running tasks. */
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
        if (this.tasks.hasTombstone(order.attempt)) {
            return this.refuse(order.attempt, WorkerRefusal.tooLate, "the attempt was stopped or has ended");
        }
        const admissionRefusal = this.checkAdmission(order.attempt);
        if (admissionRefusal !== undefined) {
            return admissionRefusal;
        }
        const free = removeResources(
            removeResources(this.options.capacity, this.foreignUse),
            this.tasks.sumUse(),
        );
        if ((this.options.refusesOvercommit ?? true) && !isWithin(order.resources, free)) {
            return this.refuse(
                order.attempt,
                WorkerRefusal.noRoom,
                "the task does not fit into what is free",
            );
        }
        return undefined;
    }

    private checkAdmission(subject: string): WorkerAnswer<never> | undefined {
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
