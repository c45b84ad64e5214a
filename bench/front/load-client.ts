/** A client that sends one kind of request, as fast as answers come or at a fixed rate. */
import { Pool } from "undici";
import type { Random } from "../../src/common/random.js";
import { computePercentile, pickExponential } from "../lib/figures.js";

const MS_PER_SECOND = 1_000;

/** One request to send. */
export interface LoadRequest {
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly body: Buffer;
}

/** Where to and what; the targets take turns. */
export interface LoadTarget {
    readonly urls: readonly string[];
    readonly request: (url: string, count: number) => LoadRequest;
    /** The body of every right answer. */
    readonly expected: string;
}

/** What a run gave. */
export interface LoadResult {
    readonly sent: number;
    /** Answers that were whole and right. */
    readonly right: number;
    /** Right answers a second. */
    readonly rate: number;
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly p999Ms: number;
}

/** Client with connections of its own. */
export class LoadClient {
    private readonly pools: readonly (readonly [string, Pool])[];
    private counter = 0;
    private latencies: number[] = [];
    private right = 0;

    /** @param connections - To all targets together. */
    constructor(private readonly target: LoadTarget, connections: number) {
        const each = Math.ceil(connections / target.urls.length);
        this.pools = target.urls.map(url => [url, new Pool(url, { connections: each })] as const);
    }

    /** Keeps a number of requests under way for a time. */
    async runClosed(concurrency: number, durationMs: number): Promise<LoadResult> {
        this.reset();
        const begin = performance.now();
        const end = begin + durationMs;
        const sendUntilEnd = async (): Promise<void> => {
            while (performance.now() < end) {
                await this.send(performance.now());
            }
        };
        await Promise.all(Array.from({ length: concurrency }, sendUntilEnd));
        return this.buildResult(performance.now() - begin);
    }

    /**
     * Sends at a mean rate, with times between requests drawn from an exponential distribution. Latency counts
     * from the time at which a request was due, so that a stall is seen by all requests that fell into it.
     */
    async runOpen(perSecond: number, durationMs: number, random: Random): Promise<LoadResult> {
        this.reset();
        const begin = performance.now();
        const pending: Promise<void>[] = [];
        let due = begin;
        while (due < begin + durationMs) {
            while (due <= performance.now()) {
                pending.push(this.send(due));
                due += pickExponential(random.pickFraction(), MS_PER_SECOND / perSecond);
            }
            await new Promise(resolve => {
                setImmediate(resolve);
            });
        }
        await Promise.all(pending);
        return this.buildResult(performance.now() - begin);
    }

    async close(): Promise<void> {
        await Promise.all(this.pools.map(([, pool]) => pool.destroy()));
    }

    private reset(): void {
        this.latencies = [];
        this.right = 0;
    }

    private async send(due: number): Promise<void> {
        const count = this.counter++;
        const [url, pool] = this.pools[count % this.pools.length] ?? [];
        if (url === undefined || pool === undefined) {
            return;
        }
        const { path, headers, body } = this.target.request(url, count);
        try {
            const response = await pool.request({ method: "POST", path, headers, body });
            const text = await response.body.text();
            this.right += response.statusCode === 200 && text === this.target.expected ? 1 : 0;
        }
        catch {
            // Counted as not right.
        }
        this.latencies.push(performance.now() - due);
    }

    private buildResult(tookMs: number): LoadResult {
        const { latencies, right } = this;
        return {
            sent: latencies.length,
            right,
            rate: right / tookMs * MS_PER_SECOND,
            p50Ms: computePercentile(latencies, 0.5),
            p99Ms: computePercentile(latencies, 0.99),
            p999Ms: computePercentile(latencies, 0.999),
        };
    }
}
