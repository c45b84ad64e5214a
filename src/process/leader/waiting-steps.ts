/** Tracks which steps wait for long, and when a log line about each is due. */
import type { Millis } from "../../common/clock.js";
import type { JobRegistry } from "../jobs/job-registry.js";
import { isStepReady, listSteps } from "../jobs/job.js";
import type { Job, Step } from "../jobs/job.js";
import type { StepHistory } from "./step-history.js";

/** A step that has waited this long is logged, then again after twice that time, and so on. */
export const FIRST_LINE_MS: Millis = 3_000;
const LINE_FACTOR = 2;
/** Most log lines of one scan; the remaining ones stay due. */
export const MAX_LINES = 5;

/** A step that waits. */
export interface Wait {
    readonly step: Step;
    /** When the wait began, on this node's clock. */
    readonly since: Millis;
}

interface TrackedWait extends Wait {
    since: Millis;
    /** Duration of the wait at which its next log line is due. */
    nextLineMs: Millis;
    /** Number of the last scan that found it. */
    scan: number;
}

/** Result of a scan. */
export interface WaitingScan {
    /** Number of steps that have waited long enough for a log line. */
    readonly count: number;
    /** Longest wait of all steps. */
    readonly longestMs: Millis;
    /**
     * Steps to be logged now: those that do not depend on another step first, then by how long the line is
     * overdue.
     */
    readonly due: readonly Wait[];
}

/**
 * Tracks the waits of steps.
 *
 * @remarks A wait begins with the first scan in which the step has a task to start or a run that is not known
 * to be executing, or with the last begin or end of one of its runs if that is later. Refused orders do not
 * end a wait.
 */
export class WaitingSteps {
    private readonly waits = new WeakMap<Step, TrackedWait>();
    private scans = 0;
    private scannedAt: Millis = -Infinity;

    constructor(private readonly jobs: JobRegistry, private readonly history: StepHistory) {}

    /**
     * Scans all open steps. Must be called once a second.
     * @param now - On this node's clock.
     * @param uncertain - Steps with a run that is not known to be executing.
     */
    observe(now: Millis, uncertain: ReadonlySet<Step>): WaitingScan {
        const long: TrackedWait[] = [];
        let longestMs: Millis = 0;
        this.scans += 1;
        for (const job of this.jobs.listOpen()) {
            const hasRuns = hasAssignedTasks(job);
            for (const step of listSteps(job)) {
                if (!uncertain.has(step) && !isWaiting(step, hasRuns)) {
                    continue;
                }
                const wait = this.track(step, now);
                longestMs = Math.max(longestMs, now - wait.since);
                if (now - wait.since >= FIRST_LINE_MS) {
                    long.push(wait);
                }
            }
        }
        this.scannedAt = now;
        return { count: long.length, longestMs, due: takeDue(long, now) };
    }

    private track(step: Step, now: Millis): Wait & TrackedWait {
        const known = this.waits.get(step);
        const lastChangeAt = this.history.findLastChange(step) ?? -Infinity;
        const isContinued = known?.scan === this.scans - 1 && lastChangeAt <= known.since;
        const wait = isContinued ? known : this.startWait(step, now, lastChangeAt);
        wait.scan = this.scans;
        return wait;
    }

    private startWait(step: Step, now: Millis, lastChangeAt: Millis): TrackedWait {
        const since = lastChangeAt > this.scannedAt ? lastChangeAt : now;
        const wait = { step, since, nextLineMs: FIRST_LINE_MS, scan: this.scans };
        this.waits.set(step, wait);
        return wait;
    }
}

/** Excludes later steps of a job that has runs: they wait for earlier steps, not for capacity. */
function isWaiting(step: Step, hasRuns: boolean): boolean {
    return step.waiting > 0 && (!hasRuns || isStepReady(step));
}

function hasAssignedTasks(job: Job): boolean {
    for (const step of listSteps(job)) {
        if (step.assigned > 0) {
            return true;
        }
    }
    return false;
}

/** Returns the waits whose log line is due, and sets when their next one is. */
function takeDue(waits: readonly TrackedWait[], now: Millis): readonly Wait[] {
    const due = waits
        .filter(wait => now - wait.since >= wait.nextLineMs)
        .sort(compareDue)
        .slice(0, MAX_LINES);
    for (const wait of due) {
        while (wait.nextLineMs <= now - wait.since) {
            wait.nextLineMs *= LINE_FACTOR;
        }
    }
    return due;
}

/**
 * Orders by how long a line is overdue. Ordered by the wait alone, repeated lines would displace other steps'
 * first ones.
 */
function compareDue(left: TrackedWait, right: TrackedWait): number {
    return Number(isStepReady(right.step)) - Number(isStepReady(left.step)) ||
        left.since + left.nextLineMs - right.since - right.nextLineMs;
}
