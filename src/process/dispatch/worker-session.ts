/**
 * The leader's conversation with one life of a worker: reports that also renew the lease, and orders.
 *
 * @remarks The loop asks for the next report as soon as the last one is handled. The worker holds its answer back
 * until something ends, so an end is known within milliseconds at the price of one call.
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
import { callTwice } from "./repeated-call.js";

/** What a session tells the leader. */
export interface SessionListener {
    /**
     * A report; the first one of a session shows what earlier leaders left there.
     * @param ended - Its ends that no earlier report of the session held.
     */
    handleReport(report: WorkerReport, ended: readonly EndedRun[], isFirst: boolean): void;
    /** Whether the worker can be given work has changed. */
    handleReachable(isReachable: boolean): void;
    /** A call failed well before its timeout, as where the worker's process has ended. */
    handleBroken(): void;
    /** This life is over: another one answers at its address. */
    handleReplaced(): void;
    /** The worker follows a later leader. */
    handleFenced(): void;
    /** The worker's clock ran ahead of ours by this much: this process was suspended. */
    handleSuspended(gap: Millis): void;
    /** Whether this leader may still extend leases: see `authority.ts`. */
    mayExtend(): boolean;
    /** Least time between two reports. */
    computeReportGap(): Millis;
    /** How long the worker may hold its next report back: see `lost-answers.ts`. */
    computeReportWait(): Millis;
    /** After how long without an answer a call is made again. */
    computeRepeatDelay(): Millis;
    /** The worker left a call unanswered and answered a later one. */
    handleLostAnswer(): void;
}

/** What a session is made from. */
export interface SessionOptions {
    readonly worker: WorkerIdentity;
    readonly port: TaskWorkerPort;
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly epoch: number;
    /** Length of the leases given. */
    readonly leaseMs: Millis;
    /** Until when, on our clock, leases given by earlier leaders may run. */
    readonly inheritedLeaseEnd: Millis;
    readonly listener: SessionListener;
}

/** Longest wait for ends to be durable before the lease is renewed without it. */
const DURABLE_WAIT_MS: Millis = 700;
/** Time for the answer on top of what the worker may wait: one way is under 4 ms, a busy worker takes longer. */
const ANSWER_MARGIN_MS: Millis = 500;
const RETRY_PAUSE_MS: Millis = 100;
/** A call that fails within this time of its timeout may have timed out. */
const TIMEOUT_SLACK_MS: Millis = 100;
/** Reports that fail one after the other before the worker gets no new work. */
const MAX_FAILURES = 1;
/** Time for an order's answer. What was not answered by then is settled by the reports. */
const ORDER_TIMEOUT_MS: Millis = 600;
/** A worker's clock that gains more than this between two reports shows that this process stood still. */
const SUSPENSION_MS: Millis = 1_000;
/** A worker's clock may be slower than ours by 2%; another 1% and this constant cover the estimate of its time. */
const CLOCK_FACTOR = 1.03;
const CLOCK_MARGIN_MS: Millis = 300;

/** Returns when a lease given now has surely run out, as a duration on our clock. */
export function computeLeaseBound(leaseMs: Millis): Millis {
    return leaseMs * CLOCK_FACTOR + CLOCK_MARGIN_MS;
}

/** A session; see the module comment. */
export class WorkerSession {
    /** Highest end that is durable. */
    private seenEnd = 0;
    /** Highest end that the listener was told of. */
    private handledEnd = 0;
    /** Lets the loop go on once the ends that it was told of are durable. */
    private durable = new Signal();
    private offset: Millis | undefined;
    private leaseEnd: Millis;
    private lastWorkerNow: Millis = 0;
    private heardAt: Millis = -Infinity;
    /** When the last order was sent that the worker answered. */
    private orderAnsweredAt: Millis = -Infinity;
    private isFirst = true;
    private areLeasesAllowed = false;
    private readonly leasesAllowed = new Signal();
    /** Whether the last request extended the lease. */
    private wasLeaseAsked = false;
    private isReachable = false;
    private failures = 0;
    private closed = false;

    constructor(private readonly options: SessionOptions) {
        this.leaseEnd = options.inheritedLeaseEnd;
    }

    /** Returns when, on our clock, all leases on this worker have surely run out unless it is heard again. */
    getLeaseEnd(): Millis {
        return this.leaseEnd;
    }

    /** Returns the last instant, on our clock, at which the worker is known to have been at work. */
    getAliveAt(): Millis {
        return Math.max(this.heardAt, this.orderAnsweredAt);
    }

    /** Returns the worker's time now, at most; undefined before the first report. */
    estimateWorkerNow(): Millis | undefined {
        return this.offset === undefined ? undefined : this.options.clock.now() + this.offset;
    }

    /** Runs until closed. */
    async run(): Promise<void> {
        while (!this.closed) {
            const { clock, listener } = this.options;
            if (!listener.mayExtend()) {
                this.setReachable(false);
                await sleep(clock, RETRY_PAUSE_MS);
                continue;
            }
            const sentAt = clock.now();
            await this.requestReport(sentAt);
            await this.pauseAfterReport(sentAt);
        }
    }

    /** Lets the session extend leases, which it does not until a later leader would know of it. */
    grantLeases(): void {
        this.areLeasesAllowed = true;
        this.leasesAllowed.notify();
    }

    /** Takes in that ends up to a number are durable: the worker may forget them. */
    acceptDurable(number: number): void {
        this.seenEnd = Math.max(this.seenEnd, number);
        if (this.seenEnd >= this.handledEnd) {
            this.durable.notify();
        }
    }

    /** Ends the session. */
    close(): void {
        if (!this.closed) {
            this.closed = true;
            this.options.port.forget(this.options.worker);
        }
    }

    isClosed(): boolean {
        return this.closed;
    }

    /** Sends an order to start a run. */
    start(order: Omit<StartOrder, "epoch">): Promise<WorkerAnswer<Millis>> {
        const { port, worker, epoch, clock } = this.options;
        // The order's deadline is a lease too: a worker that goes silent before a report request has renewed one runs the
        // task until then, and must not be taken for free of it.
        const lifeMs = order.workerDeadline - (this.estimateWorkerNow() ?? order.workerDeadline);
        this.leaseEnd = Math.max(this.leaseEnd, clock.now() + computeLeaseBound(lifeMs));
        const send = (): Promise<WorkerAnswer<Millis>> =>
            port.start(worker, { ...order, epoch }, ORDER_TIMEOUT_MS);
        return this.order(
            "start",
            () => this.callAgainIfSilent(send, send, this.options.listener.computeRepeatDelay()),
        );
    }

    /** Sends an order to stop a run. */
    stop(order: Omit<RunOrder, "epoch">): Promise<WorkerAnswer<Millis>> {
        const { port, worker, epoch } = this.options;
        return this.order("stop", () => port.stop(worker, { ...order, epoch }, ORDER_TIMEOUT_MS));
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
        else if (this.wasLeaseAsked) {
            await this.waitForEnds();
            await sleep(clock, Math.max(0, sentAt + listener.computeReportGap() - clock.now()));
        }
    }

    /**
     * Waits until the ends of the last report are durable.
     *
     * @remarks A worker answers at once while it has ends that it may not forget. Asked again before that, it is asked
     * every few milliseconds for as long as the store takes, which used up the leader's processor time.
     */
    private async waitForEnds(): Promise<void> {
        if (this.seenEnd >= this.handledEnd) {
            return;
        }
        this.durable = new Signal();
        await Promise.race([this.durable.wait(), sleep(this.options.clock, DURABLE_WAIT_MS)]);
    }

    /** Makes a call, and once more if no answer comes soon. */
    private callAgainIfSilent<Value>(
        sendFirst: () => Promise<WorkerAnswer<Value>>,
        sendAgain: () => Promise<WorkerAnswer<Value>>,
        patienceMs: Millis,
    ): Promise<WorkerAnswer<Value>> {
        const { clock, listener, metrics } = this.options;
        return callTwice({
            clock,
            sendFirst,
            sendAgain,
            patienceMs,
            isWanted: () => !this.closed,
            handleRepeated: () => metrics.count("worker.callsRepeated"),
            handleLostAnswer: () => listener.handleLostAnswer(),
        });
    }

    private async order(
        name: string,
        send: () => Promise<WorkerAnswer<Millis>>,
    ): Promise<WorkerAnswer<Millis>> {
        const { clock, metrics } = this.options;
        const sentAt = clock.now();
        const answer = await send();
        metrics.time(`worker.${name}`, clock.now() - sentAt);
        if (answer.kind === "notSent") {
            this.checkIfBroken(sentAt, ORDER_TIMEOUT_MS);
        }
        if (answer.kind === "done" || answer.kind === "refused") {
            this.orderAnsweredAt = Math.max(this.orderAnsweredAt, sentAt);
        }
        if (!this.closed) {
            this.handleEnd(answer);
        }
        return answer;
    }

    private async requestReport(sentAt: Millis): Promise<void> {
        const { port, worker, epoch, leaseMs } = this.options;
        const now = this.estimateWorkerNow();
        // A request without an answer may still be carried out. If each one extended the lease, the lease of a worker
        // that went silent would never surely run out, and its tasks would wait for it for ever.
        const mayLease = this.areLeasesAllowed && now !== undefined && this.failures === 0;
        const workerDeadline = mayLease ? Math.floor(now + leaseMs) : undefined;
        // Until leases may be extended the answer is wanted at once, and an unsure worker is asked for a sign of life.
        const waitMs = mayLease ? this.options.listener.computeReportWait() : 0;
        const repeatMs = this.options.listener.computeRepeatDelay();
        this.wasLeaseAsked = mayLease;
        if (workerDeadline !== undefined) {
            this.leaseEnd = Math.max(this.leaseEnd, sentAt + computeLeaseBound(leaseMs));
        }
        const request = { epoch, seenEnd: this.seenEnd, workerDeadline, waitMs };
        const answer = await this.callAgainIfSilent(
            () => port.report(worker, request, waitMs + ANSWER_MARGIN_MS),
            // The lease ends when the first request would have it end, so the bound above stays true.
            () => port.report(worker, { ...request, waitMs: 0 }, ANSWER_MARGIN_MS - repeatMs),
            waitMs + repeatMs,
        );
        if (this.closed) {
            return;
        }
        if (answer.kind === "done") {
            this.failures = 0;
            this.acceptReport(answer.value);
            return;
        }
        if (!this.handleEnd(answer)) {
            this.countFailure(answer);
            this.checkIfBroken(sentAt, waitMs + ANSWER_MARGIN_MS);
        }
    }

    private acceptReport(report: WorkerReport): void {
        const { clock, listener } = this.options;
        // Answers on several connections may overtake each other; an older one tells nothing new.
        if (report.workerNow < this.lastWorkerNow) {
            return;
        }
        this.lastWorkerNow = report.workerNow;
        this.heardAt = clock.now();
        const offset = report.workerNow - clock.now();
        if (this.offset !== undefined && offset - this.offset > SUSPENSION_MS) {
            listener.handleSuspended(offset - this.offset);
        }
        this.offset = offset;
        const { isFirst, handledEnd } = this;
        this.isFirst = false;
        this.handledEnd = Math.max(handledEnd, report.ended.at(-1)?.number ?? 0);
        const ended = report.ended.filter(end => end.number > handledEnd);
        listener.handleReport(report, ended, isFirst);
        this.setReachable(true);
    }

    /** Handles answers that end the session; tells whether it was one. */
    private handleEnd(answer: WorkerAnswer<unknown>): boolean {
        if (answer.kind === "replaced") {
            this.close();
            this.options.listener.handleReplaced();
            return true;
        }
        if (answer.kind === "refused" && answer.reason === OrderRefusal.fenced) {
            this.close();
            this.options.listener.handleFenced();
            return true;
        }
        return false;
    }

    /** A call that a silent worker leaves unanswered fails at its timeout. */
    private checkIfBroken(sentAt: Millis, timeoutMs: Millis): void {
        const { clock, listener } = this.options;
        if (clock.now() - sentAt < timeoutMs - TIMEOUT_SLACK_MS) {
            listener.handleBroken();
        }
    }

    private countFailure(answer: WorkerAnswer<unknown>): void {
        this.failures += 1;
        this.options.metrics.count("worker.reportFailures");
        if (this.failures >= MAX_FAILURES && this.isReachable) {
            this.setReachable(false);
            const { worker, log } = this.options;
            const reason = answer.kind === "refused" ? answer.reason : answer.kind;
            log.warn("CR1611", "workerUnreachable", { workerId: worker.workerId, reason });
        }
    }

    private setReachable(isReachable: boolean): void {
        if (this.isReachable !== isReachable) {
            this.isReachable = isReachable;
            this.options.listener.handleReachable(isReachable);
        }
    }
}
