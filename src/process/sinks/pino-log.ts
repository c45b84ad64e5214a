/** The structured log of an entry: JSON lines, written by pino. See docs/LOGS.md for the fields. */
import { pino } from "pino";
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { Log } from "../telemetry.js";
import { LineBuffer } from "./line-buffer.js";
import type { LineOutput } from "./line-buffer.js";

/** Log levels, in ascending order of severity. */
export const LogLevel = {
    debug: "debug",
    info: "info",
    warn: "warn",
    error: "error",
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Options of {@link createPinoLog}. */
export interface PinoLogOptions {
    readonly level: LogLevel;
    /** Added to every line as `member`. */
    readonly memberId: string;
    readonly output: LineOutput;
    /** Maximum number of characters buffered for the output. */
    readonly maxBufferedBytes?: number;
    /** Whether decisions are logged, one line each; true by default. */
    readonly logsDecisions?: boolean;
    readonly clock: Clock;
}

/** A log that can be flushed and closed. */
export interface PinoLog extends Log {
    /** Resolves once all lines so far are written. */
    flush(): Promise<void>;
    /** Writes all buffered lines and stops reporting dropped lines. */
    close(): Promise<void>;
}

const DROPPED_REPORT_INTERVAL_MS: Millis = 1_000;

/** Creates a log that writes to `options.output` without blocking the event loop. */
export function createPinoLog(options: PinoLogOptions): PinoLog {
    const { clock } = options;
    const buffer = new LineBuffer(clock, options.output, options.maxBufferedBytes);
    const logger = pino(
        {
            level: options.level,
            base: { member: options.memberId },
            timestamp: () => `,"time":${clock.wallNow()}`,
            formatters: { level: label => ({ level: label }) },
        },
        { write: line => buffer.write(line) },
    );
    const logsDecisions = options.logsDecisions ?? true;
    const timer = startDroppedReport(clock, buffer, dropped => {
        logger.warn({ code: "CR1501", event: "logLinesDropped", dropped });
    });
    return {
        decide(record) {
            if (logsDecisions && buffer.hasCapacityForDecision()) {
                logger.info({ event: "decision", ...record });
            }
        },
        debug: (event, fields) => logger.debug({ event, ...fields }),
        info: (event, fields) => logger.info({ event, ...fields }),
        warn: (code, event, fields) => logger.warn({ code, event, ...fields }),
        error: (code, event, fields) => logger.error({ code, event, ...fields }),
        flush: () => buffer.flush(),
        async close() {
            timer.cancel();
            await buffer.flush();
        },
    };
}

/** Reports the number of dropped lines, if any, once a second. */
function startDroppedReport(clock: Clock, buffer: LineBuffer, report: (dropped: number) => void): Timer {
    let timer: Timer;
    function reportDropped(): void {
        const dropped = buffer.takeDropped();
        if (dropped > 0) {
            report(dropped);
        }
        timer = clock.schedule(DROPPED_REPORT_INTERVAL_MS, reportDropped);
    }
    timer = clock.schedule(DROPPED_REPORT_INTERVAL_MS, reportDropped);
    return { cancel: () => timer.cancel() };
}
