/**
 * What was seen of run times and sizes, by branch and team.
 *
 * @remarks Used for ordering and prediction only: capacity is handed out by declaration alone. The correction
 * is bounded, so declarations or reports that are off by more change nothing further.
 */
import type { Millis } from "../../common/clock.js";
import type { RunSample, WorkItem } from "./placement-core.js";

/** Bound of the correction, in both directions. */
const MAX_CORRECTION = 10;
/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.1;
/** Samples before a team's own record counts. */
const MIN_SAMPLES = 5;
/** Records kept; beyond it the branch's record serves. */
const MAX_RECORDS = 20_000;

interface RunRecord {
    samples: number;
    /** Mean and mean square deviation of the logarithm of actual over declared run time. */
    logMean: number;
    logVariance: number;
    meanMs: Millis;
    /** Mean share of the declared processors that was used. */
    usedShare: number;
}

/** Learns from ended items. */
export class Learning {
    private readonly records = new Map<string, RunRecord>();

    /** Takes in how an item ended. Failed runs are left out: they end early and would teach short times. */
    observe(item: WorkItem, sample: RunSample): void {
        if (sample.failed || sample.ranMs < 0) {
            return;
        }
        this.update(item.branch, item, sample);
        if (item.kind !== "service") {
            this.update(`${item.branch}|${item.team}`, item, sample);
        }
    }

    /** @returns The expected run time, the declared one corrected by what was seen. */
    estimateRun(item: WorkItem): Millis {
        const record = this.find(item);
        return record === undefined ? item.estimateMs : item.estimateMs * computeFactor(record.logMean);
    }

    /** @returns A run time that few runs exceed, for backfill in front of a reserved start. */
    estimateLongRun(item: WorkItem): Millis {
        const record = this.find(item);
        if (record === undefined) {
            return item.estimateMs * UNSEEN_SAFETY;
        }
        return item.estimateMs * computeFactor(record.logMean + 2 * Math.sqrt(record.logVariance));
    }

    /** @returns The mean run time of a branch, or undefined before the first sample. */
    getMeanRun(branch: string): Millis | undefined {
        return this.records.get(branch)?.meanMs;
    }

    /** @returns What was learned of a branch, in words; empty before the first sample. */
    describe(branch: string): readonly string[] {
        const record = this.records.get(branch);
        if (record === undefined) {
            return [];
        }
        const factor = computeFactor(record.logMean).toFixed(2);
        return [
            `run times of ${branch} are ${factor} times the declared ones over ${record.samples} runs`,
            `it uses ${(100 * record.usedShare).toFixed(0)}% of the processors it declares`,
        ];
    }

    private find(item: WorkItem): RunRecord | undefined {
        const own = this.records.get(`${item.branch}|${item.team}`);
        return own !== undefined && own.samples >= MIN_SAMPLES ? own : this.records.get(item.branch);
    }

    private update(key: string, item: WorkItem, sample: RunSample): void {
        const declared = Math.max(1, item.estimateMs);
        const log = Math.log(computeBounded(Math.max(1, sample.ranMs) / declared));
        const usedShare = sample.usage === undefined || item.resources.cpuMillis === 0 ?
            1 :
            sample.usage.cpuMillis / item.resources.cpuMillis;
        const record = this.records.get(key);
        if (record === undefined) {
            if (this.records.size < MAX_RECORDS) {
                const first = { samples: 1, logMean: log, logVariance: 0, meanMs: sample.ranMs, usedShare };
                this.records.set(key, first);
            }
            return;
        }
        record.samples += 1;
        const weight = Math.max(SAMPLE_WEIGHT, 1 / record.samples);
        const step = log - record.logMean;
        record.logMean += weight * step;
        record.logVariance += weight * (step * step - record.logVariance);
        record.meanMs += weight * (sample.ranMs - record.meanMs);
        record.usedShare += weight * (usedShare - record.usedShare);
    }
}

/** Factor on a declared run time before anything was seen. */
const UNSEEN_SAFETY = 2;

function computeBounded(ratio: number): number {
    return Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, ratio));
}

function computeFactor(log: number): number {
    return computeBounded(Math.exp(log));
}
