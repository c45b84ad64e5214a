/** Logs each step that has been waiting for long, with the reason. */
import type { Millis } from "../../common/clock.js";
import { computeMax } from "../../common/lists.js";
import { QuotaLedger } from "../accounts/quota-ledger.js";
import { PoolView } from "../dispatch/pool-view.js";
import { compareUrgency } from "../dispatch/urgency.js";
import type { Urgency } from "../dispatch/urgency.js";
import type { Step } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";
import type { CrashTracker } from "./crash-tracker.js";
import type { Fleet } from "./fleet.js";
import type { PermitCoordinator } from "./permit-coordinator.js";
import { computeStepCapacity } from "./step-capacity.js";
import { UnheldRuns } from "./unheld-runs.js";
import { findWaitCause } from "./wait-cause.js";
import type { WaitCause } from "./wait-cause.js";
import { WaitingSteps } from "./waiting-steps.js";
import type { Wait, WaitingScan } from "./waiting-steps.js";
import type { Withholding } from "./withheld-steps.js";
import type { WorkersByPool } from "./workers-by-pool.js";

/** The state that the report reads. */
export interface WaitingReportOptions {
    readonly context: LeaderContext;
    readonly fleet: Fleet;
    readonly permits: PermitCoordinator;
    readonly crashes: CrashTracker;
    /** Whether the store is unavailable. */
    readonly isStalled: () => boolean;
    /** Ranks all steps with tasks to start. */
    readonly rankWaiting: () => readonly Urgency[];
    /** Returns the gangs that reserved capacity in the last pass. */
    readonly getReservingGangs: () => readonly Step[];
    /** Finds the safeguard that kept free capacity from a step in the last pass. */
    readonly findWithholding: (step: Step) => Withholding | undefined;
}

/** State that the log lines of one report share. */
interface ReportView {
    readonly now: Millis;
    readonly ranked: readonly Urgency[];
    readonly quotas: QuotaLedger;
    readonly workersByPool: WorkersByPool;
}

/** Finds long waits, and logs why their steps wait. */
export class WaitingReport {
    private readonly waiting: WaitingSteps;
    private readonly unheld: UnheldRuns;

    constructor(private readonly options: WaitingReportOptions) {
        const { context, fleet } = options;
        this.waiting = new WaitingSteps(context.jobs, context.history);
        this.unheld = new UnheldRuns(context, fleet.runs);
    }

    /** Scans all open steps and writes the log lines that are due. Must be called once a second. */
    report(): WaitingScan {
        const { context, fleet, rankWaiting } = this.options;
        const now = context.clock.now();
        this.unheld.check();
        const uncertain = new Set([...fleet.runs.listUncertainSteps(), ...this.unheld.listSteps()]);
        const scan = this.waiting.observe(now, uncertain);
        if (scan.due.length > 0) {
            const view = {
                now,
                ranked: rankWaiting(),
                quotas: new QuotaLedger(context.getConfig().accounts, fleet.collectAccountUse()),
                workersByPool: fleet.collectUsable(now),
            };
            scan.due.forEach(wait => this.logWait(wait, view));
        }
        return scan;
    }

    private logWait({ step, since }: Wait, view: ReportView): void {
        const { clock, log } = this.options.context;
        const { job, waiting, assigned, done } = step;
        const { reason, fields } = this.findCause(step, view);
        log.info("stepWaiting", {
            step: step.name,
            queue: job.queue,
            phase: job.phase,
            reason,
            waitedMs: Math.round(view.now - since),
            jobAgeMs: Math.round(clock.wallNow() - job.acceptedAt),
            waiting,
            assigned,
            done,
            run: computeMax(Array.from(step.tasks.listTouched(), task => task.run), 0),
            ...describeRank(step, view.ranked),
            ...fields,
        });
    }

    private findCause(step: Step, { now, quotas, workersByPool }: ReportView): WaitCause {
        const { context, fleet, permits: coordinator, crashes } = this.options;
        const queue = context.findQueueByName(step.job.queue);
        const permits = queue?.advice === undefined ? undefined : coordinator.getPermits(step);
        const pool = queue && new PoolView(queue.pool, workersByPool.get(queue.pool) ?? [], [], now);
        return findWaitCause({
            step,
            hasQueue: queue !== undefined,
            quotaPlaces: quotas.countPlaces(step.job.account, step.spec.demand),
            storeAway: this.options.isStalled(),
            mayOrder: context.authority.mayOrder(),
            permits,
            capacity: pool && computeStepCapacity(step, pool, permits, now),
            record: context.history.find(step),
            backlog: crashes.findBacklog(step.job.queue),
            reservingGang: this.options.getReservingGangs()[0],
            withholding: this.options.findWithholding(step),
            showRun: task => fleet.runs.showRun(task),
            isPaused: task => crashes.isPaused(task),
            now,
        });
    }
}

/** Describes a step's rank among the waiting steps; empty if it has nothing to start. */
function describeRank(step: Step, ranked: readonly Urgency[]): { lateness?: number; ahead?: number; } {
    const own = ranked.find(urgency => urgency.step === step);
    if (own === undefined) {
        return {};
    }
    const ahead = ranked.filter(other => compareUrgency(other, own) < 0).length;
    return { lateness: own.lateness, ahead };
}
