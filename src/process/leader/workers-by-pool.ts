/** Groups workers by pool. */
import { addResources, NO_RESOURCES } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { WorkerState } from "../dispatch/worker-state.js";

/** Workers, by the name of their pool. */
export type WorkersByPool = ReadonlyMap<string, readonly WorkerState[]>;

/** Groups the workers for which `isWanted` holds. */
export function collectByPool(
    states: Iterable<WorkerState>,
    isWanted: (state: WorkerState) => boolean,
): WorkersByPool {
    const pools = new Map<string, WorkerState[]>();
    for (const state of states) {
        if (!isWanted(state)) {
            continue;
        }
        const pool = pools.get(state.record.pool);
        if (pool === undefined) {
            pools.set(state.record.pool, [state]);
        }
        else {
            pool.push(state);
        }
    }
    return pools;
}

/** Computes the share of the workers' processor capacity that runs take; 0 without workers. */
export function computeUsedCpuShare(workersByPool: WorkersByPool): number {
    const states = [...workersByPool.values()].flat();
    const total = states.reduce((sum, { record }) => sum + record.capacity.cpuMillis, 0);
    const free = states.reduce((sum, state) => sum + state.free.cpuMillis, 0);
    return total === 0 ? 0 : 1 - free / total;
}

/** Counts the workers of all pools. */
export function countWorkers(workersByPool: WorkersByPool): number {
    return [...workersByPool.values()].reduce((sum, workers) => sum + workers.length, 0);
}

/** Sums the capacity of all workers. */
export function sumCapacity(workersByPool: WorkersByPool): Resources {
    return [...workersByPool.values()].flat()
        .reduce((sum, { record }) => addResources(sum, record.capacity), NO_RESOURCES);
}
