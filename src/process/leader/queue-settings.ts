/** The settings that apply to the jobs of a queue: those in force, or the last ones of a removed queue. */
import type { ClusterConfig, QueueConfig } from "../../version/cluster-config.js";
import type { LeaderContext } from "./context.js";

/**
 * Looks up and records the settings of queues with open jobs.
 *
 * @remarks An operator may remove a queue that has accepted jobs. Without settings their tasks could neither
 * be ranked nor limited in their attempts, and would never run. The settings are recorded before the first
 * job that needs them and with each change, so every later leader has them, even if it never saw the queue in
 * a configuration.
 */
export class QueueSettings {
    private indexedConfig: ClusterConfig | undefined;
    private queuesByName: ReadonlyMap<string, QueueConfig> = new Map();

    constructor(private readonly context: LeaderContext) {}

    /**
     * Finds the settings for a queue's jobs. Must be fast: it is called for every waiting step of a pass and
     * for every end, with up to hundreds of queues.
     */
    find(name: string): QueueConfig | undefined {
        const config = this.context.getConfig();
        const recorded = this.context.jobs.getQueue(name);
        const current = this.getQueues(config).get(name);
        // A leader whose configuration lags must not return to settings that an earlier leader has replaced.
        const isOutdated = recorded !== undefined && recorded.version > config.version;
        return current === undefined || isOutdated ? recorded?.queue : current;
    }

    /**
     * Records the settings in force of a queue that is about to have an open job, unless they are recorded
     * already.
     */
    store(queue: QueueConfig): void {
        const { version } = this.context.getConfig();
        const recorded = this.context.jobs.getQueue(queue.name);
        const isOutdated = recorded !== undefined && recorded.version > version;
        if (!isOutdated && !isSame(recorded?.queue, queue)) {
            this.context.record({ type: "queueConfigured", version, queue });
        }
    }

    /**
     * Records the settings in force of all queues with open jobs. Must be called when the configuration
     * changes.
     */
    storeAll(): void {
        const config = this.context.getConfig();
        const queues = this.getQueues(config);
        for (const name of this.context.jobs.listOpenQueues()) {
            const current = queues.get(name);
            if (current !== undefined) {
                this.store(current);
            }
        }
    }

    /**
     * Forgets the settings of queues that were removed and have no open jobs. This is an event of its own,
     * because the state that a later leader rebuilds must not depend on jobs whose acceptance this leader
     * withdraws.
     */
    forgetUnused(): void {
        const config = this.context.getConfig();
        const current = this.getQueues(config);
        const needed = this.context.jobs.listOpenQueues();
        for (const { version, queue: { name } } of [...this.context.jobs.listQueues()]) {
            if (!needed.has(name) && !current.has(name) && version <= config.version) {
                this.context.record({ type: "queueForgotten", name });
            }
        }
    }

    private getQueues(config: ClusterConfig): ReadonlyMap<string, QueueConfig> {
        if (config !== this.indexedConfig) {
            this.indexedConfig = config;
            this.queuesByName = new Map(config.queues.map(queue => [queue.name, queue]));
        }
        return this.queuesByName;
    }
}

/** Compares the JSON texts, so that an omitted setting equals an undefined one. */
function isSame(recorded: QueueConfig | undefined, queue: QueueConfig): boolean {
    return recorded === queue || JSON.stringify(recorded) === JSON.stringify(queue);
}
