/** The newest configuration that this process has seen. Versions only rise. */
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { Log } from "../telemetry.js";

/** Version 0, before the operator has put any in force. */
const EMPTY_CONFIG: ClusterConfig = { version: 0, queues: [], pools: [], maxBodyBytes: 262_144 };

/**
 * Holds the configuration.
 *
 * @remarks Failure guarded against: a watch that starts again on a lagging copy, or a node that has been cut off,
 * passes on an older version, and queues that were removed come back. A lower version never replaces a higher one.
 */
export class ConfigHolder {
    private current = EMPTY_CONFIG;
    private readonly listeners: ((config: ClusterConfig) => void)[] = [];

    /** @param log - Has a line for each version that comes into force. */
    constructor(private readonly log: Log) {}

    /** Returns the version in force. */
    get(): ClusterConfig {
        return this.current;
    }

    /** Calls back with each version that comes into force. */
    subscribe(listener: (config: ClusterConfig) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Takes in a version.
     * @param config - What was seen.
     * @param source - Where, for the log.
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
