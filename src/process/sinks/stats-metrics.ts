/** Metrics as StatsD packets over UDP, sent by hot-shots. Errors are only counted. */
import { StatsD } from "hot-shots";
import type { Metrics } from "../telemetry.js";

/** Destination of the metrics. */
export interface StatsMetricsOptions {
    /** IP address of the StatsD server. */
    readonly host: string;
    readonly port: number;
    readonly tags?: Readonly<Record<string, string>>;
}

/** Metrics that can be closed. */
export interface StatsMetrics extends Metrics {
    /** Returns the number of socket errors so far. */
    countErrors(): number;
    /** Sends all buffered metrics and closes the socket. */
    close(): Promise<void>;
}

const PREFIX = "cactusrack.";
/** Below the smallest usual MTU, so that no packet is fragmented. */
const MAX_PACKET_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;
/**
 * Maximum number of series aggregated between two flushes; further series are dropped until the next flush.
 */
const MAX_AGGREGATED_SERIES = 5_000;
/**
 * Timings of one name that are all sent within one flush interval; of further ones, one in sixteen is sent.
 * This bounds packets and CPU time of a busy entry. Percentiles stay accurate; the number of events must be
 * taken from counters.
 */
const MAX_UNSAMPLED_TIMINGS = 200;
const SAMPLING_INTERVAL = 16;

/** Creates metrics that are sent to a StatsD server, and opens their socket. */
export function createStatsMetrics(options: StatsMetricsOptions): StatsMetrics {
    let errors = 0;
    const client = new StatsD({
        host: options.host,
        port: options.port,
        protocol: "udp",
        prefix: PREFIX,
        globalTags: { ...options.tags },
        maxBufferSize: MAX_PACKET_BYTES,
        bufferFlushInterval: FLUSH_INTERVAL_MS,
        includeDataDogTags: false,
        // Without a handler, a socket error would terminate the process.
        errorHandler: () => {
            errors += 1;
        },
    });
    const aggregates = new AggregateTable();
    const timingCounts = new Map<string, number>();
    function flushAggregates(): void {
        timingCounts.clear();
        for (const { kind, name, tags, value } of aggregates.takeAll()) {
            client[kind](name, value, tags);
        }
    }
    const interval = setInterval(flushAggregates, FLUSH_INTERVAL_MS);
    interval.unref();
    return {
        count: (name, value = 1, tags = NO_TAGS) => aggregates.add("increment", name, tags, value),
        gauge: (name, value, tags = NO_TAGS) => aggregates.add("gauge", name, tags, value),
        time(name, milliseconds, tags = NO_TAGS) {
            const timingCount = (timingCounts.get(name) ?? 0) + 1;
            timingCounts.set(name, timingCount);
            if (timingCount <= MAX_UNSAMPLED_TIMINGS || timingCount % SAMPLING_INTERVAL === 0) {
                client.timing(name, milliseconds, tags);
            }
        },
        countErrors: () => errors,
        close: () =>
            new Promise(resolve => {
                clearInterval(interval);
                flushAggregates();
                client.close(() => resolve());
            }),
    };
}

const NO_TAGS = {};

type Tags = Readonly<Record<string, string>>;

interface Aggregate {
    readonly kind: "increment" | "gauge";
    readonly name: string;
    readonly tags: Tags;
    value: number;
}

/**
 * Sums of counters and last values of gauges since the last flush, so that each call costs only one map
 * lookup.
 */
class AggregateTable {
    private aggregates = new Map<string, Aggregate>();

    add(kind: Aggregate["kind"], name: string, tags: Tags, value: number): void {
        let key = name;
        for (const tag in tags) {
            key += `|${tag}:${tags[tag] ?? ""}`;
        }
        const aggregate = this.aggregates.get(key);
        if (aggregate !== undefined) {
            aggregate.value = kind === "gauge" ? value : aggregate.value + value;
        }
        else if (this.aggregates.size < MAX_AGGREGATED_SERIES) {
            this.aggregates.set(key, { kind, name, tags, value });
        }
    }

    takeAll(): Iterable<Aggregate> {
        const all = this.aggregates.values();
        this.aggregates = new Map();
        return all;
    }
}
