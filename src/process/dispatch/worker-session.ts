/**
 * The leader's session with one incarnation of a worker: report requests, which also renew the lease, and
 * orders.
 *
 * @remarks The next report is requested as soon as the last one is handled. The worker holds its answer back
 * until a run ends, so an end is known within milliseconds at the cost of one call.
 */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { Signal } from "../../common/signal.js";
import { OrderRefusal } from "../ports/task-worker-port.js";
import type {
    EndedRun,
    RunOrder,
    StartOrder,
    TaskWorkerPort,
    WorkerAnswer,
    WorkerIdentity,
    WorkerReport,
} from "../ports/task-worker-port.js";
import type { Log, Metrics } from "../telemetry.js";
import { callHedged } from "./hedged-call.js";
import { computeLeaseBound } from "./lease-bound.js";

/** Receives a session's events and supplies its parameters. */
export interface SessionListener {
    /**
     * Handles a report; the first one of a session shows the runs that earlier leaders started.
     * @param ended - Its ended runs that no earlier report of the session listed.
     */
    handleReport(report: WorkerReport, ended: readonly EndedRun[], isFirst: boolean): void;
    /** The worker became reachable or unreachable. */
    handleReachabilityChange(isReachable: boolean): void;
    /** A call failed well before its timeout, as when the worker's process has ended. */
    handleConnectionFailure(): void;
    /**
     * This incarnation has ended: another one answers at its address.
     * @param successorId - The one that answered, if it is of the same worker.
     */
    handleReplaced(successorId: string | undefined): void;
    /** The worker follows a later leader. */
    handleFenced(): void;
    /** The worker's clock advanced by this much more than the leader's: this process was suspended. */
    handleSuspended(gap: Millis): void;
    /** Whether this leader may still extend leases: see `authority.ts`. */
    mayExtendLeases(): boolean;
    /** Least time between two reports. */
    computeReportGap(): Millis;
    /** How long the worker may hold its next report back: see `lost-answers.ts`. */
    computeReportWait(): Millis;
    /** Time without an answer after which a call is hedged: see `hedged-call.ts`. */
    computeHedgeDelay(): Millis;
    /** A call is made that is not the repetition of another. */
    handleCall(): void;
    /** Whether a call without an answer may be repeated now. */
    mayHedge(): boolean;
    /** The worker left a call unanswered and answered a later one. */
    handleLostAnswer(): void;
}

/** Parts and parameters of a session. */
export interface SessionOptions {
    readonly worker: WorkerIdentity;
    readonly port: TaskWorkerPort;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    /** The leader's epoch. */
    readonly epoch: number;
    /**
     * Epoch that orders to this incarnation carry. It is above the leader's own if an earlier incarnation of
     * the worker may have unanswered orders: once the worker has received it, it refuses them.
     */
    readonly fencingEpoch: number;
    /** Length of the leases that this leader grants. */
    readonly leaseMs: Millis;
    /** Until when, on the leader's clock, leases granted by earlier leaders may last. */
    readonly inheritedLeaseEnd: Millis;
    readonly listener: SessionListener;
}

/** Longest time to wait until ended runs are durable before the lease is renewed regardless. */
const DURABLE_WAIT_MS: Millis = 700;
/**
 * Time for the answer on top of the time that the worker may hold it: one way takes less than 4 ms, longer on
 * a busy worker.
 */
const ANSWER_MARGIN_MS: Millis = 500;
const RETRY_PAUSE_MS: Millis = 100;
/** A call that fails within this time before its timeout may have timed out. */
const TIMEOUT_SLACK_MS: Millis = 100;
/** Consecutive failed report requests after which the worker gets no new work. */
const UNREACHABLE_FAILURES = 1;
/** Timeout of an order. The outcome of one that was not answered by then is known from the reports. */
const ORDER_TIMEOUT_MS: Millis = 600;
/** If a worker's clock gains more than this between two reports, this process was suspended. */
const SUSPENSION_MS: Millis = 1_000;
/** The leader's session with one incarnation of a worker. */
export class WorkerSession {
    /** Number up to which ended runs are durable. */
    private durableEnd = 0;
    /** Highest number of an ended run that was passed to the listener. */
    private reportedEnd = 0;
    /** Notified once all ended runs that were passed to the listener are durable. */
    private endsDurable = new Signal();
    private clockOffset: Millis | undefined;
    private leaseEnd: Millis;
    private lastWorkerNow: Millis = 0;
    private lastReportAt: Millis = -Infinity;
    /** When the latest order that the worker answered was sent. */
    private lastAnsweredOrderAt: Millis = -Infinity;
    private isFirstReport = true;
    /** Whether a report has shown that the addressed incarnation is the one that answers. */
    private isConfirmed: boolean;
    private areLeasesAllowed = false;
    private leasesAllowed = new Signal();
    /** Whether the last request extended the lease. */
    private didRequestLease = false;
    private isReachable = false;
    private failures = 0;
    private closed = false;

    constructor(private readonly options: SessionOptions) {
        this.leaseEnd = options.inheritedLeaseEnd;
        this.isConfirmed = options.fencingEpoch === options.epoch;
    }

    /**
     * Returns the time on the leader's clock at which all leases on this worker have certainly expired unless
     * another one is granted.
     */
    getLeaseEnd(): Millis {
        return this.leaseEnd;
    }

    /** Returns the last time, on the leader's clock, at which the worker is known to have been running. */
    getLastContactAt(): Millis {
        return Math.max(this.lastReportAt, this.lastAnsweredOrderAt);
    }

    /** Returns an upper bound of the worker's current time; undefined before the first report. */
    estimateWorkerNow(): Millis | undefined {
        return this.clockOffset === undefined ? undefined : this.options.clock.now() + this.clockOffset;
    }

    /** Requests reports until the session is closed. */
    async run(): Promise<void> {
        while (!this.closed) {
            const { clock, listener } = this.options;
            if (!listener.mayExtendLeases()) {
                this.setReachable(false);
                await sleep(clock, RETRY_PAUSE_MS);
                continue;
            }
            const sentAt = clock.now();
            await this.requestReport(sentAt);
            await this.pauseAfterReport(sentAt);
        }
    }

    /** Lets the session extend leases. Called once a later leader would learn of them. */
    grantLeases(): void {
        this.areLeasesAllowed = true;
        this.leasesAllowed.notify();
    }

    /** Stops extending leases until they are granted again. */
    revokeLeases(): void {
        this.areLeasesAllowed = false;
        this.leasesAllowed = new Signal();
    }

    /** Records that ended runs up to a number are durable, so that the worker may forget them. */
    acknowledgeEnds(number: number): void {
        this.durableEnd = Math.max(this.durableEnd, number);
        if (this.durableEnd >= this.reportedEnd) {
            this.endsDurable.notify();
        }
    }

    close(): void {
        if (!this.closed) {
            this.closed = true;
            this.options.port.forget(this.options.worker);
        }
    }

    isClosed(): boolean {
        return this.closed;
    }

    /** Orders the worker to start a run. */
    start(order: Omit<StartOrder, "epoch">): Promise<WorkerAnswer<Millis>> {
        const { port, worker, fencingEpoch: epoch, clock } = this.options;
        // The order's deadline acts as a lease: a worker that becomes silent before a report request has
        // renewed a lease runs the task until then, and must not count as free of it.
        const remainingMs = order.workerDeadline - (this.estimateWorkerNow() ?? order.workerDeadline);
        this.leaseEnd = Math.max(this.leaseEnd, clock.now() + computeLeaseBound(remainingMs));
        const send = (): Promise<WorkerAnswer<Millis>> =>
            port.start(worker, { ...order, epoch }, ORDER_TIMEOUT_MS);
        return this.sendOrder(
            "start",
            () => this.callWithHedge(send, send, this.options.listener.computeHedgeDelay()),
        );
    }

    /** Orders the worker to stop a run. */
    stop(order: Omit<RunOrder, "epoch">): Promise<WorkerAnswer<Millis>> {
        const { port, worker, fencingEpoch: epoch } = this.options;
        return this.sendOrder("stop", () => port.stop(worker, { ...order, epoch }, ORDER_TIMEOUT_MS));
    }

    private async pauseAfterReport(sentAt: Millis): Promise<void> {
        const { clock, listener } = this.options;
        if (this.closed) {
            return;
        }
        if (this.failures > 0) {
            await sleep(clock, RETRY_PAUSE_MS);
        }
        else if (!this.areLeasesAllowed) {
            await Promise.race([this.leasesAllowed.wait(), sleep(clock, RETRY_PAUSE_MS)]);
        }
        else if (this.didRequestLease) {
            await this.waitForDurableEnds();
            await sleep(clock, Math.max(0, sentAt + listener.computeReportGap() - clock.now()));
        }
    }

    /**
     * Waits until the ended runs of the last report are durable.
     *
     * @remarks A worker answers at once while it has ended runs that it may not forget. Without this wait it
     * would be asked every few milliseconds for as long as the store takes, which used up the leader's
     * processor time.
     */
    private async waitForDurableEnds(): Promise<void> {
        if (this.durableEnd >= this.reportedEnd) {
            return;
        }
        this.endsDurable = new Signal();
        await Promise.race([this.endsDurable.wait(), sleep(this.options.clock, DURABLE_WAIT_MS)]);
    }

    /** Makes a call, and a second one if no answer comes within `hedgeDelayMs`. */
    private callWithHedge<Value>(
        sendFirst: () => Promise<WorkerAnswer<Value>>,
        sendAgain: () => Promise<WorkerAnswer<Value>>,
        hedgeDelayMs: Millis,
    ): Promise<WorkerAnswer<Value>> {
        const { clock, listener, metrics } = this.options;
        listener.handleCall();
        return callHedged({
            clock,
            sendFirst,
            sendAgain,
            hedgeDelayMs,
            isWanted: () => !this.closed && listener.mayHedge(),
            handleHedged: () => metrics.count("worker.callsRepeated"),
            handleLostAnswer: () => listener.handleLostAnswer(),
        });
    }

    private async sendOrder(
        name: string,
        send: () => Promise<WorkerAnswer<Millis>>,
    ): Promise<WorkerAnswer<Millis>> {
        const { clock, metrics } = this.options;
        const sentAt = clock.now();
        const answer = await send();
        metrics.time(`worker.${name}`, clock.now() - sentAt);
        if (answer.kind === "notSent") {
            this.checkConnection(sentAt, ORDER_TIMEOUT_MS);
        }
        if (answer.kind === "done" || answer.kind === "refused") {
            this.lastAnsweredOrderAt = Math.max(this.lastAnsweredOrderAt, sentAt);
        }
        if (!this.closed) {
            this.handleFinalAnswer(answer);
        }
        return answer;
    }

    private async requestReport(sentAt: Millis): Promise<void> {
        const { port, worker, leaseMs } = this.options;
        // A registration may be wrong about the incarnation, and the fencing epoch would lock the right one out.
        const epoch = this.options.fencingEpoch - (this.isConfirmed ? 0 : 1);
        const now = this.estimateWorkerNow();
        // A request without an answer may still be carried out. If each one extended the lease, the lease of
        // a silent worker would never certainly expire, and its tasks would wait for it forever.
        const mayLease = this.areLeasesAllowed && now !== undefined && this.failures === 0;
        const workerDeadline = mayLease ? Math.floor(now + leaseMs) : undefined;
        // Until leases may be extended the answer is wanted at once, and a worker whose last request failed
        // has to show that it is running.
        const waitMs = mayLease ? this.options.listener.computeReportWait() : 0;
        const hedgeDelayMs = this.options.listener.computeHedgeDelay();
        this.didRequestLease = mayLease;
        if (workerDeadline !== undefined) {
            this.leaseEnd = Math.max(this.leaseEnd, sentAt + computeLeaseBound(leaseMs));
        }
        const request = { epoch, seenEnd: this.durableEnd, workerDeadline, waitMs };
        const answer = await this.callWithHedge(
            () => port.report(worker, request, waitMs + ANSWER_MARGIN_MS),
            // Both requests carry the same deadline, so the lease end computed above stays an upper bound.
            () => port.report(worker, { ...request, waitMs: 0 }, ANSWER_MARGIN_MS - hedgeDelayMs),
            waitMs + hedgeDelayMs,
        );
        if (this.closed) {
            return;
        }
        if (answer.kind === "done") {
            this.failures = 0;
            if (!this.isConfirmed) {
                this.isConfirmed = true;
                await this.requestReport(this.options.clock.now());
                return;
            }
            this.acceptReport(answer.value);
            return;
        }
        if (!this.handleFinalAnswer(answer)) {
            this.countFailure(answer);
            this.checkConnection(sentAt, waitMs + ANSWER_MARGIN_MS);
        }
    }

    private acceptReport(report: WorkerReport): void {
        const { clock, listener } = this.options;
        // Answers on several connections may overtake each other; an older one carries nothing new.
        if (report.workerNow < this.lastWorkerNow) {
            return;
        }
        this.lastWorkerNow = report.workerNow;
        this.lastReportAt = clock.now();
        const offset = report.workerNow - clock.now();
        if (this.clockOffset !== undefined && offset - this.clockOffset > SUSPENSION_MS) {
            listener.handleSuspended(offset - this.clockOffset);
        }
        this.clockOffset = offset;
        const { isFirstReport, reportedEnd } = this;
        this.isFirstReport = false;
        this.reportedEnd = Math.max(reportedEnd, report.ended.at(-1)?.number ?? 0);
        const ended = report.ended.filter(end => end.number > reportedEnd);
        listener.handleReport(report, ended, isFirstReport);
        this.setReachable(true);
    }

    /** Handles answers that end the session; returns whether this was one. */
    private handleFinalAnswer(answer: WorkerAnswer<unknown>): boolean {
        if (answer.kind === "replaced") {
            this.close();
            this.options.listener.handleReplaced(answer.successorId);
            return true;
        }
        if (answer.kind === "refused" && answer.reason === OrderRefusal.fenced) {
            if (!this.isConfirmed) {
                // An earlier session with this incarnation has confirmed it.
                this.isConfirmed = true;
                return false;
            }
            this.close();
            this.options.listener.handleFenced();
            return true;
        }
        return false;
    }

    /** Reports a call that failed early. A call to a silent worker fails only at its timeout. */
    private checkConnection(sentAt: Millis, timeoutMs: Millis): void {
        const { clock, listener } = this.options;
        if (clock.now() - sentAt < timeoutMs - TIMEOUT_SLACK_MS) {
            listener.handleConnectionFailure();
        }
    }

    private countFailure(answer: WorkerAnswer<unknown>): void {
        this.failures += 1;
        this.options.metrics.count("worker.reportFailures");
        if (this.failures >= UNREACHABLE_FAILURES && this.isReachable) {
            this.setReachable(false);
            const { worker, log } = this.options;
            const reason = answer.kind === "refused" ? answer.reason : answer.kind;
            log.warn("CR1611", "workerUnreachable", { workerId: worker.workerId, reason });
        }
    }

    private setReachable(isReachable: boolean): void {
        if (this.isReachable !== isReachable) {
            this.isReachable = isReachable;
            this.options.listener.handleReachabilityChange(isReachable);
        }
    }
}
