/** Says which queues with open jobs are missing from the configuration in force. */
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { LeaderContext } from "./context.js";

/**
 * The check; see the module comment.
 *
 * @remarks Failure guarded against: the operator has removed a queue with open jobs that an earlier version accepted, without
 * recording its settings. They are left out of every pass, so they neither run nor end, and their callers wait. Each queue is
 * named once.
 */
export class MissingQueues {
    private checked: ClusterConfig | undefined;
    private missing: ReadonlySet<string> = new Set();

    /** @param context - Shared parts. */
    constructor(private readonly context: LeaderContext) {}

    /** Looks at the configuration in force, if it was not looked at yet. */
    check(): void {
        const config = this.context.getConfig();
        if (config === this.checked) {
            return;
        }
        this.checked = config;
        const openJobs = this.countOpenJobs();
        for (const [queue, jobs] of openJobs) {
            if (!this.missing.has(queue)) {
                this.context.log.warn("CR1618", "queueMissing", {
                    queue,
                    openJobs: jobs,
                    configVersion: config.version,
                });
            }
        }
        this.missing = new Set(openJobs.keys());
    }

    /** Counts the open jobs of each missing queue. */
    private countOpenJobs(): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        for (const { queue } of this.context.book.listOpen()) {
            if (this.context.findQueueByName(queue) === undefined) {
                counts.set(queue, (counts.get(queue) ?? 0) + 1);
            }
        }
        return counts;
    }
}
