/** Sources outside the process: the operator's configuration and the list of workers. */
import type { Millis } from "../../common/clock.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { WorkerRecord } from "./task-worker-port.js";

/** Subscription to a source. */
export interface SourceHandle {
    stop(): void;
}

/** Subscription to the configuration. */
export interface ConfigSubscription extends SourceHandle {
    /**
     * Asks the store whether the configuration delivered last is the newest, and delivers the newest if it is not.
     * @returns Whether everything that was acknowledged before the call has been delivered.
     */
    confirm(timeout: Millis): Promise<boolean>;
}

/** Source of the operator's configuration. */
export interface ConfigSource {
    /** @param accept - Called with each valid version; a version may be delivered more than once. */
    follow(accept: (config: ClusterConfig) => void): ConfigSubscription;
}

/** Source of the worker list. */
export interface WorkerSource {
    /** @param accept - Called with the whole list after each change. */
    follow(accept: (records: ReadonlyMap<string, WorkerRecord>) => void): SourceHandle;
}
