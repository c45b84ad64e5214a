/**
 * The task that owns the conversation with one worker: attach, renewals, orders, and the judgement that the
 * worker is lost.
 */
import { type Millis, sleep, type Timer } from "../../common/clock.js";
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

/** Longest time a worker holds a renewal back while nothing changes. */
const RENEW_WAIT_MS: Millis = 2_500;
/** Renewals are at least this far apart, so that many short tasks share a report. */
const RENEW_PACE_MS: Millis = 20;
const ATTACH_TIMEOUT_MS: Millis = 2_000;
const RETRY_MIN_MS: Millis = 100;
const RETRY_MAX_MS: Millis = 3_000;
/** Time without a right to act before it is asked again. */
const STANDING_POLL_MS: Millis = 100;
const LOST_CHECK_MS: Millis = 250;

/** What a session tells its placer. */
export interface SessionListener {
    /** The worker answered an attach: the report lists everything it has. `restarted`: its tasks of before are gone. */
    handleAttached(session: WorkerSession, report: WorkerReport, restarted: boolean): void;
    /** The worker answered a renewal: the report lists what changed. */
    handleReport(session: WorkerSession, report: WorkerReport): void;
    /** Contact broke; nothing new goes there until the next report. */
    handleUnreachable(session: WorkerSession): void;
    /** Every task that was on the worker has surely ended. */
    handleLost(session: WorkerSession): void;
    /** The worker has a newer owner. */
    handleFenced(session: WorkerSession): void;
}

/** What {@link WorkerSession} is given. */
export interface SessionOptions {
    readonly context: Pick<RoleContext, "clock" | "random" | "log" | "metrics" | "ownership">;
    readonly port: WorkerPort;
    readonly vm: VmRecord;
    readonly slice: number;
    readonly epoch: number;
    /** Instant by which the predecessor's tasks have ended if the worker is never reached. */
    getPredecessorBound(): Millis;
    getCell(): CellSettings;
    readonly listener: SessionListener;
}

/** Result of a start order. */
export type StartResult =
    | { readonly kind: "started"; }
    /** Proved: the worker refused it or never received it. */
    | { readonly kind: "notStarted"; readonly reason: string; }
    /** The answer was lost: a later report tells. */
    | { readonly kind: "uncertain"; };

/** One worker, from this entry's side. */
export class WorkerSession {
    readonly workerId: string;
    readonly slice: number;
    readonly epoch: number;
    readonly vm: VmRecord;
    private readonly address: WorkerAddress;
    private readonly clock: WorkerClock;
    private report: WorkerReport | undefined;
    private attached = false;
    private contact = false;
    private lost = false;
    private known = false;
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

    /** Starts to attach. */
    start(): void {
        void this.run();
        this.scheduleLostCheck();
    }

    /** Stops the conversation; the worker's lease runs on. */
    close(): void {
        this.closed = true;
        this.lostTimer?.cancel();
    }

    /** Whether the worker is attached and answered lately. */
    isReachable(): boolean {
        return this.attached && this.contact;
    }

    /** Whether its tasks are known: attached once, or surely ended. */
    isSettled(): boolean {
        return this.known || this.lost;
    }

    /** The last report. */
    getReport(): WorkerReport | undefined {
        return this.report;
    }

    /** Marks an ended task as durable elsewhere; the next renewal lets the worker forget it. */
    acknowledge(attempt: string): void {
        this.acknowledged.push(attempt);
    }

    /** Asks for everything again, to learn what became of an order whose answer was lost. */
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

    /** Stops, checkpoints or throttles a task; its end arrives in a report. */
    async orderTask(step: "stop" | "checkpoint" | "throttle", attempt: string): Promise<boolean> {
        const fence = this.buildOrderFence();
        if (fence === undefined) {
            return false;
        }
        const answer = await this.options.port[step](this.address, { attempt, ...fence }, ORDER_WINDOW_MS);
        return answer.kind === "done";
    }

    /** Hands a service request to the worker. */
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
                await sleep(this.options.context.clock, STANDING_POLL_MS);
                continue;
            }
            const reached = this.attached ? await this.renew() : await this.attach();
            const pause = reached ? RENEW_PACE_MS : this.takeRetryDelay();
            await sleep(this.options.context.clock, pause);
        }
    }

    private takeRetryDelay(): Millis {
        const delay = this.retryMs * (0.5 + this.options.context.random.pickFraction());
        this.retryMs = Math.min(RETRY_MAX_MS, this.retryMs * 2);
        return delay;
    }

    /** Attaches without extending leases: the worker's clock is not known yet, so a delay could not be bounded. */
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
            this.handleSilence();
            return false;
        }
        // The owner before may have renewed the leases just before this attach.
        this.clock.extendBound(this.options.context.clock.now(), this.options.getCell().workerLeaseMs);
        const before = this.clock.getBootId();
        const restarted = before !== undefined && before !== answer.value.bootId;
        this.acceptReport(answer.value);
        this.attached = true;
        this.known = true;
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
            this.clock.extendBound(latest, cell.workerLeaseMs);
        }
        if (this.closed) {
            return false;
        }
        if (answer.kind === "done") {
            this.acceptReport(answer.value);
            this.options.listener.handleReport(this, answer.value);
            return true;
        }
        this.acknowledged.push(...acknowledged);
        if (answer.kind === "refused") {
            // Another boot, or a fence that came too late: the next attach learns the worker's state and clock.
            this.attached = false;
            this.handleRefusal(answer.reason);
            return false;
        }
        this.handleSilence();
        return false;
    }

    private acceptReport(report: WorkerReport): void {
        this.clock.observe(report.bootId, report.workerNow, this.options.context.clock.now());
        this.report = report;
        this.sequence = report.sequence;
        this.contact = true;
        this.retryMs = RETRY_MIN_MS;
    }

    /** From here on the worker is only asked for its state, by attaches, which extend no lease: so the bound stands. */
    private handleSilence(): void {
        this.attached = false;
        if (this.contact) {
            this.contact = false;
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

    /** Latest instant at which an order sent now may be taken. */
    private getOrderDeadline(): Millis {
        const { clock, ownership } = this.options.context;
        const latest = clock.now() + ORDER_WINDOW_MS;
        return this.report?.comparesEpochs === false ?
            Math.min(latest, ownership.getLeaseOnlyDeadline()) :
            latest;
    }

    /** The fence of an order, or undefined when this entry must not send it. Checked right before sending. */
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
     * Instant by which every task on the worker has surely ended. Once a worker that compares epochs was attached,
     * the owner before can renew nothing there; otherwise its leases count as well.
     */
    private getLostBound(): Millis {
        const own = this.clock.getLeaseBound();
        const fenced = this.known && this.report?.comparesEpochs !== false;
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
     * Judges the worker lost once every lease that can exist on it has run out. Only while this entry may act:
     * a new owner elsewhere could be renewing the worker's lease meanwhile.
     */
    private checkLost(): void {
        if (this.closed || this.contact || this.lost || !this.options.context.ownership.mayAct()) {
            return;
        }
        if (this.options.context.clock.now() > this.getLostBound()) {
            this.lost = true;
            this.options.listener.handleLost(this);
        }
    }
}
