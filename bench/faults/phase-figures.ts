/** Figures of the phases of a run. */
import { computePercentile, formatFigure } from "../lib/figures.js";
import type { Told } from "./callers.js";

/** What was measured in one phase. */
export interface PhaseFigures {
    readonly name: string;
    /** Begin and end, on the bench's monotonic clock, in milliseconds. */
    readonly from: number;
    readonly to: number;
    /** Calls of the store a second: writes with leases, and reads with waiting watches. */
    readonly storeWrites: number;
    readonly storeReads: number;
    /** Time until every worker of a lost entry began something under another owner. */
    readonly resumedMs: number | undefined;
}

/** Longest time in a phase without any answer to a caller. */
export function measureGap(answeredAt: readonly number[], phase: PhaseFigures): number {
    const instants = answeredAt.filter(at => at >= phase.from && at <= phase.to).sort((left, right) =>
        left - right
    );
    let gap = 0;
    let last = phase.from;
    for (const at of [...instants, phase.to]) {
        gap = Math.max(gap, at - last);
        last = at;
    }
    return gap;
}

/** A row of figures for a phase. */
export function describePhase(
    phase: PhaseFigures,
    told: readonly Told[],
    gap: number,
): readonly (string | number)[] {
    const answers = told.filter(({ end, at }) => end === "done" && at >= phase.from && at <= phase.to);
    const waits = answers.filter(({ kind }) => kind === "visit").map(({ tookMs }) => tookMs);
    return [
        phase.name,
        formatFigure((phase.to - phase.from) / 1_000),
        answers.length,
        formatFigure(computePercentile(waits, 0.5)),
        formatFigure(computePercentile(waits, 0.99)),
        formatFigure(gap),
        phase.resumedMs === undefined ? "" : formatFigure(phase.resumedMs),
        formatFigure(phase.storeWrites),
        formatFigure(phase.storeReads),
    ];
}

/** Rows that count what callers were told. */
export function countEnds(told: readonly Told[]): readonly (readonly [string, string, number])[] {
    const counts = new Map<string, number>();
    for (const { kind, end } of told) {
        counts.set(`${kind} ${end}`, (counts.get(`${kind} ${end}`) ?? 0) + 1);
    }
    return [...counts].sort().map(([name, count]) => {
        const [kind = "", end = ""] = name.split(" ");
        return [kind, end, count];
    });
}
