/** Counters, gauges and latency histograms of one process as text, for whoever fetches them. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { Metrics } from "../telemetry.js";

/** Percentiles that are shown of each histogram. */
const SHOWN_PERCENTILES = [50, 90, 99] as const;
/** Histograms count in microseconds, from one to a minute, with two significant digits: 11 KB each. */
const HISTOGRAM_OPTIONS = {
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 2,
} as const;
const MICROS_PER_MILLI = 1_000;
/** Series of one name and different tags; more are left out, so that a tag with many values cannot fill memory. */
const MAX_SERIES = 1_000;

/** Metrics kept in memory. */
export class TextMetrics implements Metrics {
    private readonly counters = new Map<string, number>();
    private readonly gauges = new Map<string, number>();
    private readonly histograms = new Map<string, Histogram>();

    count(name: string, value = 1, tags?: Readonly<Record<string, string>>): void {
        const key = formatSeries(name, tags);
        if (this.counters.has(key) || this.counters.size < MAX_SERIES) {
            this.counters.set(key, (this.counters.get(key) ?? 0) + value);
        }
    }

    gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void {
        const key = formatSeries(name, tags);
        if (this.gauges.has(key) || this.gauges.size < MAX_SERIES) {
            this.gauges.set(key, value);
        }
    }

    time(name: string, milliseconds: number, tags?: Readonly<Record<string, string>>): void {
        const micros = Math.round(milliseconds * MICROS_PER_MILLI);
        const limited = Math.min(HISTOGRAM_OPTIONS.highestTrackableValue, Math.max(1, micros));
        this.getHistogram(formatSeries(name, tags))?.recordValue(limited);
    }

    /** Renders all series, one a line: name with tags, and value; times in milliseconds. */
    render(): string {
        const lines: string[] = [];
        for (const [key, value] of [...this.counters, ...this.gauges]) {
            lines.push(`${key} ${value}`);
        }
        for (const [key, histogram] of this.histograms) {
            lines.push(...renderHistogram(key, histogram));
        }
        return `${lines.sort().join("\n")}\n`;
    }

    private getHistogram(key: string): Histogram | undefined {
        const known = this.histograms.get(key);
        if (known !== undefined || this.histograms.size >= MAX_SERIES) {
            return known;
        }
        const created = build(HISTOGRAM_OPTIONS);
        this.histograms.set(key, created);
        return created;
    }
}

function renderHistogram(key: string, histogram: Histogram): readonly string[] {
    const [name = "", tags] = splitSeries(key);
    const shown = SHOWN_PERCENTILES.map(percentile => {
        const value = histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
        return `${name}_ms${addTag(tags, "percentile", String(percentile))} ${value}`;
    });
    return [...shown, `${name}_count${tags} ${histogram.totalCount}`];
}

/** Formats `a.b` with tags as `a_b{x="y"}`. */
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
