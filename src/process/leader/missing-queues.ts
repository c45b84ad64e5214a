/** Logs the queues that have open jobs but no settings. */
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { LeaderContext } from "./context.js";

/**
 * Logs each queue with open jobs once when it is found to have no settings.
 *
 * @remarks This happens when an operator removes a queue whose jobs were accepted by an earlier version that
 * did not record the queue's settings. The jobs are left out of every pass, so they neither run nor end, and
 * their callers wait.
 */
export class MissingQueues {
    private checkedConfig: ClusterConfig | undefined;
    private loggedQueues: ReadonlySet<string> = new Set();

    constructor(private readonly context: LeaderContext) {}

    /** Checks the configuration in force, unless it has been checked already. */
    check(): void {
        const config = this.context.getConfig();
        if (config === this.checkedConfig) {
            return;
        }
        this.checkedConfig = config;
        const openJobs = this.countOpenJobs();
        for (const [queue, jobs] of openJobs) {
            if (!this.loggedQueues.has(queue)) {
                this.context.log.warn("CR1618", "queueMissing", {
                    queue,
                    openJobs: jobs,
                    configVersion: config.version,
                });
            }
        }
        this.loggedQueues = new Set(openJobs.keys());
    }

    /** Counts the open jobs of each missing queue. */
    private countOpenJobs(): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        for (const { queue } of this.context.jobs.listOpen()) {
            if (this.context.findQueueByName(queue) === undefined) {
                counts.set(queue, (counts.get(queue) ?? 0) + 1);
            }
        }
        return counts;
    }
}
