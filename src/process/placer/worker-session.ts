/** The session with one worker: attaching, lease renewals, orders, and detection of the worker's loss. */
import { type Millis, sleep, type Timer } from "../../common/clock.js";
import { appendAll } from "../../common/lists.js";
import type { CellSettings } from "../../version/settings.js";
import type { VmRecord } from "../ports/vm-list-port.js";
import type {
    OrderFence,
    ServeOrder,
    ServeReply,
    StartOrder,
    WorkerAddress,
    WorkerAnswer,
    WorkerPort,
    WorkerReport,
} from "../ports/worker-port.js";
import type { RoleContext } from "../roles.js";
import { ORDER_WINDOW_MS, WorkerClock } from "./worker-clock.js";

/** Longest time that a worker delays its answer to a renewal while it has no change to report. */
const RENEW_WAIT_MS: Millis = 2_500;
/** Minimum interval between renewals, so that the results of many short tasks share a report. */
const RENEW_MIN_INTERVAL_MS: Millis = 20;
const ATTACH_TIMEOUT_MS: Millis = 2_000;
const RETRY_MIN_MS: Millis = 100;
const RETRY_MAX_MS: Millis = 3_000;
/** Interval between checks of whether this entry may act again. */
const AUTHORITY_POLL_MS: Millis = 100;
const LOST_CHECK_MS: Millis = 250;

/** Receives the events of a session. */
export interface SessionListener {
    /**
     * The worker answered an attach; the report lists all its tasks.
     * @param restarted - Whether the worker has restarted since the last report, so that its earlier tasks
     * are gone.
     */
    handleAttached(session: WorkerSession, report: WorkerReport, restarted: boolean): void;
    /** The worker answered a renewal; the report lists what changed. */
    handleReport(session: WorkerSession, report: WorkerReport): void;
    /** The worker stopped answering; it gets no new work until its next report. */
    handleUnreachable(session: WorkerSession): void;
    /** Every task that was on the worker has certainly ended. */
    handleLost(session: WorkerSession): void;
    /** The worker has a newer owner. */
    handleFenced(session: WorkerSession): void;
}

/** Options of {@link WorkerSession}. */
export interface SessionOptions {
    readonly context: Pick<RoleContext, "clock" | "random" | "log" | "metrics" | "ownership">;
    readonly port: WorkerPort;
    readonly vm: VmRecord;
    readonly slice: number;
    readonly epoch: number;
    /** Time by which the previous owner's tasks have ended if the worker is never reached. */
    getPredecessorBound(): Millis;
    getCell(): CellSettings;
    readonly listener: SessionListener;
}

/** Result of a start order. */
export type StartResult =
    | { readonly kind: "started"; }
    /** Certain: the worker refused the order or never received it. */
    | { readonly kind: "notStarted"; readonly reason: string; }
    /** The answer was lost; a later report shows whether the task started. */
    | { readonly kind: "uncertain"; };

/** Session of this entry with one worker. */
export class WorkerSession {
    readonly workerId: string;
    readonly slice: number;
    readonly epoch: number;
    readonly vm: VmRecord;
    private readonly address: WorkerAddress;
    private readonly clock: WorkerClock;
    private report: WorkerReport | undefined;
    private attached = false;
    private inContact = false;
    private lost = false;
    private tasksKnown = false;
    private closed = false;
    private sequence = 0;
    private retryMs = RETRY_MIN_MS;
    private acknowledged: string[] = [];
    private lostTimer: Timer | undefined;

    constructor(private readonly options: SessionOptions) {
        this.vm = options.vm;
        this.workerId = options.vm.workerId;
        this.slice = options.slice;
        this.epoch = options.epoch;
        this.address = { workerId: options.vm.workerId, url: options.vm.url };
        this.clock = new WorkerClock(options.getCell().clockDrift);
    }

    /** Starts attaching to the worker and checking for its loss. */
    start(): void {
        void this.run();
        this.scheduleLostCheck();
    }

    /** Ends the session; the worker's lease stays valid until it expires. */
    close(): void {
        this.closed = true;
        this.lostTimer?.cancel();
    }

    /** Whether the worker is attached and answered the last attach or renewal. */
    isReachable(): boolean {
        return this.attached && this.inContact;
    }

    /** Whether the worker's tasks are known, by an attach, or have certainly ended. */
    isSettled(): boolean {
        return this.tasksKnown || this.lost;
    }

    /** The last report, or undefined before the first. */
    getReport(): WorkerReport | undefined {
        return this.report;
    }

    /** Marks the end of a task as stored durably; with the next renewal the worker may drop the task. */
    acknowledge(attempt: string): void {
        this.acknowledged.push(attempt);
    }

    /** Requests a full report by attaching again, to learn the outcome of an order whose answer was lost. */
    refresh(): void {
        this.attached = false;
    }

    /** Starts a task. */
    async startTask(order: Omit<StartOrder, keyof OrderFence>): Promise<StartResult> {
        const fence = this.buildOrderFence();
        if (fence === undefined) {
            return { kind: "notStarted", reason: "this entry lost its right to order the worker" };
        }
        const answer = await this.options.port.start(this.address, { ...order, ...fence }, ORDER_WINDOW_MS);
        switch (answer.kind) {
            case "done":
                return { kind: "started" };
            case "refused":
                this.handleRefusal(answer.reason);
                return { kind: "notStarted", reason: `worker refused: ${answer.reason}` };
            case "unavailable":
                return { kind: "notStarted", reason: answer.message };
            case "unknown":
                return { kind: "uncertain" };
        }
    }

    /**
     * Stops, checkpoints or throttles a task; the task's end arrives in a report.
     * @returns Whether the worker confirmed the order.
     */
    async orderTask(step: "stop" | "checkpoint" | "throttle", attempt: string): Promise<boolean> {
        const fence = this.buildOrderFence();
        if (fence === undefined) {
            return false;
        }
        const answer = await this.options.port[step](this.address, { attempt, ...fence }, ORDER_WINDOW_MS);
        return answer.kind === "done";
    }

    /** Sends a service request to the worker. */
    async serve(order: Omit<ServeOrder, keyof OrderFence>): Promise<WorkerAnswer<ServeReply>> {
        const fence = this.buildOrderFence();
        if (fence === undefined) {
            return { kind: "unavailable", message: "this entry lost its right to order the worker" };
        }
        const answer = await this.options.port.serve(this.address, { ...order, ...fence });
        if (answer.kind === "refused") {
            this.handleRefusal(answer.reason);
        }
        return answer;
    }

    private async run(): Promise<void> {
        while (!this.closed) {
            if (!this.options.context.ownership.mayAct()) {
                await sleep(this.options.context.clock, AUTHORITY_POLL_MS);
                continue;
            }
            const reached = this.attached ? await this.renew() : await this.attach();
            const pause = reached ? RENEW_MIN_INTERVAL_MS : this.takeRetryDelay();
            await sleep(this.options.context.clock, pause);
        }
    }

    private takeRetryDelay(): Millis {
        const delay = this.retryMs * (0.5 + this.options.context.random.pickFraction());
        this.retryMs = Math.min(RETRY_MAX_MS, this.retryMs * 2);
        return delay;
    }

    /**
     * Attaches without granting a lease: the worker's clock is not known yet, so the delay of the order could
     * not be bounded.
     */
    private async attach(): Promise<boolean> {
        const order = { epoch: this.epoch, notAfter: Number.MAX_SAFE_INTEGER, leaseMs: 0 };
        const answer = await this.options.port.attach(this.address, order, ATTACH_TIMEOUT_MS);
        if (this.closed) {
            return false;
        }
        if (answer.kind === "refused") {
            this.handleRefusal(answer.reason);
        }
        if (answer.kind !== "done") {
            this.handleContactLost();
            return false;
        }
        // The previous owner may have renewed the leases just before this attach.
        this.clock.extendLeaseBound(this.options.context.clock.now(), this.options.getCell().workerLeaseMs);
        const before = this.clock.getBootId();
        const restarted = before !== undefined && before !== answer.value.bootId;
        this.acceptReport(answer.value);
        this.attached = true;
        this.tasksKnown = true;
        this.lost = false;
        this.options.listener.handleAttached(this, answer.value, restarted);
        return true;
    }

    private async renew(): Promise<boolean> {
        const { clock } = this.options.context;
        const cell = this.options.getCell();
        const latest = this.getOrderDeadline();
        const fence = this.clock.buildFence(this.epoch, latest);
        if (fence === undefined || latest <= clock.now()) {
            return false;
        }
        const acknowledged = this.acknowledged;
        this.acknowledged = [];
        const waitMs = Math.min(RENEW_WAIT_MS, cell.workerLeaseMs / 4);
        const answer = await this.options.port.renew(
            this.address,
            { ...fence, leaseMs: cell.workerLeaseMs, afterSequence: this.sequence, acknowledged, waitMs },
            waitMs + ORDER_WINDOW_MS,
        );
        if (answer.kind !== "unavailable" && answer.kind !== "refused") {
            this.clock.extendLeaseBound(latest, cell.workerLeaseMs);
        }
        if (this.closed) {
            return false;
        }
        if (answer.kind === "done") {
            this.acceptReport(answer.value);
            this.options.listener.handleReport(this, answer.value);
            return true;
        }
        appendAll(this.acknowledged, acknowledged);
        if (answer.kind === "refused") {
            // The worker has restarted, or the fence expired on the way; the next attach gets its state and
            // clock.
            this.attached = false;
            this.handleRefusal(answer.reason);
            return false;
        }
        this.handleContactLost();
        return false;
    }

    private acceptReport(report: WorkerReport): void {
        this.clock.observe(report.bootId, report.workerNow, this.options.context.clock.now());
        this.report = report;
        this.sequence = report.sequence;
        this.inContact = true;
        this.retryMs = RETRY_MIN_MS;
    }

    /**
     * Marks the worker as unreachable. From here on it only gets attaches, which extend no lease: the bound
     * holds.
     */
    private handleContactLost(): void {
        this.attached = false;
        if (this.inContact) {
            this.inContact = false;
            this.options.listener.handleUnreachable(this);
        }
    }

    private handleRefusal(reason: string): void {
        if (reason === "staleEpoch") {
            this.options.listener.handleFenced(this);
        }
        else if (reason === "otherBoot" || reason === "tooLate") {
            this.attached = false;
        }
    }

    /** Latest time at which the worker may accept an order that is sent now. */
    private getOrderDeadline(): Millis {
        const { clock, ownership } = this.options.context;
        const latest = clock.now() + ORDER_WINDOW_MS;
        return this.report?.comparesEpochs === false ?
            Math.min(latest, ownership.getLeaseOnlyDeadline()) :
            latest;
    }

    /** Builds the fence of an order right before sending; undefined if this entry must not send it. */
    private buildOrderFence(): OrderFence | undefined {
        const latest = this.getOrderDeadline();
        if (
            this.closed || !this.options.context.ownership.mayAct() ||
            latest <= this.options.context.clock.now()
        ) {
            return undefined;
        }
        return this.clock.buildFence(this.epoch, latest);
    }

    /**
     * Time by which every task on the worker has certainly ended. Once a worker that compares epochs is
     * attached, the previous owner can renew no lease there; otherwise the previous owner's leases count as
     * well.
     */
    private getLostBound(): Millis {
        const own = this.clock.getLeaseBound();
        const fenced = this.tasksKnown && this.report?.comparesEpochs !== false;
        return fenced ? own : Math.max(own, this.options.getPredecessorBound());
    }

    private scheduleLostCheck(): void {
        this.lostTimer = this.options.context.clock.schedule(LOST_CHECK_MS, () => {
            this.checkLost();
            if (!this.closed) {
                this.scheduleLostCheck();
            }
        });
    }

    /**
     * Declares the worker lost once every lease that it can hold has expired. This is done only while this
     * entry may act: otherwise a new owner could be renewing the worker's lease.
     */
    private checkLost(): void {
        if (this.closed || this.inContact || this.lost || !this.options.context.ownership.mayAct()) {
            return;
        }
        if (this.options.context.clock.now() > this.getLostBound()) {
            this.lost = true;
            this.options.listener.handleLost(this);
        }
    }
}
