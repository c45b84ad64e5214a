/** The structured log of an entry, by pino, as lines of JSON. docs/LOGS.md lists the fields. */
import { pino } from "pino";
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { Log } from "../telemetry.js";
import { LineBuffer } from "./line-buffer.js";
import type { LineOutput } from "./line-buffer.js";

/** Levels of the log, least first. */
export const LogLevel = {
    debug: "debug",
    info: "info",
    warn: "warn",
    error: "error",
} as const;
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** What a log is made from. */
export interface PinoLogOptions {
    readonly level: LogLevel;
    /** On every line. */
    readonly memberId: string;
    readonly output: LineOutput;
    /** Characters of lines that may wait for the output. */
    readonly maxBufferedBytes?: number;
    /** Whether each decision has a line; the field list is the same for all. */
    readonly logsDecisions?: boolean;
    readonly clock: Clock;
}

/** A log that can be ended. */
export interface PinoLog extends Log {
    /** Resolves once all lines so far are written. */
    flush(): Promise<void>;
    /** Writes what is left and stops the log's timer. */
    close(): Promise<void>;
}

const DROPPED_REPORT_MS: Millis = 1_000;

/**
 * Opens a log.
 * @param options - See {@link PinoLogOptions}.
 */
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
            if (logsDecisions && buffer.hasRoomForDecision()) {
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

/** Says at most once a second how many lines were dropped. */
function startDroppedReport(clock: Clock, buffer: LineBuffer, report: (dropped: number) => void): Timer {
    let timer: Timer;
    function reportDropped(): void {
        const dropped = buffer.takeDropped();
        if (dropped > 0) {
            report(dropped);
        }
        timer = clock.schedule(DROPPED_REPORT_MS, reportDropped);
    }
    timer = clock.schedule(DROPPED_REPORT_MS, reportDropped);
    return { cancel: () => timer.cancel() };
}
