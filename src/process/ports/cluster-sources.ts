/** What the cluster learns from outside: the operator's configuration and the list of workers. */
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { WorkerRecord } from "./task-worker-port.js";

/** A source that is being followed. */
export interface SourceHandle {
    stop(): void;
}

/** Follows the operator's configuration. */
export interface ConfigSource {
    /** @param accept - Called with each readable version that is seen; versions may repeat. */
    follow(accept: (config: ClusterConfig) => void): SourceHandle;
}

/** Follows the worker list. */
export interface WorkerSource {
    /** @param accept - Called with the whole list after each change. */
    follow(accept: (records: ReadonlyMap<string, WorkerRecord>) => void): SourceHandle;
}
