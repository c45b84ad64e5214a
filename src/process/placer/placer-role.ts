/**
 * The placer role: the only component that assigns the resources of the workers in the slices this entry
 * owns. It connects the placement core's decisions with the worker sessions, service requests and tasks.
 */
import type { Millis, Timer } from "../../common/clock.js";
import { NotRunReason } from "../../common/outcome.js";
import {
    type AnswerBody,
    type CallBody,
    type NotificationBody,
    PeerErrorCode,
    type PlacerLoad,
    type SliceStatus,
} from "../../connection/messages.js";
import { DEFAULT_CELL, type SettingsVersion } from "../../version/settings.js";
import type { Predecessor } from "../ownership/index.js";
import type { Decision, PlacementCore } from "../placement/placement-core.js";
import type { VmListPort, VmRecord } from "../ports/vm-list-port.js";
import type { WorkerPort, WorkerReport } from "../ports/worker-port.js";
import type { PlacerRole, RoleContext, WorkerStatus } from "../roles.js";
import { AttemptLedger } from "./attempt-ledger.js";
import { logDecision, logQuotaWarning } from "./decision-log.js";
import { explainJob } from "./explain.js";
import { ServiceRunner } from "./service-runner.js";
import { TaskOrders } from "./task-orders.js";
import { TaskRuns } from "./task-runs.js";
import { WorkerFleet } from "./worker-fleet.js";
import { WorkerHealth } from "./worker-health.js";
import type { SessionListener, WorkerSession } from "./worker-session.js";

/** Interval between checks of whether this entry may act again. */
const AUTHORITY_POLL_MS: Millis = 100;
/** Retry delay given with a refusal because this entry may not act, or because the branch runs as a shadow. */
const AUTHORITY_RETRY_MS: Millis = 1_000;

/** Options of {@link createPlacerRole}. */
export interface PlacerOptions {
    readonly core: PlacementCore;
    readonly workers: WorkerPort;
    readonly vmList: VmListPort;
    /** Slice of the VM's rack, or undefined while the ownership table does not list its failure domain. */
    findSlice(vm: VmRecord): number | undefined;
    /** Whether a majority of members has an ownership table of at least this revision. */
    isKnownByMajority(revision: number): boolean;
    /**
     * Called when a worker was opened or closed to new work, so that other entries' routing learns of it
     * promptly.
     */
    handleWorkersChange(): void;
    /** Called when a worker reports that a slice has a newer owner. */
    handleFenced(slice: number, epoch: number): void;
}

/** The placer role with the members that only the entry running it uses. */
export interface OwnedPlacerRole extends PlacerRole {
    /** Starts polling the VM list. */
    start(): void;
    /** Lists the failure domains of the VM list. */
    listWorkerDomains(): readonly string[];
    hasWorkers(slice: number): boolean;
    /** Returns queued work to its homes and callers and accepts no more. */
    drain(): void;
    close(): void;
}

/** Creates the placer role of an entry. */
export function createPlacerRole(context: RoleContext, options: PlacerOptions): OwnedPlacerRole {
    return new Placer(context, options);
}

class Placer implements OwnedPlacerRole, SessionListener {
    private readonly health: WorkerHealth;
    private readonly fleet: WorkerFleet;
    private readonly ledger: AttemptLedger;
    private readonly orders: TaskOrders;
    private readonly runs: TaskRuns;
    private readonly services: ServiceRunner;
    private decisionTimer: Timer | undefined;
    private decisionDueAt = Number.POSITIVE_INFINITY;
    private draining = false;
    private closed = false;

    constructor(private readonly context: RoleContext, private readonly options: PlacerOptions) {
        const { core } = options;
        const requestDecisions = (): void => this.scheduleDecisions(0);
        const observeResult: Placer["observeResult"] = this.observeResult.bind(this);
        const getCell = (): SettingsVersion["cell"] => context.settings.getCurrent()?.cell ?? DEFAULT_CELL;
        this.health = new WorkerHealth(context.clock, getCell);
        this.fleet = new WorkerFleet({
            context,
            core,
            health: this.health,
            vmList: options.vmList,
            port: options.workers,
            getCell,
            findSlice: vm => options.findSlice(vm),
            isKnownByMajority: revision => options.isKnownByMajority(revision),
            listener: this,
            handleWorkersChange: () => options.handleWorkersChange(),
            handleDropped: session => this.runs.handleDropped(session),
        });
        this.ledger = new AttemptLedger({ context, core, requestDecisions });
        this.runs = new TaskRuns({ context, core, ledger: this.ledger, fleet: this.fleet, observeResult });
        this.orders = new TaskOrders({
            context,
            core,
            ledger: this.ledger,
            fleet: this.fleet,
            start: decision => this.runs.start(decision),
            startGranted: attempt => this.runs.startGranted(attempt),
            stop: attempt => this.runs.stop(attempt),
            requestDecisions,
        });
        this.services = new ServiceRunner({
            context,
            core,
            fleet: this.fleet,
            findBranch: path => context.settings.getCurrent()?.branches.get(path),
            requestDecisions,
            observeResult,
        });
        context.settings.subscribe(settings => this.applySettings(settings));
    }

    start(): void {
        const settings = this.context.settings.getCurrent();
        if (settings !== undefined) {
            this.applySettings(settings);
        }
        this.fleet.start();
    }

    drain(): void {
        this.draining = true;
        this.orders.returnQueued("the placer is shutting down");
        this.services.shedAll(NotRunReason.shuttingDown, 0);
    }

    close(): void {
        this.closed = true;
        this.decisionTimer?.cancel();
        this.fleet.close();
        this.ledger.close();
    }

    openSlice(slice: number, epoch: number, predecessor: Predecessor): void {
        this.fleet.openSlice(slice, epoch, predecessor);
    }

    /**
     * Closes the sessions of a slice. A handover first stops new starts there and waits for pending ones: a
     * worker that does not compare epochs could otherwise accept one after the next owner has listed its
     * tasks.
     */
    async closeSlice(slice: number, mode: "handOver" | "lost"): Promise<void> {
        if (mode === "handOver") {
            this.fleet.sealSlice(slice);
            await this.runs.waitForStarts(slice);
        }
        this.fleet.closeSlice(slice);
        this.returnQueuedWithoutWorkers();
    }

    listSlices(): readonly SliceStatus[] {
        return this.fleet.listSlices();
    }

    getLoad(): PlacerLoad {
        return this.options.core.getLoad();
    }

    listWorkerDomains(): readonly string[] {
        return this.fleet.listDomains();
    }

    hasWorkers(slice: number): boolean {
        return this.fleet.hasWorkers(slice);
    }

    /** Without workers, queued work would wait forever; returned to its home, it can go to another placer. */
    private returnQueuedWithoutWorkers(): void {
        if (this.options.core.getLoad().workers === 0) {
            this.orders.returnQueued("this placer has no workers any more");
        }
    }

    listWorkers(): readonly WorkerStatus[] {
        return this.fleet.listWorkers(workerId => this.ledger.countOpenOn(workerId));
    }

    explain(jobId: string): readonly string[] {
        const { clock, memberId } = this.context;
        return explainJob(this.ledger.attempts, this.options.core, jobId, memberId, clock.now());
    }

    async handleCall(from: string, body: CallBody): Promise<AnswerBody> {
        if (!this.context.ownership.mayAct()) {
            return {
                kind: "error",
                code: PeerErrorCode.notReady,
                message: "this entry may not act now: ask another",
            };
        }
        if (this.draining && body.kind !== "census") {
            return {
                kind: "error",
                code: PeerErrorCode.notOwner,
                message: "this entry is shutting down: ask another",
            };
        }
        switch (body.kind) {
            case "serve":
                if (body.home !== undefined && !this.orders.fences.admit(body.home, body.attempt)) {
                    return {
                        kind: "error",
                        code: PeerErrorCode.notOwner,
                        message: "the home that sent it is outdated",
                    };
                }
                return await this.services.handleCall(body);
            case "explain":
                return { kind: "explained", lines: this.explain(body.jobId) };
            case "reserve":
                return this.orders.reserve(body);
            case "census":
                return this.orders.handleCensus(body) ??
                    {
                        kind: "error",
                        code: PeerErrorCode.notOwner,
                        message: "a newer home has taken the census",
                    };
            default:
                return {
                    kind: "error",
                    code: PeerErrorCode.invalid,
                    message: `a placer does not handle ${body.kind} from ${from}`,
                };
        }
    }

    receiveNotification(from: string, notification: NotificationBody): void {
        switch (notification.kind) {
            case "place":
                this.orders.receivePlace(notification);
                this.returnQueuedWithoutWorkers();
                if (this.draining) {
                    this.orders.returnQueued("the placer is shutting down");
                }
                break;
            case "confirm":
                this.orders.receiveConfirm(notification);
                break;
            case "withdraw":
                this.orders.receiveWithdraw(notification);
                break;
            case "acknowledge":
                this.orders.receiveAcknowledge(notification);
                break;
            case "updates":
                this.context.log.debug("placer ignored updates, which are for homes", { from });
                break;
        }
    }

    handleAttached(session: WorkerSession, report: WorkerReport, restarted: boolean): void {
        this.refreshWorker(session, report);
        this.runs.handleAttached(session, report, restarted);
        this.scheduleDecisions(0);
    }

    handleReport(session: WorkerSession, report: WorkerReport): void {
        this.refreshWorker(session, report);
        this.runs.handleReport(session, report);
        this.scheduleDecisions(0);
    }

    handleUnreachable(session: WorkerSession): void {
        this.fleet.refreshOpen(session);
    }

    handleLost(session: WorkerSession): void {
        this.context.log.warn("CR1102", "worker lost, its leases have ended", { worker: session.workerId });
        this.context.metrics.count("placer.workers_lost");
        this.runs.handleLost(session);
        this.options.core.removeWorker(session.workerId);
        this.returnQueuedWithoutWorkers();
    }

    handleFenced(session: WorkerSession): void {
        if (this.fleet.hasSlice(session.slice, session.epoch)) {
            this.context.log.warn("CR1103", "slice has a newer owner", {
                slice: session.slice,
                worker: session.workerId,
            });
            this.options.handleFenced(session.slice, session.epoch);
        }
    }

    private applySettings(settings: SettingsVersion): void {
        this.options.core.setSettings(settings);
        logQuotaWarning(this.context, settings);
        this.scheduleDecisions(0);
    }

    private refreshWorker(session: WorkerSession, report: WorkerReport): void {
        this.options.core.upsertWorker({
            workerId: session.workerId,
            rack: session.vm.rack,
            failureDomain: session.vm.failureDomain,
            capacity: report.capacity,
            slots: report.slots,
            maxConnections: report.maxConnections,
            foreignUse: report.foreignUse,
        });
        this.fleet.refreshOpen(session);
    }

    private observeResult(workerId: string, branch: string, failed: boolean): void {
        const session = this.fleet.find(workerId);
        if (this.health.observe(workerId, branch, failed) && session !== undefined) {
            this.context.log.decide({
                decision: "eject",
                subject: workerId,
                branch,
                treeVersion: this.context.settings.getCurrent()?.version ?? 0,
                chosen: workerId,
                reason: "failed work that succeeds on other workers",
            });
            this.context.metrics.count("placer.ejections");
            this.fleet.refreshOpen(session);
        }
    }

    /** Schedules a placement round; calls in one turn of the event loop share a round. */
    private scheduleDecisions(delay: Millis): void {
        const due = this.context.clock.now() + delay;
        if (this.closed || this.decisionDueAt <= due) {
            return;
        }
        this.decisionTimer?.cancel();
        this.decisionDueAt = due;
        this.decisionTimer = this.context.clock.schedule(delay, () => {
            this.decisionDueAt = Number.POSITIVE_INFINITY;
            this.decide();
        });
    }

    private decide(): void {
        if (this.closed) {
            return;
        }
        if (!this.context.ownership.mayAct()) {
            this.services.shedAll(NotRunReason.settingsUncertain, AUTHORITY_RETRY_MS);
            this.scheduleDecisions(AUTHORITY_POLL_MS);
            return;
        }
        const now = this.context.clock.now();
        const startedAt = this.context.clock.now();
        const decisions = this.options.core.decide(now, this.context.random);
        const tookUs = Math.round(
            (this.context.clock.now() - startedAt) * 1_000 / Math.max(1, decisions.length),
        );
        for (const decision of decisions) {
            this.applyDecision(decision, tookUs);
        }
        if (decisions.length > 0) {
            // The core makes a bounded number of decisions per call, so more may be possible now.
            this.scheduleDecisions(0);
        }
        const next = this.options.core.getNextDecisionAt(now);
        if (next !== undefined) {
            this.scheduleDecisions(Math.max(1, next - now));
        }
    }

    private applyDecision(decision: Decision, tookUs: number): void {
        logDecision(this.context, decision, tookUs);
        switch (decision.kind) {
            case "start":
                if (this.services.has(decision.item.id)) {
                    this.services.start(decision);
                }
                else {
                    this.runs.start(decision);
                }
                break;
            case "shed":
                this.services.shed(decision.item.id, decision.reason, decision.retryAfterMs);
                this.orders.shed(decision.item.id, decision.reason, decision.retryAfterMs);
                break;
            case "preempt":
                this.runs.preempt(decision);
                break;
            case "shadow":
                this.services.shed(decision.item.id, "branchOff", AUTHORITY_RETRY_MS);
                this.orders.shed(decision.item.id, "branchOff", AUTHORITY_RETRY_MS);
                break;
        }
    }
}
