/** Ejection of workers that fail their runs: they get no new work for a while. */
import type { Millis } from "../../common/clock.js";
import type { WorkerState } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import type { Job } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/** Failed jobs, without a success of a later run in between, at which a worker is ejected. */
const MAX_FAILED_JOBS = 2;
/** First ejection time; it doubles up to the longest one while the worker continues to fail. */
const FIRST_PAUSE_MS: Millis = 2_000;
const LONGEST_PAUSE_MS: Millis = 8_000;

interface Score {
    readonly failedJobs: Set<Job>;
    lastFailureAt: Millis;
    pauseMs: Millis;
}

/** A run that ended on a worker. */
export interface EndOnWorker {
    readonly job: Job;
    readonly end: RunEnd;
    /** When it was ordered, on this node's clock; undefined if an earlier leader ordered it. */
    readonly orderedAt: Millis | undefined;
}

/**
 * Counts failures by worker, and ejects workers that fail several jobs.
 *
 * @remarks A worker that fails everything ends its runs sooner than the others, so it has free capacity most
 * often, attracts most of the work, and uses up each task's attempts. Successes of runs ordered before its
 * last failure don't prove it healthy. A job that can never succeed fails everywhere, so only the first
 * worker on which a job fails is charged, and each job counts once, however many tasks it has.
 */
export class WorkerHealth {
    private readonly scores = new WeakMap<WorkerState, Score>();
    private readonly failedOn = new WeakMap<Job, Set<WorkerState>>();

    constructor(private readonly context: LeaderContext) {}

    /** Records the end of a run on a worker. */
    observeEnd(state: WorkerState, { job, end, orderedAt }: EndOnWorker): void {
        const score = this.scores.get(state);
        if (end === RunEnd.done) {
            const isLater = orderedAt !== undefined && orderedAt > (score?.lastFailureAt ?? -Infinity);
            if (isLater) {
                this.scores.delete(state);
            }
            return;
        }
        if (end === RunEnd.failed && this.isFirstFailure(job, state)) {
            this.countFailure(state, job, score);
        }
    }

    private isFirstFailure(job: Job, state: WorkerState): boolean {
        const workers = this.failedOn.get(job) ?? new Set();
        this.failedOn.set(job, workers.add(state));
        return workers.size === 1;
    }

    private countFailure(state: WorkerState, job: Job, known: Score | undefined): void {
        const score = known ?? { failedJobs: new Set(), lastFailureAt: 0, pauseMs: FIRST_PAUSE_MS };
        score.failedJobs.add(job);
        score.lastFailureAt = this.context.clock.now();
        this.scores.set(state, score);
        if (score.failedJobs.size >= MAX_FAILED_JOBS) {
            this.ejectWorker(state, score);
        }
    }

    private ejectWorker(state: WorkerState, score: Score): void {
        const { clock, log, metrics } = this.context;
        state.avoidedUntil = clock.now() + score.pauseMs;
        log.warn("CR1615", "workerAvoided", {
            workerId: state.id,
            failedJobs: score.failedJobs.size,
            forMs: score.pauseMs,
        });
        metrics.count("workers.avoided");
        score.pauseMs = Math.min(LONGEST_PAUSE_MS, score.pauseMs * 2);
    }
}
