/**
 * Limits how many tasks that may crash their workers start beside other runs.
 *
 * @remarks Such tasks wait for idle workers, and in a pool full of long-running tasks none is ever idle. One that has
 * waited for too long starts beside others, on few workers at a time, so that each one that does crash its worker costs
 * one worker. While none crashes, each start that has proven harmless allows another one, as in TCP slow start.
 */
import type { Millis } from "../../common/clock.js";
import { MAX_PROOF_MS } from "./crash-risk.js";
import type { PoolView, Slot } from "./pool-view.js";

/** Workers in the pool for each one that may have such a start at any time. */
const WORKERS_PER_START = 16;
/** How long a harmless start allows another one. */
const MEMORY_MS: Millis = 3_000;

/** Workers with recent shared starts. */
export interface SharedCounts {
    /** On which a task may still turn out to crash its worker. */
    readonly unproven: number;
    /** On which the tasks have proven harmless lately. */
    readonly proven: number;
}

/** What limits the shared starts in each pool. */
export interface SharedInput {
    readonly countShared: (pool: string) => SharedCounts;
    /** Counts the workers of a pool that are down after a crash, by whether a suspect explains it. */
    readonly countCrashed: (pool: string, isExplained: boolean) => number;
}

interface SharedStart {
    readonly pool: string;
    readonly workerId: string;
    readonly at: Millis;
}

/** The recent shared starts of one leader. */
export class SharedStarts {
    private starts: readonly SharedStart[] = [];

    /** Records a start; times are on the leader's clock. */
    observe(pool: string, workerId: string, now: Millis): void {
        this.starts = [...this.starts.filter(({ at }) => now - at < MEMORY_MS), { pool, workerId, at: now }];
    }

    /** Counts the workers of a pool with recent shared starts. */
    count(pool: string, now: Millis): SharedCounts {
        const recent = this.starts.filter(start => start.pool === pool && now - start.at < MEMORY_MS);
        const unproven = countWorkers(recent.filter(({ at }) => now - at < MAX_PROOF_MS));
        return { unproven, proven: countWorkers(recent) - unproven };
    }
}

/** Shared starts that one pass may still make. */
export class SharedBudget {
    private readonly used = new Map<PoolView, Set<Slot>>();

    constructor(private readonly input: SharedInput) {}

    /** Counts the workers of a pool on which tasks may still start beside others. */
    countLeft(pool: PoolView): number {
        const { unproven, proven } = this.input.countShared(pool.name);
        const crashed = this.countCrashed(pool);
        const base = Math.max(1, Math.floor(pool.slots.length / WORKERS_PER_START));
        const limit = crashed === 0 ? base + proven : base - crashed;
        return limit - unproven - (this.used.get(pool)?.size ?? 0);
    }

    /** Tells whether no shared start is unproven and no worker is down after a crash. */
    isUnused(pool: PoolView): boolean {
        return this.input.countShared(pool.name).unproven === 0 && this.countCrashed(pool) === 0 &&
            !this.used.has(pool);
    }

    /** Tells whether a task may start beside others on a worker. */
    mayUse(pool: PoolView, slot: Slot): boolean {
        return this.used.get(pool)?.has(slot) === true || this.countLeft(pool) > 0;
    }

    /** Records a start of this pass. */
    use(pool: PoolView, slot: Slot): void {
        this.used.set(pool, (this.used.get(pool) ?? new Set()).add(slot));
    }

    private countCrashed({ name }: PoolView): number {
        return this.input.countCrashed(name, true) + this.input.countCrashed(name, false);
    }
}

function countWorkers(starts: readonly SharedStart[]): number {
    return new Set(starts.map(({ workerId }) => workerId)).size;
}
