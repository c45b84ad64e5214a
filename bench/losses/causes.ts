/** Attributes the delay of late jobs to causes. */
import type { Millis } from "../../src/common/clock.js";
import type { JobTimeline, RunTimeline, StepTimeline } from "./job-timeline.js";
import type { LogLine } from "./log-lines.js";

/** Causes of time without work, in the order of the printed columns. */
export const LossCause = {
    /** There was no leader. */
    noLeader: "no leader",
    /** A new leader was loading the journal. */
    journalLoading: "journal",
    /** The leader was short of CPU time: its periodic log lines came late. */
    leaderLate: "leader late",
    /** The leader could not reach the store. */
    storeUnavailable: "store away",
    /** A step waited for the advice service. */
    permits: "permits",
    /** A task waited for free capacity, or for the leader to get to it. */
    capacity: "room",
    /** Runs failed and were retried. */
    failedRuns: "failed runs",
    /** Runs were lost with their worker or its lease, or never started. */
    lostRuns: "lost runs",
    /** None of the above: the runs themselves took longer than expected. */
    longRuns: "long runs",
} as const;
export type LossCause = (typeof LossCause)[keyof typeof LossCause];

/** Periods in which the scheduler could not make decisions, by cause. */
export type Disruptions = Readonly<Record<DisruptionCause, readonly TimeRange[]>>;

type DisruptionCause = (typeof DISRUPTION_CAUSES)[number];

const DISRUPTION_CAUSES = [
    LossCause.noLeader,
    LossCause.journalLoading,
    LossCause.leaderLate,
    LossCause.storeUnavailable,
] as const;

/** Time range in wall-clock milliseconds. */
export interface TimeRange {
    readonly from: number;
    readonly to: number;
}

/** Interval at which a leader logs `leaderState`. */
const STATE_INTERVAL_MS: Millis = 1_000;
/** A leader whose `leaderState` lines are further apart than this was short of CPU time. */
const LATE_STATE_MS: Millis = 1_600;

/** Finds the periods without a leader, with a leader that loads the journal or is late, and without the store. */
export function findDisruptions(lines: readonly LogLine[]): Disruptions {
    const disruptions: Record<DisruptionCause, TimeRange[]> = {
        [LossCause.noLeader]: [],
        [LossCause.journalLoading]: [],
        [LossCause.leaderLate]: [],
        [LossCause.storeUnavailable]: [],
    };
    let lastActivityAt: number | undefined;
    let wonAt: number | undefined;
    let unavailableSince: number | undefined;
    let lastState: LogLine | undefined;
    for (const line of lines) {
        const { event, time, fields, member } = line;
        if (event === "leadershipWon") {
            wonAt = time;
        }
        if (event === "leadershipReady") {
            const loadedFrom = wonAt ?? time;
            if (lastActivityAt !== undefined) {
                disruptions[LossCause.noLeader].push({
                    from: lastActivityAt,
                    to: Math.max(lastActivityAt, loadedFrom),
                });
            }
            disruptions[LossCause.journalLoading].push({
                from: Math.max(lastActivityAt ?? loadedFrom, loadedFrom),
                to: time,
            });
            lastState = undefined;
        }
        if (event === "leadershipReady" || event === "leaderState" || event === "runOrdered") {
            lastActivityAt = time;
        }
        if (event === "leaderState") {
            const isUnavailable = fields.storeAway === true;
            if (!isUnavailable && unavailableSince !== undefined) {
                disruptions[LossCause.storeUnavailable].push({ from: unavailableSince, to: time });
            }
            unavailableSince = isUnavailable ? unavailableSince ?? time - STATE_INTERVAL_MS : undefined;
            if (lastState?.member === member && !isUnavailable && time - lastState.time > LATE_STATE_MS) {
                disruptions[LossCause.leaderLate].push({ from: lastState.time, to: time });
            }
            lastState = line;
        }
    }
    return disruptions;
}

/**
 * Attributes a job's time to causes. Successful runs are work and count towards no cause.
 * @param job - A job that has closed.
 * @param disruptions - Disruptions found in the same log lines.
 * @returns Milliseconds by cause.
 */
export function measureCauses(job: JobTimeline, disruptions: Disruptions): ReadonlyMap<LossCause, Millis> {
    const causes = new Map<LossCause, Millis>();
    const add = (cause: LossCause, ms: Millis): void => {
        if (ms > 0) {
            causes.set(cause, (causes.get(cause) ?? 0) + ms);
        }
    };
    const span = { from: job.acceptedAt, to: job.closedAt ?? job.acceptedAt };
    DISRUPTION_CAUSES.forEach(cause => add(cause, measureOverlap(disruptions[cause], span)));
    let readyAt = job.acceptedAt;
    for (const step of listStepsInOrder(job)) {
        const orderedAt = Math.min(...step.runs.map(run => run.orderedAt));
        const permittedAt = Math.min(orderedAt, Math.max(readyAt, step.permittedAt ?? readyAt));
        add(LossCause.permits, measureUndisrupted(disruptions, { from: readyAt, to: permittedAt }));
        add(LossCause.capacity, measureUndisrupted(disruptions, { from: permittedAt, to: orderedAt }));
        step.runs.forEach(run => add(chooseRepeatCause(run), measureRepeat(run, step)));
        readyAt = Math.max(readyAt, ...step.runs.map(run => run.endedAt ?? run.orderedAt));
    }
    return causes;
}

/**
 * Chooses the cause that took most of a late job's time.
 * @returns Undefined if the job is not closed, was on time, or its objective is unknown.
 */
export function chooseMainCause(job: JobTimeline, disruptions: Disruptions): LossCause | undefined {
    if (job.closedAt === undefined || job.objectiveMs === undefined) {
        return undefined;
    }
    const excess = job.closedAt - job.acceptedAt - job.objectiveMs;
    if (excess <= 0) {
        return undefined;
    }
    const [cause, ms] = [...measureCauses(job, disruptions)]
        .reduce(
            (best, entry) => entry[1] > best[1] ? entry : best,
            [LossCause.longRuns, 0] as [LossCause, Millis],
        );
    // A cause that accounts for less than half of the excess does not explain it.
    return ms >= excess / 2 ? cause : LossCause.longRuns;
}

function listStepsInOrder(job: JobTimeline): readonly StepTimeline[] {
    const started = [...job.steps.values()].filter(step => step.runs.length > 0);
    const begin = (step: StepTimeline): number => Math.min(...step.runs.map(run => run.orderedAt));
    return started.sort((left, right) => begin(left) - begin(right));
}

function chooseRepeatCause(run: RunTimeline): LossCause {
    return run.end === "failed" ? LossCause.failedRuns : LossCause.lostRuns;
}

/** Returns the duration of a retried run if it delayed its step, i.e. its task has the step's last successful run. */
function measureRepeat(run: RunTimeline, step: StepTimeline): Millis {
    const isRepeated = run.endedAt !== undefined && run.end !== "done" && run.end !== "stopped";
    const wasLast = step.runs.findLast(other => other.end === "done")?.task === run.task;
    return isRepeated && wasLast ? (run.endedAt ?? 0) - run.orderedAt : 0;
}

function measureOverlap(disruptions: readonly TimeRange[], { from, to }: TimeRange): Millis {
    return disruptions.reduce(
        (sum, disruption) => sum + Math.max(0, Math.min(to, disruption.to) - Math.max(from, disruption.from)),
        0,
    );
}

/** Measures the part of a time range that is outside all disruptions. */
function measureUndisrupted(disruptions: Disruptions, span: TimeRange): Millis {
    const taken = DISRUPTION_CAUSES.reduce((sum, cause) => sum + measureOverlap(disruptions[cause], span), 0);
    return Math.max(0, span.to - span.from - taken);
}
