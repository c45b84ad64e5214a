/** Opens the due occurrences of jobs that run repeatedly, so that few of them wait at once. */
import { Heap } from "heap-js";
import { computeMin } from "../../common/lists.js";
import type { JobRegistry } from "../jobs/job-registry.js";
import { isStepRunnable, listSteps } from "../jobs/job.js";
import type { Job } from "../jobs/job.js";
import type { Log, Metrics } from "../telemetry.js";

/**
 * A job has further occurrences opened while fewer tasks than this wait of some step that depends on no other. Enough
 * for all that start until the next turn.
 */
const MAX_WAITING_TASKS = 1_000;
/** Most steps that wait in the open occurrences of one job. */
const MAX_WAITING_STEPS = 1_000;
/** The same over all jobs, of which each has an equal share. */
const MAX_WAITING_STEPS_OF_ALL = 20_000;
/** Most steps opened in one turn, which keeps the event loop responsive. */
const MAX_OPENED_STEPS = 2_000;

/** A job with a due occurrence that is not open yet. */
interface DueJob {
    readonly job: Job;
    /** Number of its steps in each occurrence. */
    readonly stepCount: number;
    /** Number of tasks that wait for a worker, for each step that depends on no other. */
    readonly waitingTasks: Map<number, number>;
    waitingSteps: number;
    dueAt: number;
}

/**
 * Opens occurrences within limits on what waits.
 *
 * @remarks A short request may ask for any number of occurrences, all of which may be due. Those that run are bounded by
 * the workers; those that wait are opened as the earlier ones start.
 */
export class OccurrenceOpener {
    /** Jobs with due occurrences that were held back in the last turn. */
    private heldBack: ReadonlySet<Job> = new Set();

    constructor(
        private readonly jobs: JobRegistry,
        private readonly log: Log,
        private readonly metrics: Metrics,
    ) {}

    /**
     * Opens the next due occurrences, those of jobs without open ones first, then in the order of their due times.
     * Must be called several times a second.
     * @param wallNow - Wall-clock time in milliseconds since 1970.
     */
    openDue(wallNow: number): void {
        const due = this.listDue(wallNow);
        const stepLimit = Math.min(MAX_WAITING_STEPS, Math.ceil(MAX_WAITING_STEPS_OF_ALL / due.length));
        const heldBack = new Set<Job>();
        const queue = new Heap<DueJob>(compareDue);
        queue.init(due);
        let opened = 0;
        for (let next = queue.pop(); next !== undefined; next = queue.pop()) {
            if (opened >= MAX_OPENED_STEPS || !mayOpen(next, stepLimit)) {
                heldBack.add(next.job);
                continue;
            }
            this.openNext(next);
            opened += next.stepCount;
            const dueAt = findNextDueTime(next.job);
            if (dueAt !== undefined && dueAt <= wallNow) {
                next.dueAt = dueAt;
                queue.push(next);
            }
        }
        this.report(heldBack);
    }

    private listDue(wallNow: number): DueJob[] {
        const due: DueJob[] = [];
        for (const job of this.jobs.listOpen()) {
            const dueAt = findNextDueTime(job);
            if (dueAt !== undefined && dueAt <= wallNow) {
                due.push(describeDue(job, dueAt));
            }
        }
        return due;
    }

    private openNext(due: DueJob): void {
        this.jobs.openNextOccurrence(due.job);
        for (const [number, waiting] of due.waitingTasks) {
            due.waitingSteps += 1;
            due.waitingTasks.set(number, waiting + (due.job.spec?.steps[number]?.taskCount ?? 0));
        }
    }

    private report(heldBack: ReadonlySet<Job>): void {
        this.metrics.gauge("occurrences.heldBackJobs", heldBack.size);
        for (const job of heldBack) {
            if (!this.heldBack.has(job)) {
                const { id: jobId, queue, nextOccurrence, occurrences: { size: open } } = job;
                this.log.info("occurrencesHeldBack", { jobId, queue, nextOccurrence, open });
            }
        }
        this.heldBack = heldBack;
    }
}

/** Returns when the next occurrence of a job is due, in milliseconds since 1970; undefined if all are open. */
function findNextDueTime({ spec, nextOccurrence }: Job): number | undefined {
    const repeat = spec?.repeat;
    return repeat === undefined || nextOccurrence >= repeat.count ?
        undefined :
        repeat.firstRunAt + nextOccurrence * repeat.intervalMs;
}

function describeDue(job: Job, dueAt: number): DueJob {
    const steps = job.spec?.steps ?? [];
    const waitingTasks = new Map<number, number>();
    for (const [number, { after }] of steps.entries()) {
        if (after.length === 0) {
            waitingTasks.set(number, 0);
        }
    }
    let waitingSteps = 0;
    for (const step of listSteps(job)) {
        if (isStepRunnable(step)) {
            waitingSteps += 1;
            const waiting = waitingTasks.get(step.number);
            if (waiting !== undefined) {
                waitingTasks.set(step.number, waiting + step.waiting);
            }
        }
    }
    return { job, stepCount: steps.length, waitingTasks, waitingSteps, dueAt };
}

function compareDue(left: DueJob, right: DueJob): number {
    return Number(left.job.occurrences.size > 0) - Number(right.job.occurrences.size > 0) ||
        left.dueAt - right.dueAt;
}

/** Whether a job may have another occurrence opened; it may always have one. */
function mayOpen({ job, waitingTasks, waitingSteps }: DueJob, stepLimit: number): boolean {
    return job.occurrences.size === 0 ||
        waitingSteps < stepLimit && computeMin(waitingTasks.values()) < MAX_WAITING_TASKS;
}
