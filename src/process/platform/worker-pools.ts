/** Connections to workers: a bounded number to each, for orders and for service requests apart. */
import { Pool } from "undici";

/** Bounds of the connections to one worker. */
export interface WorkerPoolOptions {
    /** Connections for orders. A waiting renewal holds one. */
    readonly controlConnections?: number;
    /** Connections for service requests. */
    readonly serveConnections?: number;
    /** Workers that connections are kept to; the one unused for longest is dropped first. */
    readonly maxWorkers?: number;
}

/** What a connection is for. */
export type PoolUse = "control" | "serve";

/** At a hand-over the connections of two owners together stay within what a worker accepts. */
const DEFAULT_CONTROL_CONNECTIONS = 4;
const DEFAULT_SERVE_CONNECTIONS = 16;
const DEFAULT_MAX_WORKERS = 8_192;
/** Time after which an unused connection is closed, in milliseconds. */
const KEEP_ALIVE_MS = 30_000;

interface Pools {
    readonly control: Pool;
    readonly serve: Pool;
}

/** Pools by the URL of the worker. */
export class WorkerPools {
    private readonly pools = new Map<string, Pools>();
    private readonly maxWorkers: number;

    /** @param options - Bounds. */
    constructor(private readonly options: WorkerPoolOptions) {
        this.maxWorkers = options.maxWorkers ?? DEFAULT_MAX_WORKERS;
    }

    /** Returns the connections to a worker for one use. */
    get(url: string, use: PoolUse): Pool {
        const pools = this.pools.get(url) ?? this.createPools(url);
        this.pools.delete(url);
        this.pools.set(url, pools);
        this.dropOldest();
        return pools[use];
    }

    /** Counts workers that connections are kept to. */
    countWorkers(): number {
        return this.pools.size;
    }

    /** Closes all connections at once. */
    async close(): Promise<void> {
        const all = [...this.pools.values()];
        this.pools.clear();
        await Promise.all(all.flatMap(({ control, serve }) => [control.destroy(), serve.destroy()]));
    }

    private createPools(url: string): Pools {
        const { controlConnections, serveConnections } = this.options;
        return {
            control: createPool(url, controlConnections ?? DEFAULT_CONTROL_CONNECTIONS),
            serve: createPool(url, serveConnections ?? DEFAULT_SERVE_CONNECTIONS),
        };
    }

    /** Requests under way on a dropped pool still end; only its idle connections go at once. */
    private dropOldest(): void {
        if (this.pools.size <= this.maxWorkers) {
            return;
        }
        const [oldest] = this.pools;
        if (oldest !== undefined) {
            const [url, { control, serve }] = oldest;
            this.pools.delete(url);
            void control.close();
            void serve.close();
        }
    }
}

function createPool(url: string, connections: number): Pool {
    return new Pool(url, { connections, keepAliveTimeout: KEEP_ALIVE_MS });
}
