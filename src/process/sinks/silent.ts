/** Logs and metrics that discard everything. */
import type { Log, Metrics } from "../telemetry.js";

const ignore = (): void => undefined;

/** @returns A log without output. */
export function createSilentLog(): Log {
    return { decide: ignore, debug: ignore, info: ignore, warn: ignore, error: ignore };
}

/** @returns Metrics without output. */
export function createSilentMetrics(): Metrics {
    return { count: ignore, gauge: ignore, time: ignore };
}
