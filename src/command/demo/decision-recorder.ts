/** Records the entries' placement decisions, so that the demo can explain them. */
import type { DecisionRecord, Log } from "../../process/telemetry.js";

/** Maximum number of recorded decisions; the oldest are dropped first. */
const MAX_DECISIONS = 10_000;

/** A log that records decisions and counts warnings and errors. */
export interface DecisionRecorder extends Log {
    /** Finds the latest decision that chose a worker and whose subject begins with `id`. */
    findDecision(id: string): DecisionRecord | undefined;
    /** Returns the number of warnings and errors by code and event. */
    getWarnings(): ReadonlyMap<string, number>;
}

/** Creates a {@link DecisionRecorder}. */
export function createDecisionRecorder(): DecisionRecorder {
    const decisions: DecisionRecord[] = [];
    const warningCounts = new Map<string, number>();
    function countWarning(code: string, event: string): void {
        const name = `${code} ${event}`;
        warningCounts.set(name, (warningCounts.get(name) ?? 0) + 1);
    }
    return {
        decide(record) {
            decisions.push(record);
            if (decisions.length > MAX_DECISIONS) {
                decisions.shift();
            }
        },
        debug: () => undefined,
        info: () => undefined,
        warn: countWarning,
        error: countWarning,
        findDecision: id =>
            decisions.findLast(({ subject, chosen }) => chosen !== undefined && subject.startsWith(id)),
        getWarnings: () => warningCounts,
    };
}
