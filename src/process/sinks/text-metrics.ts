/** Counters, gauges and latency histograms of one process, rendered as text on request. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { appendAll } from "../../common/lists.js";
import type { Metrics } from "../telemetry.js";

/** Percentiles rendered for each histogram. */
const RENDERED_PERCENTILES = [50, 90, 99] as const;
/** Histograms record microseconds, from one to a minute, with two significant digits; each takes 11 KB. */
const HISTOGRAM_OPTIONS = {
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 2,
} as const;
const MICROS_PER_MILLI = 1_000;
/**
 * Maximum number of series of each kind; further ones are dropped, so that a tag with many values cannot fill
 * memory.
 */
const MAX_SERIES = 1_000;

/** Metrics kept in memory. */
export interface TextMetrics extends Metrics {
    /** Renders all series, one per line: name with tags, then value. Times are in milliseconds. */
    render(): string;
}

/** Creates metrics without any series. */
export function createTextMetrics(): TextMetrics {
    const counters = new Map<string, number>();
    const gauges = new Map<string, number>();
    const histograms = new Map<string, Histogram>();
    return {
        count(name, value = 1, tags) {
            const key = formatSeries(name, tags);
            putBounded(counters, key, (counters.get(key) ?? 0) + value);
        },
        gauge: (name, value, tags) => putBounded(gauges, formatSeries(name, tags), value),
        time(name, milliseconds, tags) {
            const micros = Math.round(milliseconds * MICROS_PER_MILLI);
            const limited = Math.min(HISTOGRAM_OPTIONS.highestTrackableValue, Math.max(1, micros));
            findHistogram(histograms, formatSeries(name, tags))?.recordValue(limited);
        },
        render: () => renderAll([...counters, ...gauges], histograms),
    };
}

function putBounded(series: Map<string, number>, key: string, value: number): void {
    if (series.has(key) || series.size < MAX_SERIES) {
        series.set(key, value);
    }
}

function findHistogram(histograms: Map<string, Histogram>, key: string): Histogram | undefined {
    const known = histograms.get(key);
    if (known !== undefined || histograms.size >= MAX_SERIES) {
        return known;
    }
    const created = build(HISTOGRAM_OPTIONS);
    histograms.set(key, created);
    return created;
}

function renderAll(
    values: readonly (readonly [string, number])[],
    histograms: ReadonlyMap<string, Histogram>,
): string {
    const lines = values.map(([key, value]) => `${key} ${value}`);
    for (const [key, histogram] of histograms) {
        appendAll(lines, renderHistogram(key, histogram));
    }
    return `${lines.sort().join("\n")}\n`;
}

function renderHistogram(key: string, histogram: Histogram): readonly string[] {
    const [name = "", tags] = splitSeries(key);
    const shown = RENDERED_PERCENTILES.map(percentile => {
        const value = histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        return `${name}_ms${addTag(tags, "percentile", String(percentile))} ${value}`;
    });
    return [...shown, `${name}_count${tags} ${histogram.totalCount}`];
}

/** Formats name `a.b` with tags as `a_b{x="y"}`. */
function formatSeries(name: string, tags: Readonly<Record<string, string>> | undefined): string {
    const plain = name.replaceAll(/\W/g, "_");
    const pairs = Object.entries(tags ?? {}).map(([key, value]) => `${key}="${value}"`);
    return pairs.length === 0 ? plain : `${plain}{${pairs.join(",")}}`;
}

function splitSeries(key: string): readonly [string, string] {
    const brace = key.indexOf("{");
    return brace < 0 ? [key, ""] : [key.slice(0, brace), key.slice(brace)];
}

function addTag(tags: string, key: string, value: string): string {
    return tags === "" ? `{${key}="${value}"}` : `${tags.slice(0, -1)},${key}="${value}"}`;
}
