/** Runs of ended jobs that may still be on workers from which this leader has not heard. */
import type { Millis } from "../../common/clock.js";
import type { ChargedRun } from "../accounts/account-use.js";
import { isSameWorker } from "../ports/incarnation.js";
import type { LeaderContext } from "./context.js";

/** Runs that ended longer ago with their job have certainly been stopped, or their leases have expired. */
const MAX_AGE_MS: Millis = 60_000;

interface LeftOnWorker {
    readonly runs: ChargedRun[];
    /** When the leases that earlier leaders granted have expired at the latest. */
    readonly expiresAt: Millis;
}

/**
 * Counts such runs towards their accounts' quotas.
 *
 * @remarks A job that is cancelled or fails keeps its runs until they are stopped. A leader that is elected in between
 * finds neither the job's tasks nor, before the workers' first reports, the runs.
 */
export class LeftRuns {
    private readonly workers = new Map<string, LeftOnWorker>();

    constructor({ clock, jobs, inheritedLeases }: LeaderContext) {
        const oldest = clock.wallNow() - MAX_AGE_MS;
        for (const { endedAt, leftRuns, account } of jobs.listAll()) {
            for (const { workerId, demand } of endedAt > oldest ? leftRuns : []) {
                const expiresAt = inheritedLeases.computeEnd(jobs.adoptions.get(workerId));
                const left = this.workers.get(workerId) ?? { runs: [], expiresAt };
                left.runs.push({ account, demand });
                this.workers.set(workerId, left);
            }
        }
    }

    /** Lists the runs that count towards quotas. */
    *listCharged(): Iterable<ChargedRun> {
        for (const { runs } of this.workers.values()) {
            yield* runs;
        }
    }

    /** Forgets the runs of a worker, whose first report lists those that still exist. */
    forgetWorker(workerId: string): void {
        for (const id of this.workers.keys()) {
            if (isSameWorker(id, workerId)) {
                this.workers.delete(id);
            }
        }
    }

    /** Forgets the runs on workers whose leases have certainly expired. */
    dropExpired(now: Millis): void {
        for (const [workerId, { expiresAt }] of this.workers) {
            if (now > expiresAt) {
                this.workers.delete(workerId);
            }
        }
    }
}
