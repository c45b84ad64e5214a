/** Where the time of a late job went. Pure. */
import type { Millis } from "../../src/common/clock.js";
import type { JobTimeline, RunTimeline, StepTimeline } from "./job-timeline.js";
import type { LogLine } from "./log-lines.js";

/** Why time passed without work, in the order in which they are told apart. */
export const LossCause = {
    /** No node led. */
    noLeader: "no leader",
    /** A new leader read the journal. */
    journalLoading: "journal",
    /** The leader's processor was full: its regular lines came late. */
    leaderLate: "leader late",
    /** The store did not answer the leader. */
    storeAway: "store away",
    /** An answer of the advice service was waited for. */
    permits: "permits",
    /** Room was waited for, or the leader's own pace. */
    room: "room",
    /** Runs failed and were repeated. */
    failedRuns: "failed runs",
    /** Runs were lost with their worker or its lease, or never began. */
    lostRuns: "lost runs",
    /** Nothing of these: the runs themselves took longer than expected. */
    longRuns: "long runs",
} as const;
export type LossCause = (typeof LossCause)[keyof typeof LossCause];

/** Times in which nothing could be decided, by cause. */
export type Spells = Readonly<Record<SpellCause, readonly Spell[]>>;

type SpellCause = (typeof SPELL_CAUSES)[number];

const SPELL_CAUSES = [
    LossCause.noLeader,
    LossCause.journalLoading,
    LossCause.leaderLate,
    LossCause.storeAway,
] as const;

/** From an instant to another, wall-clock. */
export interface Spell {
    readonly from: number;
    readonly to: number;
}

/** How often a leader says how it is; a silence of twice that is one. */
const STATE_EVERY_MS: Millis = 1_000;
/** A leader whose regular lines are this far apart had no processor time for them. */
const LATE_STATE_MS: Millis = 1_600;

/** Finds the spells in which nobody led, a leader loaded the journal or was late, or the store did not answer it. */
export function findSpells(lines: readonly LogLine[]): Spells {
    const spells: Record<SpellCause, Spell[]> = {
        [LossCause.noLeader]: [],
        [LossCause.journalLoading]: [],
        [LossCause.leaderLate]: [],
        [LossCause.storeAway]: [],
    };
    let lastSign: number | undefined;
    let wonAt: number | undefined;
    let awaySince: number | undefined;
    let lastState: LogLine | undefined;
    for (const line of lines) {
        const { event, time, fields, member } = line;
        if (event === "leadershipWon") {
            wonAt = time;
        }
        if (event === "leadershipReady") {
            const loadedFrom = wonAt ?? time;
            if (lastSign !== undefined) {
                spells[LossCause.noLeader].push({ from: lastSign, to: Math.max(lastSign, loadedFrom) });
            }
            spells[LossCause.journalLoading].push({
                from: Math.max(lastSign ?? loadedFrom, loadedFrom),
                to: time,
            });
            lastState = undefined;
        }
        if (event === "leadershipReady" || event === "leaderState" || event === "runOrdered") {
            lastSign = time;
        }
        if (event === "leaderState") {
            const isAway = fields.storeAway === true;
            if (!isAway && awaySince !== undefined) {
                spells[LossCause.storeAway].push({ from: awaySince, to: time });
            }
            awaySince = isAway ? awaySince ?? time - STATE_EVERY_MS : undefined;
            if (lastState?.member === member && !isAway && time - lastState.time > LATE_STATE_MS) {
                spells[LossCause.leaderLate].push({ from: lastState.time, to: time });
            }
            lastState = line;
        }
    }
    return spells;
}

/**
 * Attributes a job's time to causes. Runs that ended well are work and count for nothing here.
 * @param job - A job that has closed.
 * @param spells - Of the same lines.
 * @returns Milliseconds by cause.
 */
export function measureCauses(job: JobTimeline, spells: Spells): ReadonlyMap<LossCause, Millis> {
    const causes = new Map<LossCause, Millis>();
    const add = (cause: LossCause, ms: Millis): void => {
        if (ms > 0) {
            causes.set(cause, (causes.get(cause) ?? 0) + ms);
        }
    };
    const span = { from: job.acceptedAt, to: job.closedAt ?? job.acceptedAt };
    SPELL_CAUSES.forEach(cause => add(cause, measureOverlap(spells[cause], span)));
    let readyAt = job.acceptedAt;
    for (const step of listStepsInOrder(job)) {
        const orderedAt = Math.min(...step.runs.map(run => run.orderedAt));
        const permittedAt = Math.min(orderedAt, Math.max(readyAt, step.permittedAt ?? readyAt));
        add(LossCause.permits, measureFree(spells, { from: readyAt, to: permittedAt }));
        add(LossCause.room, measureFree(spells, { from: permittedAt, to: orderedAt }));
        step.runs.forEach(run => add(chooseRepeatCause(run), measureRepeat(run, step)));
        readyAt = Math.max(readyAt, ...step.runs.map(run => run.endedAt ?? run.orderedAt));
    }
    return causes;
}

/**
 * Names the cause that took most of a late job's time.
 * @returns Undefined where the job was in time, or where nothing is known of its objective.
 */
export function chooseMainCause(job: JobTimeline, spells: Spells): LossCause | undefined {
    if (job.closedAt === undefined || job.objectiveMs === undefined) {
        return undefined;
    }
    const excess = job.closedAt - job.acceptedAt - job.objectiveMs;
    if (excess <= 0) {
        return undefined;
    }
    const [cause, ms] = [...measureCauses(job, spells)]
        .reduce(
            (best, entry) => entry[1] > best[1] ? entry : best,
            [LossCause.longRuns, 0] as [LossCause, Millis],
        );
    // What explains less than half of the excess does not explain it.
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

/** Time of a run that had to be repeated, as far as it delayed its step: the longest of them counts for the step. */
function measureRepeat(run: RunTimeline, step: StepTimeline): Millis {
    const isRepeated = run.endedAt !== undefined && run.end !== "done" && run.end !== "stopped";
    const wasLast = step.runs.findLast(other => other.end === "done")?.task === run.task;
    return isRepeated && wasLast ? (run.endedAt ?? 0) - run.orderedAt : 0;
}

function measureOverlap(spells: readonly Spell[], { from, to }: Spell): Millis {
    return spells.reduce(
        (sum, spell) => sum + Math.max(0, Math.min(to, spell.to) - Math.max(from, spell.from)),
        0,
    );
}

/** Time outside all spells. */
function measureFree(spells: Spells, span: Spell): Millis {
    const taken = SPELL_CAUSES.reduce((sum, cause) => sum + measureOverlap(spells[cause], span), 0);
    return Math.max(0, span.to - span.from - taken);
}
