/** Logs and metrics that keep what they are given, for tests to look at. */
import type { DecisionRecord, Log, LogValue, Metrics } from "../../process/telemetry.js";

type Fields = Readonly<Record<string, LogValue>>;

/** One kept line. */
export interface RecordedLine {
    readonly level: "debug" | "info" | "warn" | "error";
    readonly code?: string;
    readonly event: string;
    readonly fields?: Fields;
}

/** A {@link Log} that keeps all lines. */
export interface RecordingLog extends Log {
    readonly lines: readonly RecordedLine[];
    readonly decisions: readonly DecisionRecord[];
    /** Codes of warnings and errors, in order. */
    listCodes(): string[];
}

export function createRecordingLog(): RecordingLog {
    const lines: RecordedLine[] = [];
    const decisions: DecisionRecord[] = [];
    return {
        lines,
        decisions,
        listCodes: () => lines.flatMap(line => line.code ?? []),
        decide: record => decisions.push(record),
        debug: (event, fields) => lines.push({ level: "debug", event, fields }),
        info: (event, fields) => lines.push({ level: "info", event, fields }),
        warn: (code, event, fields) => lines.push({ level: "warn", code, event, fields }),
        error: (code, event, fields) => lines.push({ level: "error", code, event, fields }),
    };
}

/** {@link Metrics} that keep sums of counts, last gauges and all times, by name without tags. */
export interface RecordingMetrics extends Metrics {
    readonly counts: ReadonlyMap<string, number>;
    readonly gauges: ReadonlyMap<string, number>;
    readonly times: ReadonlyMap<string, readonly number[]>;
}

export function createRecordingMetrics(): RecordingMetrics {
    const counts = new Map<string, number>();
    const gauges = new Map<string, number>();
    const times = new Map<string, number[]>();
    return {
        counts,
        gauges,
        times,
        count: (name, value = 1) => counts.set(name, (counts.get(name) ?? 0) + value),
        gauge: (name, value) => gauges.set(name, value),
        time: (name, milliseconds) => times.set(name, [...times.get(name) ?? [], milliseconds]),
    };
}
