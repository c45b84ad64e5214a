/**
 * The leader of the cluster: creates and connects the components that decide, from takeover until another
 * node leads.
 */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { Lateness } from "../../common/lateness.js";
import type { Random } from "../../common/random.js";
import { NO_RESOURCES } from "../../common/resources.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import { AccountUse } from "../accounts/account-use.js";
import { FairShares } from "../accounts/fair-shares.js";
import { QuotaLedger } from "../accounts/quota-ledger.js";
import { AdviceDispatcher } from "../dispatch/advice-dispatcher.js";
import type { AdviceCaller } from "../dispatch/advice-dispatcher.js";
import { GangAssemblies } from "../dispatch/gang-assemblies.js";
import type { FreedCapacity } from "../dispatch/gang-assemblies.js";
import { Headroom } from "../dispatch/headroom.js";
import type { PlannedStart } from "../dispatch/plan.js";
import { planStarts } from "../dispatch/planner.js";
import { PREEMPTION_TIME_MS, PreemptionAttempts } from "../dispatch/preemption-attempts.js";
import type { Preemption } from "../dispatch/preemption.js";
import { RunTimeModel } from "../dispatch/run-time-model.js";
import type { Step } from "../jobs/job.js";
import { encodeJobs } from "../jobs/snapshot.js";
import type { GuardedStore } from "../journal/guarded-store.js";
import { Journal } from "../journal/journal.js";
import type { LoadedJournal } from "../journal/load-journal.js";
import type { InheritedLeases } from "../leadership/inherited-leases.js";
import type { TaskWorkerPort, WorkerRecord } from "../ports/task-worker-port.js";
import type { Log, Metrics } from "../telemetry.js";
import type { Contention } from "./admission.js";
import { AdviceBacklog } from "./advice-backlog.js";
import { Authority } from "./authority.js";
import type { LeaderContext } from "./context.js";
import { Fleet } from "./fleet.js";
import { JobRequestHandler } from "./job-request-handler.js";
import { computeExtraRecordInterval } from "./late-leader.js";
import { OccurrenceOpener } from "./occurrence-opener.js";
import { PermitCoordinator } from "./permit-coordinator.js";
import { QueueSettings } from "./queue-settings.js";
import type { CallerReply, CallerRequest } from "./requests.js";
import { RunEndHandler } from "./run-end-handler.js";
import { Starter } from "./starter.js";
import { StateReport } from "./state-report.js";
import { StepHistory } from "./step-history.js";
import { StepRanker } from "./step-ranker.js";
import { WithheldSteps } from "./withheld-steps.js";
import { computeUsedCpuShare, countWorkers, sumCapacity } from "./workers-by-pool.js";

/** Dependencies of a leader. */
export interface LeaderOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly epoch: number;
    readonly store: GuardedStore;
    readonly loaded: LoadedJournal;
    readonly workerPort: TaskWorkerPort;
    readonly leaseMs: Millis;
    /** Time that a worker may take to stop a run. */
    readonly stopMs: Millis;
    /** What a run that saves its progress loses when it is stopped and resumed; undefined if unknown. */
    readonly resumeCostMs?: Millis | undefined;
    readonly inheritedLeases: InheritedLeases;
    readonly getConfig: () => ClusterConfig;
    /** Whether the configuration in force is recent enough to grant requests access by it. */
    readonly isConfigConfirmed: () => boolean;
    /** Asks the store whether this leader still leads. */
    readonly confirmLeading: () => Promise<boolean>;
    readonly handleDeposed: (reason: string) => void;
    /** How late the timers of this process fire. */
    readonly lateness: Lateness;
    /** Spreads the retry times of refused callers. */
    readonly random: Random;
}

/** Delay of a requested pass, so that events that arrive together lead to one pass. */
const PASS_DELAY_MS: Millis = 3;
/**
 * Pause after a pass relative to its duration: passes take at most a third of the time, the rest is for
 * replies and reports.
 */
const PASS_PAUSE_FACTOR = 2;
/** Places are gathered for gangs where the runs that yield lose no more than this. */
const MAX_RESUME_COST_MS: Millis = 1_400;
/** How often leases, schedules and the availability of the store are checked. */
const SWEEP_MS: Millis = 100;
const FORGET_EVERY_SWEEPS = 50;
/** How often the state of the cluster is logged. */
const REPORT_EVERY_SWEEPS = 10;

/** Plans and starts work while this node leads. */
export class Leader {
    readonly advice: AdviceDispatcher;
    private readonly context: LeaderContext;
    private readonly journal: Journal;
    private readonly queues: QueueSettings;
    private readonly ends: RunEndHandler;
    private readonly fleet: Fleet;
    private readonly jobRequests: JobRequestHandler;
    private readonly starter: Starter;
    private readonly ranker: StepRanker;
    private readonly withheld: WithheldSteps;
    private readonly opener: OccurrenceOpener;
    private readonly runTimes = new RunTimeModel();
    private readonly freedCapacity: FreedCapacity;
    private readonly headroom: Headroom | undefined;
    /** Duration of the last pass. */
    private passTookMs: Millis = 0;
    private readonly permits: PermitCoordinator;
    private readonly report: StateReport;
    private lastPassAt: Millis | undefined;
    private fairShares = new FairShares(undefined, new AccountUse(), NO_RESOURCES);
    /** Share of the usable workers' processors that runs took in the last pass. */
    private usedCpuShare = 0;
    /** Gangs that reserved capacity in the last pass. */
    private reservingGangs: readonly Step[] = [];
    private passTimer: Timer | undefined;
    private sweepTimer: Timer | undefined;
    private sweeps = 0;
    private closed = false;

    constructor(private readonly options: LeaderOptions) {
        this.context = this.buildContext();
        const gathersRoom = options.stopMs > PREEMPTION_TIME_MS &&
            (options.resumeCostMs ?? Infinity) <= MAX_RESUME_COST_MS;
        this.freedCapacity = gathersRoom ? new GangAssemblies(options.stopMs) : new PreemptionAttempts();
        this.headroom = gathersRoom ? new Headroom() : undefined;
        this.journal = this.buildJournal();
        this.queues = new QueueSettings(this.context);
        this.advice = new AdviceDispatcher(options.clock, options.log);
        this.permits = new PermitCoordinator(this.context, this.advice);
        this.ends = new RunEndHandler(this.context, this.runTimes);
        this.fleet = new Fleet(this.context, this.ends);
        this.ends.install(this.fleet);
        this.jobRequests = new JobRequestHandler(
            this.context,
            this.journal,
            this.ends,
            this.queues,
            options.random,
            new AdviceBacklog(this.context, this.advice, this.permits),
            () => this.measureContention(),
        );
        this.starter = new Starter(
            this.context,
            this.fleet,
            this.ends,
            step => this.permits.getPermits(step),
        );
        this.ranker = new StepRanker(this.context, this.runTimes);
        this.withheld = new WithheldSteps(options.log, options.metrics);
        this.opener = new OccurrenceOpener(options.loaded.jobs, options.log, options.metrics);
        this.report = this.buildReport();
        for (const job of options.loaded.jobs.listAll()) {
            job.isEndDurable = job.endedAt !== 0;
        }
        this.queues.storeAll();
        this.ends.closeFinishedJobs();
        this.sweep();
    }

    /** Answers a caller's request. */
    serve(request: CallerRequest): Promise<CallerReply> {
        return this.jobRequests.serve(request);
    }

    /** Applies a new list of registered workers. */
    setWorkers(records: ReadonlyMap<string, WorkerRecord>): void {
        this.fleet.setWorkers(records);
    }

    /** Handles a newer configuration that has come into force. */
    handleConfig(): void {
        this.queues.storeAll();
        this.report.handleConfig();
        this.requestPass();
    }

    /** Adds a node that can ask the advice service. */
    addCaller(caller: AdviceCaller): void {
        this.advice.addCaller(caller);
    }

    /** Resolves once everything decided so far is durable. */
    flush(): Promise<void> {
        return new Promise(resolve => this.journal.runWhenAllCommitted(resolve));
    }

    /** Ends the leadership: nothing more is decided, ordered or written. */
    close(): void {
        this.closed = true;
        this.passTimer?.cancel();
        this.sweepTimer?.cancel();
        this.journal.close();
        this.fleet.close();
        this.jobRequests.close();
        this.permits.close();
    }

    private buildContext(): LeaderContext {
        const { options } = this;
        return {
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
            epoch: options.epoch,
            jobs: options.loaded.jobs,
            workerPort: options.workerPort,
            authority: new Authority(options.clock, options.store),
            history: new StepHistory(),
            leaseMs: options.leaseMs,
            stopMs: options.stopMs,
            lateness: options.lateness,
            inheritedLeases: options.inheritedLeases,
            getConfig: options.getConfig,
            isConfigConfirmed: options.isConfigConfirmed,
            predictRunMs: ({ spec, job }) =>
                spec.isLongRunning ? Infinity : this.runTimes.estimate(job.queue, spec.estimateMs),
            findPreemptibleBelow: step => this.findPreemptibleBelow(step),
            confirmLeading: options.confirmLeading,
            findQueueByName: name => this.queues.find(name),
            record: (event, handleCommitted) => {
                if (!this.closed) {
                    options.loaded.jobs.apply(event);
                    this.journal.append(event, handleCommitted);
                }
            },
            recordDeferred: event => {
                if (!this.closed) {
                    options.loaded.jobs.apply(event);
                    this.journal.appendDeferred(event);
                }
            },
            runWhenCommitted: notify => this.journal.runWhenCommitted(notify),
            requestPass: () => this.requestPass(),
            handleDeposed: options.handleDeposed,
        };
    }

    /** Excludes gangs: their members lose their work when one of them is stopped. */
    private findPreemptibleBelow({ spec, job }: Step): number | undefined {
        const keepsWork = spec.savesCheckpoints && !spec.isGang && !spec.isLongRunning;
        return keepsWork ? this.queues.find(job.queue)?.priority : undefined;
    }

    private buildJournal(): Journal {
        const { options } = this;
        return new Journal({
            store: options.store,
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
            epoch: options.epoch,
            loaded: options.loaded,
            encodeState: () => {
                const { jobs } = options.loaded;
                // Adoptions that a snapshot leaves out are repeated by the records after it.
                jobs.adoptions.dropOthers(jobs.listConcernedWorkers());
                return encodeJobs(jobs);
            },
            computeExtraInterval: () => computeExtraRecordInterval(options.lateness),
            handleDeposed: () => options.handleDeposed("the store refused a write under this leader's guard"),
        });
    }

    private buildReport(): StateReport {
        return new StateReport({
            context: this.context,
            fleet: this.fleet,
            permits: this.permits,
            crashes: this.ends.crashes,
            advice: this.advice,
            isStalled: () => this.journal.isStalled(),
            rankWaiting: () => this.ranker.rankAll(this.fairShares),
            getReservingGangs: () => this.reservingGangs,
            findWithholding: step => this.withheld.find(step),
            getLastPassAt: () => this.lastPassAt,
        });
    }

    private requestPass(): void {
        if (this.passTimer !== undefined || this.closed) {
            return;
        }
        const delay = Math.max(PASS_DELAY_MS, this.passTookMs * PASS_PAUSE_FACTOR);
        this.passTimer = this.options.clock.schedule(delay, () => {
            this.passTimer = undefined;
            this.runPass();
        });
    }

    private runPass(): void {
        const { clock, metrics } = this.options;
        const begin = clock.now();
        // An assignment has to be durable before it is ordered, so nothing can be started while the store
        // does not answer.
        if (this.journal.isStalled() || !this.context.authority.mayOrder()) {
            return;
        }
        const workersByPool = this.fleet.collectUsable(begin);
        const { accounts } = this.context.getConfig();
        const use = this.fleet.collectAccountUse();
        this.fairShares = new FairShares(accounts, use, sumCapacity(workersByPool));
        const plan = planStarts({
            waiting: this.ranker.rankAll(this.fairShares),
            workersByPool,
            unreportedByPool: this.fleet.collectUnreported(),
            getPermits: step => this.permits.getPermits(step),
            freedCapacity: this.freedCapacity,
            headroom: this.headroom,
            getClaimedCpu: workerId => this.permits.claims.getCpu(workerId),
            getAllowedShare: queue => this.permits.allowedShares.getShare(queue),
            isAdviceOverloaded: this.advice.isOverloaded(),
            listRefusing: step => this.starter.refusals.listPaused(step, begin),
            quotas: new QuotaLedger(accounts, use),
            probation: this.ends.crashes.getProbation(),
            isPaused: task => this.ends.crashes.isPaused(task),
            sinceSubmitMs: begin - this.jobRequests.getLastSubmittedAt(),
            now: begin,
        });
        this.ends.crashes.setBacklogs(plan.backlogs);
        this.starter.startAll(plan.starts);
        this.observeStarts(plan.starts, begin);
        this.reportAssemblies();
        this.permits.requestPermits(plan.permitRequests, begin, countWorkers(workersByPool));
        plan.preemptions.forEach(preemption => this.preemptRun(preemption));
        this.lastPassAt = begin;
        this.usedCpuShare = computeUsedCpuShare(workersByPool);
        this.reservingGangs = plan.reservingGangs;
        this.withheld.observe(plan.withheld, begin);
        this.passTookMs = clock.now() - begin;
        metrics.time("plan.took", this.passTookMs);
    }

    private observeStarts(starts: readonly PlannedStart[], now: Millis): void {
        for (const { step } of starts) {
            const queue = this.queues.find(step.job.queue);
            if (queue !== undefined) {
                this.headroom?.observeStart(step, queue, now);
            }
        }
    }

    private reportAssemblies(): void {
        const { log, metrics } = this.options;
        for (const change of this.freedCapacity.takeChanges()) {
            log.info("gangAssembly", { ...change, ageMs: Math.round(change.ageMs) });
            metrics.count("gangs.assemblies", 1, { outcome: change.outcome });
        }
        metrics.gauge("gangs.assembling", this.freedCapacity.count());
    }

    private measureContention(): Contention {
        return {
            latenessMs: Math.round(this.options.lateness.getMeanLatenessMs()),
            usedCpuShare: this.usedCpuShare,
            isAdviceOverloaded: this.advice.isOverloaded(),
        };
    }

    private preemptRun({ worker, run, forStep }: Preemption): void {
        const { log, metrics } = this.options;
        log.info("runPreempted", { task: run.task, run: run.run, workerId: worker.id, forStep });
        metrics.count("runs.preempted");
        this.fleet.stopRun(worker, run);
    }

    private sweep(): void {
        const { clock } = this.options;
        this.sweeps += 1;
        this.fleet.sweep();
        this.ends.sweep();
        this.jobRequests.refuseWhileStalled();
        this.opener.openDue(clock.wallNow());
        if (this.sweeps % FORGET_EVERY_SWEEPS === 0) {
            this.jobRequests.forgetOld();
        }
        if (this.sweeps % REPORT_EVERY_SWEEPS === 0) {
            this.report.report();
        }
        this.requestPass();
        this.sweepTimer = clock.schedule(SWEEP_MS, () => this.sweep());
    }
}
