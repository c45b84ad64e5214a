/** One version of the operator's configuration of queues and pools. */
import type { Millis } from "../common/clock.js";
import type { Resources } from "../common/resources.js";

/** Cost of requesting permits for a step from the advice service, and how long a permit is valid. */
export interface AdvicePolicy {
    /** Time that the advice service takes for any request. */
    readonly decideMs: Millis;
    /** Additional time for each worker named in the request. */
    readonly perWorkerMs: Millis;
    /** Time for which a worker accepts a permit. */
    readonly validMs: Millis;
}

/** A queue: where its jobs arrive, which pool runs them, and its service objectives. */
export interface QueueConfig {
    readonly name: string;
    /** Value of the `Host` header without a port, in lower case. */
    readonly host: string;
    /** Path prefix of the queue's requests; ends with a slash. */
    readonly pathPrefix: string;
    /** Pool whose workers run the queue's tasks. */
    readonly pool: string;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Number of failed runs of a task, or of a gang, after which its job fails. */
    readonly maxAttempts: number;
    /** Completion objective as a multiple of the job's critical path. */
    readonly stretch: number;
    /** Time added to the completion objective. */
    readonly targetMs: Millis;
    /** Set if the queue's steps need a permit for each worker. */
    readonly advice: AdvicePolicy | undefined;
    /** Whether requests without a key are served although client accounts are configured; false by default. */
    readonly admitsAnonymous?: boolean;
}

/** A client account: who may send requests, and how much of the workers its jobs may use. */
export interface AccountConfig {
    readonly name: string;
    /** Digests of its keys, as computed by `computeKeyDigest`. */
    readonly keyDigests: readonly string[];
    /** Jobs a second to which it is entitled, and its share of the workers relative to other accounts. */
    readonly weight: number;
    /** What its jobs may use at any time, over all workers; 0 means no limit in that dimension. */
    readonly quota: Resources;
}

/** A pool of workers. */
export interface PoolConfig {
    readonly name: string;
    /** Whether its workers refuse tasks that exceed their free capacity. */
    readonly checksAdmission: boolean;
    /** Connections that one worker accepts. */
    readonly maxConnections: number;
}

/** A complete configuration. Versions increase, but not necessarily by one. */
export interface ClusterConfig {
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly pools: readonly PoolConfig[];
    /** Client accounts; undefined if requests need no key. */
    readonly accounts?: readonly AccountConfig[];
    /** Maximum size of a request body, in bytes. */
    readonly maxBodyBytes: number;
}

/** A queue and the part of the path after its prefix. */
export interface QueueMatch {
    readonly queue: QueueConfig;
    readonly rest: string;
}

/**
 * Finds the queue of a request: same host, longest matching path prefix.
 * @param host - `Host` header; a port is ignored.
 * @param path - Path without query.
 * @returns Undefined if no queue matches.
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
