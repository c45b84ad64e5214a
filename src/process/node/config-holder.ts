/** Holds the newest configuration that this process has received. */
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { Log } from "../telemetry.js";

/** Version 0, in force until the operator has put a first version in force. */
const EMPTY_CONFIG: ClusterConfig = { version: 0, queues: [], pools: [], maxBodyBytes: 262_144 };

/**
 * Holds the configuration in force and notifies listeners of newer ones.
 *
 * @remarks A lower version never replaces a higher one. Otherwise a watch that restarts on a stale replica,
 * or a node that was partitioned, could bring back queues that have been removed.
 */
export class ConfigHolder {
    private current = EMPTY_CONFIG;
    private readonly listeners: ((config: ClusterConfig) => void)[] = [];

    /** @param log - Gets a line for each version that comes into force. */
    constructor(private readonly log: Log) {}

    /** Returns the configuration in force. */
    get(): ClusterConfig {
        return this.current;
    }

    /** Registers a listener for each configuration that comes into force. */
    subscribe(listener: (config: ClusterConfig) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Puts a configuration in force if it is newer than the current one.
     * @param source - Where it came from, for the log.
     */
    accept(config: ClusterConfig, source: string): void {
        if (config.version <= this.current.version) {
            return;
        }
        this.log.info("configInForce", {
            version: config.version,
            previous: this.current.version,
            queues: config.queues.length,
            source,
        });
        this.current = config;
        this.listeners.forEach(listener => listener(config));
    }
}
