/** Runs of ended jobs that may still be on workers from which this leader has not heard. */
import type { Millis } from "../../common/clock.js";
import type { ChargedRun } from "../accounts/account-use.js";
import type { LeaderContext } from "./context.js";

/** Runs that ended longer ago with their job have certainly been stopped, or their leases have expired. */
const MAX_AGE_MS: Millis = 60_000;

/**
 * Counts such runs towards their accounts' quotas.
 *
 * @remarks A job that is cancelled or fails keeps its runs until they are stopped. A leader that is elected in between
 * finds neither the job's tasks nor, before the workers' first reports, the runs.
 */
export class LeftRuns {
    private readonly runsByWorker = new Map<string, ChargedRun[]>();
    /** When the leases that earlier leaders granted have expired at the latest, by worker. */
    private readonly expiryByWorker = new Map<string, Millis>();

    constructor(private readonly context: LeaderContext) {
        const oldest = context.clock.wallNow() - MAX_AGE_MS;
        for (const job of context.jobs.listAll()) {
            if (job.endedAt > oldest) {
                job.leftRuns.forEach(({ workerId, demand }) =>
                    this.add(workerId, { account: job.account, demand })
                );
            }
        }
    }

    /** Lists the runs that count towards quotas. */
    *listCharged(): Iterable<ChargedRun> {
        for (const runs of this.runsByWorker.values()) {
            yield* runs;
        }
    }

    /** Forgets the runs of a worker, whose first report lists those that still exist. */
    forgetWorker(workerId: string): void {
        this.runsByWorker.delete(workerId);
    }

    /** Forgets the runs on workers whose leases have certainly expired. */
    dropExpired(now: Millis): void {
        for (const workerId of this.runsByWorker.keys()) {
            if (now > (this.expiryByWorker.get(workerId) ?? -Infinity)) {
                this.runsByWorker.delete(workerId);
            }
        }
    }

    private add(workerId: string, run: ChargedRun): void {
        const { jobs, inheritedLeases } = this.context;
        this.expiryByWorker.set(workerId, inheritedLeases.computeEnd(jobs.adoptions.get(workerId)?.epoch));
        this.runsByWorker.set(workerId, [...this.runsByWorker.get(workerId) ?? [], run]);
    }
}
