/** The workers of a leader: their registrations, sessions and runs, and the processing of their reports. */
import type { Millis } from "../../common/clock.js";
import { AccountUse } from "../accounts/account-use.js";
import { WorkerSession } from "../dispatch/worker-session.js";
import { RunPhase, WorkerState } from "../dispatch/worker-state.js";
import type { RunRecord } from "../dispatch/worker-state.js";
import type { EndedRun, WorkerRecord, WorkerReport } from "../ports/task-worker-port.js";
import { CallRepeats } from "./call-repeats.js";
import type { LeaderContext } from "./context.js";
import { InheritedRuns } from "./inherited-runs.js";
import { computeExtraReportGap, computeLossGrace } from "./late-leader.js";
import { LostRuns } from "./lost-runs.js";
import type { RunEndHandler } from "./run-end-handler.js";
import { RunFinder } from "./run-finder.js";
import { RunLoss } from "./run-loss.js";
import { sendStops } from "./stop-orders.js";
import { WorkerLeases } from "./worker-leases.js";
import { WorkerReports } from "./worker-reports.js";
import { WorkerSuccessions } from "./worker-successions.js";
import { collectByPool } from "./workers-by-pool.js";
import type { WorkersByPool } from "./workers-by-pool.js";

/**
 * Minimum time between two reports of one worker: each report has a cost, and one carries all ends since the
 * last.
 */
const REPORT_GAP_MS: Millis = 150;
/**
 * Time for which a worker without runs is kept once it is unlisted: registrations lapse during store outages.
 */
const UNLISTED_GRACE_MS: Millis = 5_000;

/** Why a worker was removed from the fleet. */
const RemovalReason = {
    /** Another incarnation answers at its address. */
    replaced: "replaced",
    /** It has no runs, and was not listed for `UNLISTED_GRACE_MS`. */
    unlisted: "unlisted",
} as const;
type RemovalReason = (typeof RemovalReason)[keyof typeof RemovalReason];

/** A worker of the fleet. */
export interface FleetMember {
    readonly state: WorkerState;
    readonly session: WorkerSession;
    unlistedSince: Millis | undefined;
}

/** Keeps a session with each worker, and derives the ends and losses of runs from the workers' reports. */
export class Fleet {
    /** Locates the runs of assigned tasks. */
    readonly runs: RunFinder;
    private readonly members = new Map<string, FleetMember>();
    private readonly inherited: InheritedRuns;
    private readonly leases: WorkerLeases;
    private readonly losses: LostRuns;
    private readonly reports: WorkerReports;
    private readonly repeats: CallRepeats;
    private readonly successions: WorkerSuccessions;
    /** Incarnations that have ended but are still listed. */
    private readonly endedIncarnations = new Set<string>();
    private closed = false;

    /** @param ends - Handles the ends of runs. */
    constructor(private readonly context: LeaderContext, private readonly ends: RunEndHandler) {
        this.repeats = new CallRepeats(context, () => this.members.size);
        this.inherited = new InheritedRuns(context, ends);
        this.leases = new WorkerLeases(context);
        this.losses = new LostRuns(context, ends);
        this.reports = new WorkerReports(
            context,
            ends,
            this.losses,
            (state, run) => this.stopRun(state, run),
        );
        this.successions = new WorkerSuccessions(context, this.members);
        this.runs = new RunFinder(context, this.members, this.inherited);
    }

    /** Applies a new list of registered workers. */
    setWorkers(records: ReadonlyMap<string, WorkerRecord>): void {
        const now = this.context.clock.now();
        for (const record of records.values()) {
            if (!this.endedIncarnations.has(record.workerId)) {
                this.upsertWorker(record);
            }
        }
        for (const workerId of this.endedIncarnations) {
            if (!records.has(workerId)) {
                this.endedIncarnations.delete(workerId);
            }
        }
        for (const [workerId, member] of this.members) {
            const isListed = records.has(workerId);
            member.state.isListed = isListed;
            member.unlistedSince = isListed ? undefined : member.unlistedSince ?? now;
        }
        this.context.requestPass();
    }

    /** Returns usable workers by pool. */
    collectUsable(now: Millis): WorkersByPool {
        return collectByPool(this.listStates(), state => state.isUsable(now));
    }

    /**
     * Returns by pool the workers that this leader may not use yet, because it has had no contact with them.
     */
    collectUnreported(): WorkersByPool {
        return collectByPool(
            this.listStates(),
            state => !state.isAdopted && state.isListed && !state.record.isDraining,
        );
    }

    /** Sums what the runs of each client account use or may still use; nothing if there are no accounts. */
    collectAccountUse(): AccountUse {
        const use = new AccountUse();
        if (this.context.getConfig().accounts === undefined) {
            return use;
        }
        use.add(this.inherited.listCharged());
        this.members.forEach(({ state }) => use.add(state.runs.values()));
        return use;
    }

    /** Finds a worker's session. */
    findSession(workerId: string): WorkerSession | undefined {
        return this.members.get(workerId)?.session;
    }

    /** Finds a worker. */
    findState(workerId: string): WorkerState | undefined {
        return this.members.get(workerId)?.state;
    }

    /** Counts the workers that can be given work. */
    countUsable(now: Millis): number {
        return [...this.members.values()].filter(({ state }) => state.isUsable(now)).length;
    }

    /** Handles expired leases and removes workers that are gone. Must be called several times a second. */
    sweep(): void {
        const now = this.context.clock.now();
        for (const member of [...this.members.values()]) {
            this.sweepMember(member, now);
        }
        this.inherited.dropExpired(now);
    }

    /** Orders a run to stop, and repeats the order until its end is known. */
    stopRun(state: WorkerState, run: RunRecord): void {
        if (run.phase === RunPhase.stopping) {
            return;
        }
        const wasOrdered = run.phase !== RunPhase.reserved;
        run.phase = RunPhase.stopping;
        if (wasOrdered) {
            void sendStops(this.context, run, () => this.findStopSession(state, run));
        }
    }

    /** Returns the session through which a run is to be stopped; undefined once its end is known. */
    private findStopSession(state: WorkerState, run: RunRecord): WorkerSession | undefined {
        const isRunning = !this.closed && state.getRun(run.task, run.run) === run;
        const session = isRunning ? this.findSession(state.id) : undefined;
        return session?.isClosed() === true ? undefined : session;
    }

    /** Stops a run, whether its worker has been added or not. */
    stopTask(workerId: string, task: string, run: number): void {
        const state = this.findState(workerId);
        if (state === undefined) {
            this.inherited.requestStop(workerId, task, run);
            return;
        }
        const record = state.getRun(task, run);
        if (record !== undefined) {
            this.stopRun(state, record);
        }
    }

    /** Releases the capacity reserved for a run that was never ordered. */
    releaseTask(workerId: string, task: string, run: number): void {
        this.findState(workerId)?.removeRun(task, run);
    }

    /** Ends all sessions. */
    close(): void {
        this.closed = true;
        this.members.forEach(({ session }) => session.close());
    }

    private *listStates(): Iterable<WorkerState> {
        for (const { state } of this.members.values()) {
            yield state;
        }
    }

    private upsertWorker(record: WorkerRecord): void {
        const member = this.members.get(record.workerId);
        if (member !== undefined) {
            if (member.state.record.isDraining !== record.isDraining) {
                this.context.log.info("workerDraining", { workerId: record.workerId });
            }
            member.state.updateRecord(record);
            return;
        }
        this.addWorker(record);
    }

    private addWorker(record: WorkerRecord): void {
        const { context } = this;
        const fencingEpoch = this.successions.addIncarnation(record.workerId);
        if (fencingEpoch === undefined) {
            return;
        }
        const state = new WorkerState(record);
        state.avoidedUntil = context.clock.now() + this.successions.computePause(record.workerId);
        const session = new WorkerSession({
            worker: record,
            port: context.workerPort,
            clock: context.clock,
            log: context.log,
            metrics: context.metrics,
            epoch: context.epoch,
            fencingEpoch,
            leaseMs: context.leaseMs,
            inheritedLeaseEnd: this.inherited.computeLeaseEnd(record.workerId),
            listener: {
                handleReport: (report, ended, isFirst) => this.handleReport(member, report, ended, isFirst),
                handleReachabilityChange: isReachable => this.handleReachable(member, isReachable),
                handleConnectionFailure: () =>
                    this.ends.crashes.observeWorkerEnd(state, session.getLastContactAt()),
                handleReplaced: successorId => this.handleReplaced(member, successorId),
                handleFenced: () => this.handleFenced(member),
                handleSuspended: gap => this.handleSuspended(gap),
                mayExtendLeases: () => context.authority.mayOrder(),
                computeReportGap: () => REPORT_GAP_MS + computeExtraReportGap(context.lateness),
                ...this.repeats.buildListener(record.workerId),
            },
        });
        const member: FleetMember = { state, session, unlistedSince: undefined };
        const inherited = this.inherited.take(record.workerId);
        inherited.forEach(run => state.addRun(run));
        this.members.set(record.workerId, member);
        inherited.filter(run => this.inherited.hasPendingStop(run)).forEach(run => this.stopRun(state, run));
        context.log.info("workerAdded", {
            workerId: record.workerId,
            address: record.address,
            pool: record.pool,
            inherited: state.runs.size,
        });
        context.requestPass();
        void session.run();
    }

    private handleReachable({ state, session }: FleetMember, isReachable: boolean): void {
        state.isReachable = isReachable;
        this.leases.observeReachability(state, isReachable);
        if (!isReachable) {
            this.ends.crashes.observeSilence(state, session.getLastContactAt());
            return;
        }
        this.ends.crashes.handleContact(state.id, state.record.address);
        this.context.requestPass();
    }

    /**
     * Handles the answer of another incarnation. One under the same name may hold runs that were ordered here,
     * so these are settled by its first report.
     */
    private handleReplaced(member: FleetMember, successorId: string | undefined): void {
        const { state } = member;
        state.isReachable = false;
        if (successorId === undefined || state.runs.size === 0) {
            this.removeMember(member, RemovalReason.replaced);
        }
        if (successorId === undefined || this.members.has(successorId)) {
            return;
        }
        this.context.log.info("workerStartedAgain", {
            workerId: state.id,
            successorId,
            runs: state.runs.size,
        });
        this.endedIncarnations.delete(successorId);
        this.addWorker({ ...state.record, workerId: successorId });
        const successor = this.members.get(successorId);
        if (successor !== undefined) {
            // It may have another capacity, so it gets work once it is listed.
            successor.state.isListed = false;
            successor.unlistedSince = this.context.clock.now();
        }
    }

    private handleFenced({ state }: FleetMember): void {
        if (this.successions.hasSuccessor(state.id)) {
            state.isReachable = false;
            return;
        }
        this.context.handleDeposed("a worker follows a later leader");
    }

    private expirePredecessors({ state }: FleetMember): void {
        this.inherited.expirePredecessors(state.id, ({ name, run }) => state.getRun(name, run) !== undefined);
        for (const predecessor of this.successions.listPredecessors(state.id)) {
            for (const { task, run } of [...predecessor.state.runs.values()]) {
                if (state.getRun(task, run) !== undefined) {
                    predecessor.state.removeRun(task, run);
                }
            }
            this.removeMember(predecessor, RemovalReason.replaced);
        }
    }

    private handleSuspended(gap: Millis): void {
        this.context.log.warn("CR1612", "processWasSuspended", { gapMs: Math.round(gap) });
        this.context.authority.observeSuspension();
    }

    private handleReport(
        member: FleetMember,
        report: WorkerReport,
        ended: readonly EndedRun[],
        isFirst: boolean,
    ): void {
        this.reports.accept(member, report, ended);
        if (isFirst) {
            this.inherited.observeReport(member.state.id);
            this.expirePredecessors(member);
        }
        this.leases.adopt(member);
        if (ended.length > 0) {
            this.context.requestPass();
        }
    }

    private sweepMember(member: FleetMember, now: Millis): void {
        const { state, session } = member;
        this.losses.endExclusiveness(member);
        this.leases.releaseIfSilent(member, now);
        const lossAt = session.getLeaseEnd() + computeLossGrace(this.context.lateness);
        if (!state.isReachable && now > lossAt && state.runs.size > 0) {
            this.losses.expireAll(member, RunLoss.leaseOver);
        }
        const { unlistedSince } = member;
        const isExpired = unlistedSince !== undefined && now - unlistedSince > UNLISTED_GRACE_MS;
        if (isExpired && state.runs.size === 0) {
            this.removeMember(member, RemovalReason.unlisted);
        }
    }

    private removeMember(member: FleetMember, reason: RemovalReason): void {
        const { state, session } = member;
        const { workerId, address } = state.record;
        this.context.log.info("workerRemoved", { workerId, address, reason });
        if (reason === RemovalReason.replaced) {
            this.ends.crashes.observeWorkerEnd(state, session.getLastContactAt());
        }
        if (state.runs.size > 0) {
            this.losses.expireAll(member, RunLoss.replaced);
        }
        if (reason === RemovalReason.replaced) {
            this.endedIncarnations.add(workerId);
            this.ends.crashes.handleReplaced(workerId);
        }
        session.close();
        this.members.delete(state.id);
        this.context.requestPass();
    }
}
