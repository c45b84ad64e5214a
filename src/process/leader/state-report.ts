/** Logs the state of a leader and its cluster once a second. */
import type { Millis } from "../../common/clock.js";
import type { AdviceDispatcher } from "../dispatch/advice-dispatcher.js";
import { MissingQueues } from "./missing-queues.js";
import { WaitingReport } from "./waiting-report.js";
import type { WaitingReportOptions } from "./waiting-report.js";
import { computeUsedCpuShare } from "./workers-by-pool.js";

/** Each account has gauges of its own, and a scrape must stay small. */
const MAX_ACCOUNT_GAUGES = 50;

/** The state that the report reads. */
export interface StateReportOptions extends WaitingReportOptions {
    readonly advice: AdviceDispatcher;
    /** Returns when the last pass was made; undefined before the first. */
    readonly getLastPassAt: () => Millis | undefined;
}

/** Logs the leader's state, missing queues and long waits, and sets the gauges. */
export class StateReport {
    private readonly missingQueues: MissingQueues;
    private readonly waiting: WaitingReport;

    constructor(private readonly options: StateReportOptions) {
        this.missingQueues = new MissingQueues(options.context);
        this.waiting = new WaitingReport(options);
    }

    /** Handles a newer configuration that has come into force. */
    handleConfig(): void {
        this.missingQueues.check();
    }

    /** Writes the log lines and sets the gauges. Must be called once a second. */
    report(): void {
        const { context, advice, crashes, fleet, isStalled, getLastPassAt } = this.options;
        const { clock, log, metrics, epoch, jobs, authority } = context;
        const now = clock.now();
        const lastPassAt = getLastPassAt();
        this.missingQueues.check();
        const waiting = this.waiting.report();
        const callers = advice.countCallers();
        const fields = {
            epoch,
            openJobs: jobs.countOpen(),
            usableWorkers: fleet.countUsable(now),
            usedCpuShare: Number(computeUsedCpuShare(fleet.collectUsable(now)).toFixed(3)),
            questions: advice.countWaiting(),
            callers: callers.all,
            idleCallers: callers.idle,
            reservedCallers: callers.reserved,
            storeAway: isStalled(),
            mayOrder: authority.mayOrder(),
            sincePassMs: lastPassAt === undefined ? undefined : Math.round(now - lastPassAt),
            waitingSteps: waiting.count,
            longestWaitMs: Math.round(waiting.longestMs),
        };
        log.info("leaderState", fields);
        crashes.reportProbation();
        metrics.gauge("jobs.open", fields.openJobs);
        metrics.gauge("workers.usable", fields.usableWorkers);
        metrics.gauge("advice.waiting", fields.questions);
        metrics.gauge("steps.waiting", fields.waitingSteps);
        metrics.gauge("steps.longestWaitMs", fields.longestWaitMs);
        this.reportAccounts();
    }

    /** Sets the gauges of client accounts. With many accounts only the first ones get gauges. */
    private reportAccounts(): void {
        const { context: { metrics, getConfig }, fleet } = this.options;
        const accounts = getConfig().accounts ?? [];
        if (accounts.length === 0) {
            return;
        }
        const use = fleet.collectAccountUse();
        for (const { name, weight, quota } of accounts.slice(0, MAX_ACCOUNT_GAUGES)) {
            const tags = { account: name };
            metrics.gauge("account.cpuMillis", use.get(name).cpuMillis, tags);
            metrics.gauge("account.quotaCpuMillis", quota.cpuMillis, tags);
            metrics.gauge("account.weight", weight, tags);
        }
    }
}
