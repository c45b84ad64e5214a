/** Metrics by hot-shots: StatsD lines over UDP. Nothing that fails here is felt elsewhere. */
import { StatsD } from "hot-shots";
import type { Metrics } from "../telemetry.js";

/** Where metrics go. */
export interface StatsMetricsOptions {
    /** IP number of the StatsD server. */
    readonly host: string;
    readonly port: number;
    readonly tags?: Readonly<Record<string, string>>;
}

/** Metrics that can be ended. */
export interface StatsMetrics extends Metrics {
    /** Errors of the socket so far. */
    countErrors(): number;
    /** Sends what is buffered and closes the socket. */
    close(): Promise<void>;
}

const PREFIX = "cactusrack.";
/** Below the smallest usual packet size, so that no packet is cut. */
const MAX_PACKET_BYTES = 1_400;
const FLUSH_MS = 1_000;
/** Names and tags summed up here between two sends; more are sent one by one. */
const MAX_SUMMED = 2_000;
/**
 * Times of one name sent in one interval; beyond it the library sends one in sixteen, marked so that sums stay right.
 * Bounds the packets that a busy entry sends.
 */
const FULL_TIMES = 200;
const THINNED_RATE = 1 / 16;

/**
 * Opens the socket for metrics.
 * @param options - Where they go.
 */
export function createStatsMetrics(options: StatsMetricsOptions): StatsMetrics {
    let errors = 0;
    const client = new StatsD({
        host: options.host,
        port: options.port,
        protocol: "udp",
        prefix: PREFIX,
        globalTags: { ...options.tags },
        maxBufferSize: MAX_PACKET_BYTES,
        bufferFlushInterval: FLUSH_MS,
        aggregation: { flushInterval: FLUSH_MS, maxContexts: MAX_SUMMED },
        includeDataDogTags: false,
        // Without a handler an error of the socket would end the process.
        errorHandler: () => {
            errors += 1;
        },
    });
    const timesSent = new Map<string, number>();
    const interval = setInterval(() => timesSent.clear(), FLUSH_MS);
    interval.unref();
    return {
        count: (name, value = 1, tags = NO_TAGS) => client.increment(name, value, tags),
        gauge: (name, value, tags = NO_TAGS) => client.gauge(name, value, tags),
        time(name, milliseconds, tags = NO_TAGS) {
            const sent = (timesSent.get(name) ?? 0) + 1;
            timesSent.set(name, sent);
            if (sent <= FULL_TIMES) {
                client.timing(name, milliseconds, tags);
            }
            else {
                client.timing(name, milliseconds, THINNED_RATE, tags);
            }
        },
        countErrors: () => errors,
        close: () =>
            new Promise(resolve => {
                clearInterval(interval);
                client.close(() => resolve());
            }),
    };
}

const NO_TAGS = {};
