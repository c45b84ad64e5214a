/** The settings that jobs of a queue follow: those in force, or those that the queue had last. */
import type { ClusterConfig, QueueConfig } from "../../version/cluster-config.js";
import type { LeaderContext } from "./context.js";

/**
 * The settings; see the module comment.
 *
 * @remarks Failure guarded against: the operator removes a queue that has accepted jobs. Without settings their tasks had
 * no place in the order of waiting work and no limit of attempts, so they stood still for good. The settings are recorded
 * before the first job that needs them and with each change, so any later leader has them, also one that never saw the
 * queue in a configuration.
 */
export class QueueSettings {
    private indexedConfig: ClusterConfig | undefined;
    private queuesByName: ReadonlyMap<string, QueueConfig> = new Map();

    /** @param context - Shared parts; its book keeps the settings of queues with open jobs. */
    constructor(private readonly context: LeaderContext) {}

    /**
     * Finds the settings for a queue's jobs. Called for every waiting step of a pass and every end, among up to hundreds of
     * queues.
     */
    find(name: string): QueueConfig | undefined {
        const config = this.context.getConfig();
        const kept = this.context.book.getQueue(name);
        const current = this.getQueues(config).get(name);
        // A leader on a node that lags must not go back to settings that an earlier leader has replaced.
        const isOutdated = kept !== undefined && kept.version > config.version;
        return current === undefined || isOutdated ? kept?.queue : current;
    }

    /** Records the settings in force of a queue that is about to have an open job, where they are not kept yet. */
    store(queue: QueueConfig): void {
        const { version } = this.context.getConfig();
        const kept = this.context.book.getQueue(queue.name);
        const isOutdated = kept !== undefined && kept.version > version;
        if (!isOutdated && !isSame(kept?.queue, queue)) {
            this.context.record({ type: "queueConfigured", version, queue });
        }
    }

    /** Records the settings in force of all queues with open jobs. Call it when another configuration is in force. */
    storeAll(): void {
        const config = this.context.getConfig();
        const queues = this.getQueues(config);
        for (const name of this.context.book.listOpenQueues()) {
            const current = queues.get(name);
            if (current !== undefined) {
                this.store(current);
            }
        }
    }

    /**
     * Forgets the settings of queues that were dropped and have nothing left to run. That is an event of its own: what
     * a later leader keeps must not depend on jobs whose acceptance this one withdraws.
     */
    forgetUnused(): void {
        const config = this.context.getConfig();
        const current = this.getQueues(config);
        const needed = this.context.book.listOpenQueues();
        for (const { version, queue: { name } } of [...this.context.book.listQueues()]) {
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

/** Compares as text, in which a setting that is left out is the same as one that is undefined. */
function isSame(kept: QueueConfig | undefined, queue: QueueConfig): boolean {
    return kept === queue || JSON.stringify(kept) === JSON.stringify(queue);
}
