/** Keeps the entries' decisions, so that the demo can say why a request went where it went. */
import type { DecisionRecord, Log } from "../../process/telemetry.js";

/** Decisions kept; the oldest are dropped first. */
const MAX_KEPT = 10_000;

/** A log that keeps decisions and counts warnings. */
export interface DecisionKeeper extends Log {
    /** The last decision whose subject begins with an id, and that chose a worker. */
    findDecision(id: string): DecisionRecord | undefined;
    /** Events of warnings and errors, with how often each came. */
    getWarnings(): ReadonlyMap<string, number>;
}

/** Creates a {@link DecisionKeeper}. */
export function createDecisionKeeper(): DecisionKeeper {
    const kept: DecisionRecord[] = [];
    const warnings = new Map<string, number>();
    function countWarning(code: string, event: string): void {
        const name = `${code} ${event}`;
        warnings.set(name, (warnings.get(name) ?? 0) + 1);
    }
    return {
        decide(record) {
            kept.push(record);
            if (kept.length > MAX_KEPT) {
                kept.shift();
            }
        },
        debug: () => undefined,
        info: () => undefined,
        warn: countWarning,
        error: countWarning,
        findDecision: id =>
            kept.findLast(({ subject, chosen }) => chosen !== undefined && subject.startsWith(id)),
        getWarnings: () => warnings,
    };
}
