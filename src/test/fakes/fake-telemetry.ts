/** Log and metrics that record their input, for tests. */
import type { DecisionRecord, Log, LogValue, Metrics } from "../../process/telemetry.js";

/** A line that was logged. */
export interface LoggedLine {
    readonly level: "debug" | "info" | "warn" | "error";
    readonly code: string | undefined;
    readonly event: string;
    readonly fields: Readonly<Record<string, LogValue>>;
}

/** A {@link Log} with the lines and decisions that it has recorded. */
export interface FakeLog extends Log {
    readonly lines: readonly LoggedLine[];
    readonly decisions: readonly DecisionRecord[];
}

/**
 * Makes a {@link Log} that records warnings and errors.
 * @param keepsAll - Whether decisions, debug and info lines are recorded too.
 */
export function createFakeLog(keepsAll = false): FakeLog {
    const lines: LoggedLine[] = [];
    const decisions: DecisionRecord[] = [];
    return {
        lines,
        decisions,
        decide: record => keepsAll && decisions.push(record),
        debug: (event, fields = {}) =>
            keepsAll && lines.push({ level: "debug", code: undefined, event, fields }),
        info: (event, fields = {}) =>
            keepsAll && lines.push({ level: "info", code: undefined, event, fields }),
        warn: (code, event, fields = {}) => lines.push({ level: "warn", code, event, fields }),
        error: (code, event, fields = {}) => lines.push({ level: "error", code, event, fields }),
    };
}

/** Returns the codes of the recorded lines, in order. */
export function listCodes(log: FakeLog): string[] {
    return log.lines.flatMap(line => line.code ?? []);
}

/** Metrics that sum up counters and record the last value of each gauge. */
export interface FakeMetrics extends Metrics {
    readonly counters: ReadonlyMap<string, number>;
    readonly gauges: ReadonlyMap<string, number>;
}

/** Makes {@link FakeMetrics}. */
export function createFakeMetrics(): FakeMetrics {
    const counters = new Map<string, number>();
    const gauges = new Map<string, number>();
    return {
        counters,
        gauges,
        count: (name, value = 1) => counters.set(name, (counters.get(name) ?? 0) + value),
        gauge: (name, value) => gauges.set(name, value),
        time: () => undefined,
    };
}
