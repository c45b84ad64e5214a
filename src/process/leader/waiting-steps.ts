/** Follows which steps wait for long, and when a line about each is due. */
import type { Millis } from "../../common/clock.js";
import type { JobRegistry } from "../jobs/job-registry.js";
import { isStepReady, listSteps } from "../jobs/job.js";
import type { Job, Step } from "../jobs/job.js";
import type { StepHistory } from "./step-history.js";

/** A step that has waited this long gets a line; the next one after twice the time, and so on. */
export const FIRST_LINE_MS: Millis = 3_000;
const LINE_FACTOR = 2;
/** Lines of one look; what is left over stays due. */
export const MAX_LINES = 5;

/** A step that waits. */
export interface Wait {
    readonly step: Step;
    /** Since when, on our clock. */
    readonly since: Millis;
}

interface FollowedWait extends Wait {
    since: Millis;
    /** Length of the wait at which its next line is due. */
    nextLineMs: Millis;
    /** Number of the look that found it last. */
    look: number;
}

/** What a look found. */
export interface WaitingLook {
    /** Steps that have waited long enough for a line. */
    readonly count: number;
    /** Longest wait of any step. */
    readonly longestMs: Millis;
    /** Steps whose line is to be written now: those that are not held up by another step first, then the most overdue. */
    readonly due: readonly Wait[];
}

/**
 * The steps; see the module comment.
 *
 * @remarks A step waits from the first look at which it could start something, or at which a run of it is not surely at
 * work, or from the last begin or end of one of its runs if that is later. Orders that are refused do not end a wait.
 */
export class WaitingSteps {
    private readonly waits = new WeakMap<Step, FollowedWait>();
    private looks = 0;
    private lookedAt: Millis = -Infinity;

    /**
     * @param book - All jobs.
     * @param history - When runs began and ended.
     */
    constructor(private readonly book: JobRegistry, private readonly history: StepHistory) {}

    /**
     * Looks at all open steps. Call it once a second.
     * @param now - On our clock.
     * @param unsure - Steps with a run that is not surely at work.
     */
    observe(now: Millis, unsure: ReadonlySet<Step>): WaitingLook {
        const long: FollowedWait[] = [];
        let longestMs: Millis = 0;
        this.looks += 1;
        for (const job of this.book.listOpen()) {
            const hasRuns = hasAssigned(job);
            for (const step of listSteps(job)) {
                if (!unsure.has(step) && !isWaiting(step, hasRuns)) {
                    continue;
                }
                const wait = this.follow(step, now);
                longestMs = Math.max(longestMs, now - wait.since);
                if (now - wait.since >= FIRST_LINE_MS) {
                    long.push(wait);
                }
            }
        }
        this.lookedAt = now;
        return { count: long.length, longestMs, due: takeDue(long, now) };
    }

    private follow(step: Step, now: Millis): Wait & FollowedWait {
        const known = this.waits.get(step);
        const movedAt = this.history.findLastMove(step) ?? -Infinity;
        const goesOn = known?.look === this.looks - 1 && movedAt <= known.since;
        const wait = goesOn ? known : this.startWait(step, now, movedAt);
        wait.look = this.looks;
        return wait;
    }

    private startWait(step: Step, now: Millis, movedAt: Millis): FollowedWait {
        const since = movedAt > this.lookedAt ? movedAt : now;
        const wait = { step, since, nextLineMs: FIRST_LINE_MS, look: this.looks };
        this.waits.set(step, wait);
        return wait;
    }
}

/** Later steps of a job of which anything runs do not wait for room. */
function isWaiting(step: Step, hasRuns: boolean): boolean {
    return step.waiting > 0 && (!hasRuns || isStepReady(step));
}

function hasAssigned(job: Job): boolean {
    for (const step of listSteps(job)) {
        if (step.assigned > 0) {
            return true;
        }
    }
    return false;
}

/** Takes the waits whose line is due, and sets when the next one is. */
function takeDue(waits: readonly FollowedWait[], now: Millis): readonly Wait[] {
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

/** By how long a line has been due: by the wait alone, second lines would keep other steps from their first. */
function compareDue(left: FollowedWait, right: FollowedWait): number {
    return Number(isStepReady(right.step)) - Number(isStepReady(left.step)) ||
        left.since + left.nextLineMs - right.since - right.nextLineMs;
}
