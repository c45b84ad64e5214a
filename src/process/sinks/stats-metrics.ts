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
/** Names with tags that are summed up here between two sends; further ones are dropped until the next. */
const MAX_SUMMED = 5_000;
/**
 * Times of one name sent in one interval; beyond it one in sixteen is. Percentiles stay right; how many there
 * were is told by counts. Bounds the packets and the processor time of a busy entry.
 */
const FULL_TIMES = 200;
const THINNED_TO = 16;

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
        includeDataDogTags: false,
        // Without a handler an error of the socket would end the process.
        errorHandler: () => {
            errors += 1;
        },
    });
    const sums = new SumTable();
    const timesSent = new Map<string, number>();
    function flushSums(): void {
        timesSent.clear();
        for (const { kind, name, tags, value } of sums.takeAll()) {
            client[kind](name, value, tags);
        }
    }
    const interval = setInterval(flushSums, FLUSH_MS);
    interval.unref();
    return {
        count: (name, value = 1, tags = NO_TAGS) => sums.add("increment", name, tags, value),
        gauge: (name, value, tags = NO_TAGS) => sums.add("gauge", name, tags, value),
        time(name, milliseconds, tags = NO_TAGS) {
            const sent = (timesSent.get(name) ?? 0) + 1;
            timesSent.set(name, sent);
            if (sent <= FULL_TIMES || sent % THINNED_TO === 0) {
                client.timing(name, milliseconds, tags);
            }
        },
        countErrors: () => errors,
        close: () =>
            new Promise(resolve => {
                clearInterval(interval);
                flushSums();
                client.close(() => resolve());
            }),
    };
}

const NO_TAGS = {};

type Tags = Readonly<Record<string, string>>;

interface Sum {
    readonly kind: "increment" | "gauge";
    readonly name: string;
    readonly tags: Tags;
    value: number;
}

/** Sums of counts and last values of gauges since the last send; one look-up for each call. */
class SumTable {
    private sums = new Map<string, Sum>();

    add(kind: Sum["kind"], name: string, tags: Tags, value: number): void {
        let key = name;
        for (const tag in tags) {
            key += `|${tag}:${tags[tag] ?? ""}`;
        }
        const sum = this.sums.get(key);
        if (sum !== undefined) {
            sum.value = kind === "gauge" ? value : sum.value + value;
        }
        else if (this.sums.size < MAX_SUMMED) {
            this.sums.set(key, { kind, name, tags, value });
        }
    }

    takeAll(): Iterable<Sum> {
        const all = this.sums.values();
        this.sums = new Map();
        return all;
    }
}
