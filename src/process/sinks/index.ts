/** Outputs of logs and metrics. */
export { createDescriptorOutput, DEFAULT_LINE_BUFFER_BYTES, LineBuffer } from "./line-buffer.js";
export type { LineOutput } from "./line-buffer.js";
export { createPinoLog, LogLevel } from "./pino-log.js";
export type { PinoLog, PinoLogOptions } from "./pino-log.js";
export { createSilentLog, createSilentMetrics } from "./silent.js";
export { createStatsMetrics } from "./stats-metrics.js";
export type { StatsMetrics, StatsMetricsOptions } from "./stats-metrics.js";
