/**
 * Connection pools to workers: a bounded number of connections to each, separate for orders and service
 * requests.
 */
import { Pool } from "undici";
import { isHttpUrl } from "./schemas.js";

/** Limits of the connection pools. */
export interface WorkerPoolOptions {
    /** Most connections to one worker for orders. A waiting renewal occupies one of them. */
    readonly controlConnections?: number;
    /** Most connections to one worker for service requests. */
    readonly serveConnections?: number;
    /** Most workers with open pools; beyond that, the least recently used one is dropped. */
    readonly maxWorkers?: number;
}

/** Purpose of a connection: orders, or service requests. */
export type PoolUse = "control" | "serve";

/** During a handover, the connections of both owners together stay within what a worker accepts. */
const DEFAULT_CONTROL_CONNECTIONS = 4;
const DEFAULT_SERVE_CONNECTIONS = 16;
const DEFAULT_MAX_WORKERS = 8_192;
/** Time after which an idle connection is closed. */
const KEEP_ALIVE_MS = 30_000;

interface Pools {
    readonly control: Pool;
    readonly serve: Pool;
}

/** Connection pools, keyed by the URL of the worker. The order of `pools` is that of last use. */
export class WorkerPools {
    private readonly pools = new Map<string, Pools>();
    private readonly maxWorkers: number;

    constructor(private readonly options: WorkerPoolOptions) {
        this.maxWorkers = options.maxWorkers ?? DEFAULT_MAX_WORKERS;
    }

    /**
     * Returns the pool to a worker for one purpose, and marks that worker as the most recently used.
     * @returns Undefined if the URL is malformed.
     */
    get(url: string, use: PoolUse): Pool | undefined {
        if (!isHttpUrl(url)) {
            return undefined;
        }
        const pools = this.pools.get(url) ?? this.createPools(url);
        this.pools.delete(url);
        this.pools.set(url, pools);
        this.dropLeastRecentlyUsed();
        return pools[use];
    }

    /** Returns the number of workers with open pools. */
    countWorkers(): number {
        return this.pools.size;
    }

    /** Closes all connections immediately. */
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

    /**
     * Drops the least recently used pools if there are too many. Their pending requests can still complete.
     */
    private dropLeastRecentlyUsed(): void {
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
