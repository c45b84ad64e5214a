/** Sources outside the process: the operator's configuration and the list of workers. */
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { WorkerRecord } from "./task-worker-port.js";

/** Subscription to a source. */
export interface SourceHandle {
    stop(): void;
}

/** Source of the operator's configuration. */
export interface ConfigSource {
    /** @param accept - Called with each valid version; a version may be delivered more than once. */
    follow(accept: (config: ClusterConfig) => void): SourceHandle;
}

/** Source of the worker list. */
export interface WorkerSource {
    /** @param accept - Called with the whole list after each change. */
    follow(accept: (records: ReadonlyMap<string, WorkerRecord>) => void): SourceHandle;
}
