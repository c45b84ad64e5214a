/** Logs changes of what is believed about queues and workers after losses of workers. */
import type { QueueRisk } from "../dispatch/crash-risk.js";
import type { CommonLoss } from "../dispatch/loss-causes.js";
import type { RiskyBacklog } from "../dispatch/probation.js";
import type { Log, LogValue, Metrics } from "../telemetry.js";

type Fields = Readonly<Record<string, LogValue>>;
type RiskyQueues = ReadonlyMap<string, QueueRisk>;

/** Bounds the lines that are logged at a time. */
const MAX_REPORTED_QUEUES = 5;
const MAX_REPORTED_LOSSES = 1_000;

/** Log lines and gauges of a leader's crash tracker. */
export class CrashReport {
    /** Workers that were reported as lost together, the latest last. */
    private reportedLosses: ReadonlySet<string> = new Set();

    constructor(private readonly log: Log, private readonly metrics: Metrics) {}

    /**
     * Logs each queue that goes on or off probation.
     * @param evidence - Where the evidence comes from.
     */
    reportChanges(before: RiskyQueues, now: RiskyQueues, evidence: Fields): void {
        for (const [queue, risk] of now) {
            if (!before.has(queue)) {
                this.log.warn("CR1622", "queueOnProbation", { queue, ...describeRisk(risk), ...evidence });
            }
        }
        for (const queue of before.keys()) {
            if (!now.has(queue)) {
                this.log.info("queueOffProbation", { queue });
            }
        }
        this.metrics.gauge("queues.onProbation", now.size);
    }

    /** Logs the state of some queues on probation. */
    reportQueues(queues: RiskyQueues, backlogs: ReadonlyMap<string, RiskyBacklog>): void {
        for (const [queue, risk] of [...queues].slice(0, MAX_REPORTED_QUEUES)) {
            this.log.info("probationState", {
                queue,
                ...describeRisk(risk),
                startsPerS: risk.startsPerS,
                ...backlogs.get(queue),
            });
        }
    }

    /**
     * Logs that workers were lost for a common reason, once for each worker.
     * @param common - Undefined if tasks may have caused the worker's loss.
     */
    reportCommonLoss(workerId: string, common: CommonLoss | undefined): void {
        if (common === undefined || this.reportedLosses.has(workerId)) {
            return;
        }
        const { workerIds, withoutSuspect } = common;
        this.reportedLosses = new Set([...this.reportedLosses, ...workerIds].slice(-MAX_REPORTED_LOSSES));
        this.log.info("workersLostTogether", { workerId, workers: workerIds.length, withoutSuspect });
    }
}

function describeRisk({ starts, crashes, rate, sinceCrashMs }: QueueRisk): Fields {
    return {
        starts,
        crashes: formatShare(crashes, 10),
        rate: formatShare(rate, 1_000),
        sinceCrashMs: Number.isFinite(sinceCrashMs) ? Math.round(sinceCrashMs) : undefined,
    };
}

function formatShare(value: number, parts: number): number {
    return Math.round(value * parts) / parts;
}
