/** Which workers get no new work for a while because they fail what they are given. */
import type { Millis } from "../../common/clock.js";
import type { WorkerState } from "../dispatch/worker-state.js";
import { RunEnd } from "../jobs/job-events.js";
import type { Task } from "../jobs/job.js";
import type { LeaderContext } from "./context.js";

/** Failures, without a success between them, after which a worker is avoided. */
const MAX_FAILURES_IN_A_ROW = 2;
/** First time for which it is avoided; doubles up to the longest while it goes on failing. */
const FIRST_PAUSE_MS: Millis = 2_000;
const LONGEST_PAUSE_MS: Millis = 8_000;

interface Score {
    failuresInARow: number;
    pauseMs: Millis;
}

/**
 * Scores of workers.
 *
 * @remarks Failure guarded against: a worker that fails everything ends its runs sooner than the others, so it has
 * room most often and draws in all work, and each task's attempts are used up there. Jobs that can never be done
 * fail everywhere: a task that has failed on another worker before says nothing about this one.
 */
export class WorkerHealth {
    private readonly scores = new WeakMap<WorkerState, Score>();

    /** @param context - Shared parts. */
    constructor(private readonly context: LeaderContext) {}

    /**
     * Takes in an end.
     * @param state - The worker.
     * @param task - The task, before the end is applied to it.
     * @param end - How its run ended.
     */
    observeEnd(state: WorkerState, task: Task, end: RunEnd): void {
        if (end === RunEnd.done) {
            this.scores.delete(state);
            return;
        }
        const failedElsewhere = [...task.failedOn].some(workerId => workerId !== state.id);
        if (end !== RunEnd.failed || failedElsewhere) {
            return;
        }
        const score = this.scores.get(state) ?? { failuresInARow: 0, pauseMs: FIRST_PAUSE_MS };
        score.failuresInARow += 1;
        this.scores.set(state, score);
        if (score.failuresInARow >= MAX_FAILURES_IN_A_ROW) {
            this.ejectWorker(state, score);
        }
    }

    private ejectWorker(state: WorkerState, score: Score): void {
        const { clock, log, metrics } = this.context;
        state.avoidedUntil = clock.now() + score.pauseMs;
        log.warn("CR1615", "workerAvoided", {
            workerId: state.id,
            failures: score.failuresInARow,
            forMs: score.pauseMs,
        });
        metrics.count("workers.avoided");
        score.pauseMs = Math.min(LONGEST_PAUSE_MS, score.pauseMs * 2);
    }
}
