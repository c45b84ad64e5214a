/** Groups workers by pool. */
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
