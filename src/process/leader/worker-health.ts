/** Which workers get no new work for a while because they fail what they are given. */
import type { Millis } from "../../common/clock.js";
import type { WorkerState } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import type { Job } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/** Jobs that failed on a worker, without a success of a later run between, after which it is avoided. */
const MAX_FAILED_JOBS = 2;
/** First time for which it is avoided; doubles up to the longest while it goes on failing. */
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
    /** When it was ordered, on our clock; undefined where an earlier leader did that. */
    readonly orderedAt: Millis | undefined;
}

/**
 * Scores of workers.
 *
 * @remarks Failure guarded against: a worker that fails everything ends its runs sooner than the others, so it has
 * room most often and draws in all work, and each task's attempts are used up there. Runs that it began while it was
 * well still end well on it and say nothing. Jobs that can never be done fail everywhere: one that has failed on another
 * worker says nothing about this one, and each job counts once, however many tasks it has.
 */
export class WorkerHealth {
    private readonly scores = new WeakMap<WorkerState, Score>();
    private readonly failedOn = new WeakMap<Job, Set<WorkerState>>();

    /** @param context - Shared parts. */
    constructor(private readonly context: LeaderContext) {}

    /** Takes in an end. */
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
