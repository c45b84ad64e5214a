/**
 * Run-time statistics by branch and team, used to correct declared run times.
 *
 * @remarks Estimates serve only for ordering and prediction; capacity is allocated by declaration alone. The
 * correction factor is bounded, so declarations or reports that are off by more have no further effect.
 */
import type { Millis } from "../../common/clock.js";
import type { RunSample, WorkItem } from "./placement-core.js";

/** Bound of the correction factor, in both directions. */
const MAX_CORRECTION = 10;
/** Minimum weight of a new sample in the moving means. */
const SAMPLE_WEIGHT = 0.1;
/** Number of samples from which a team's own statistics are used. */
const MIN_TEAM_SAMPLES = 5;
/** Maximum number of statistics kept; teams beyond it use those of their branch. */
const MAX_STATS = 20_000;

interface RunStats {
    samples: number;
    /** Moving mean and variance of the logarithm of actual over declared run time. */
    logMean: number;
    logVariance: number;
    meanMs: Millis;
    /** Moving mean of the used share of the declared processors. */
    usedShare: number;
}

/** Estimates run times from the runs observed at this placer. */
export class RunTimeEstimator {
    private readonly records = new Map<string, RunStats>();

    /** Adds a finished run. Failed runs end early and would lower the estimates, so they are ignored. */
    observe(item: WorkItem, sample: RunSample): void {
        if (sample.failed || sample.ranMs < 0) {
            return;
        }
        this.update(item.branch, item, sample);
        if (item.kind !== "service") {
            this.update(`${item.branch}|${item.team}`, item, sample);
        }
    }

    /** @returns The expected run time: the declared one, corrected by observed runs. */
    estimateRun(item: WorkItem): Millis {
        const record = this.find(item);
        return record === undefined ? item.estimateMs : item.estimateMs * computeFactor(record.logMean);
    }

    /** @returns A run time that few runs exceed (two standard deviations), for backfill decisions. */
    estimateLongRun(item: WorkItem): Millis {
        const record = this.find(item);
        if (record === undefined) {
            return item.estimateMs * UNSAMPLED_SAFETY_FACTOR;
        }
        return item.estimateMs * computeFactor(record.logMean + 2 * Math.sqrt(record.logVariance));
    }

    /** @returns The mean run time of a branch in milliseconds, or undefined before the first sample. */
    getMeanRun(branch: string): Millis | undefined {
        return this.records.get(branch)?.meanMs;
    }

    /** @returns The statistics of a branch as text; empty before the first sample. */
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

    private find(item: WorkItem): RunStats | undefined {
        const own = this.records.get(`${item.branch}|${item.team}`);
        return own !== undefined && own.samples >= MIN_TEAM_SAMPLES ? own : this.records.get(item.branch);
    }

    private update(key: string, item: WorkItem, sample: RunSample): void {
        const declared = Math.max(1, item.estimateMs);
        const log = Math.log(computeBounded(Math.max(1, sample.ranMs) / declared));
        const usedShare = sample.usage === undefined || item.resources.cpuMillis === 0 ?
            1 :
            sample.usage.cpuMillis / item.resources.cpuMillis;
        const record = this.records.get(key);
        if (record === undefined) {
            if (this.records.size < MAX_STATS) {
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

/** Factor on a declared run time before any run was observed. */
const UNSAMPLED_SAFETY_FACTOR = 2;

function computeBounded(ratio: number): number {
    return Math.min(MAX_CORRECTION, Math.max(1 / MAX_CORRECTION, ratio));
}

function computeFactor(log: number): number {
    return computeBounded(Math.exp(log));
}
