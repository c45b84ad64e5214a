/** One version of the queues and pools that the operator has put in force, in the words of this project. */
import type { Millis } from "../common/clock.js";

/** Cost of asking which workers may run a step, and how long an answer may be used. */
export interface AdvicePolicy {
    /** Time that the advice service takes for any question. */
    readonly decideMs: Millis;
    /** Time that it takes on top for each worker named. */
    readonly perWorkerMs: Millis;
    /** Time for which a permit is accepted by its worker. */
    readonly validMs: Millis;
}

/** A queue: where its jobs arrive, which pool runs them, and what it promises. */
export interface QueueConfig {
    readonly name: string;
    /** Value of the `Host` header without a port, in lower case. */
    readonly host: string;
    /** Path that the queue's requests begin with; ends with a slash. */
    readonly pathPrefix: string;
    /** Pool whose workers run the queue's tasks. */
    readonly pool: string;
    /** 0 goes first. */
    readonly priority: number;
    /** Failed runs of a task, or of a gang, after which its job has failed. */
    readonly maxAttempts: number;
    /** Objective as a multiple of the job's longest chain of work. */
    readonly stretch: number;
    /** Time that the objective allows on top. */
    readonly targetMs: Millis;
    /** Set where the queue's steps need a permit for each worker. */
    readonly advice: AdvicePolicy | undefined;
}

/** A pool of workers. */
export interface PoolConfig {
    readonly name: string;
    /** Whether its workers refuse what does not fit. */
    readonly checksAdmission: boolean;
    /** Connections that one worker accepts. */
    readonly maxConnections: number;
}

/** A whole configuration. Versions rise, in uneven steps. */
export interface ClusterConfig {
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly pools: readonly PoolConfig[];
    /** Largest body of a request, in bytes. */
    readonly maxBodyBytes: number;
}

/** A queue and what follows its prefix in a path. */
export interface QueueMatch {
    readonly queue: QueueConfig;
    readonly rest: string;
}

/**
 * Finds the queue of a request: same host, longest prefix.
 * @param config - The version in force.
 * @param host - `Host` header; a port is ignored.
 * @param path - Path without query.
 * @returns Undefined where no queue takes it.
 */
export function findQueue(config: ClusterConfig, host: string, path: string): QueueMatch | undefined {
    const name = host.split(":")[0]?.toLowerCase();
    let best: QueueConfig | undefined;
    for (const queue of config.queues) {
        const isLonger = best === undefined || queue.pathPrefix.length > best.pathPrefix.length;
        if (queue.host === name && path.startsWith(queue.pathPrefix) && isLonger) {
            best = queue;
        }
    }
    return best === undefined ? undefined : { queue: best, rest: path.slice(best.pathPrefix.length) };
}
