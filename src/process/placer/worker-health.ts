/**
 * Ejects workers that fail what others do well.
 *
 * @remarks The failure it guards against: a worker that fails everything at once looks free and draws all work
 * to itself. It shows as a burst of failures from one worker. A task that fails everywhere must not eject the
 * fleet, so failures are held against a worker only while other workers' recent results are mostly good and the
 * failing branch succeeds elsewhere; a cap bounds how many workers are out at once.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { CellSettings } from "../../version/settings.js";

/** Longest ejection, as a multiple of `cell.ejectionMs`. */
const MAX_EJECTION_FACTOR = 16;
/** Weight of the newest result in a failure rate. */
const RATE_WEIGHT = 0.2;
/** Share of failures in a branch, over other workers, above which the branch itself is to blame. */
const BLAME_BRANCH_SHARE = 0.5;

interface Health {
    /** Failures in a row. */
    failures: number;
    ejectedUntil: Millis | undefined;
    /** Doubles with each ejection, back to 1 after a success. */
    factor: number;
    /** Set after an ejection until the first result: one more failure ejects again. */
    onTrial: boolean;
}

/** Judges the workers of one placer by the results of what ran on them. */
export class WorkerHealth {
    private readonly workers = new Map<string, Health>();
    /** Failure rate by branch and worker, exponentially weighted. */
    private readonly branchRates = new Map<string, Map<string, number>>();

    constructor(
        private readonly clock: Clock,
        private readonly getCell: () => CellSettings,
    ) {}

    add(workerId: string): void {
        if (!this.workers.has(workerId)) {
            this.workers.set(workerId, { failures: 0, ejectedUntil: undefined, factor: 1, onTrial: false });
        }
    }

    remove(workerId: string): void {
        this.workers.delete(workerId);
    }

    /**
     * Takes in a result.
     * @returns Whether the worker was ejected by it.
     */
    observe(workerId: string, branch: string, failed: boolean): boolean {
        const health = this.workers.get(workerId);
        this.trackBranch(branch, workerId, failed);
        if (health === undefined) {
            return false;
        }
        if (!failed) {
            health.failures = 0;
            health.factor = 1;
            health.onTrial = false;
            return false;
        }
        // Work that was under way when it was ejected fails too: that is not a second reason.
        if (this.isEjected(workerId) || this.isBranchToBlame(branch, workerId)) {
            return false;
        }
        health.failures++;
        const limit = health.onTrial ? 1 : this.getCell().ejectionFailures;
        if (health.failures < limit || !this.hasRoomToEject()) {
            return false;
        }
        health.ejectedUntil = this.clock.now() + this.getCell().ejectionMs * health.factor;
        health.factor = Math.min(MAX_EJECTION_FACTOR, health.factor * 2);
        health.failures = 0;
        health.onTrial = true;
        return true;
    }

    /** Whether a worker is out now. */
    isEjected(workerId: string): boolean {
        const until = this.workers.get(workerId)?.ejectedUntil;
        return until !== undefined && this.clock.now() < until;
    }

    /** Lists workers whose ejection has ended since the last call; they come back on trial. */
    takeReadmitted(): readonly string[] {
        const now = this.clock.now();
        const readmitted: string[] = [];
        for (const [workerId, health] of this.workers) {
            if (health.ejectedUntil !== undefined && now >= health.ejectedUntil) {
                health.ejectedUntil = undefined;
                readmitted.push(workerId);
            }
        }
        return readmitted;
    }

    private hasRoomToEject(): boolean {
        let ejected = 0;
        for (const workerId of this.workers.keys()) {
            ejected += this.isEjected(workerId) ? 1 : 0;
        }
        // At least one may always be out when there is more than one worker, or a small cell could eject none.
        const cap = Math.max(
            this.workers.size > 1 ? 1 : 0,
            Math.floor(this.workers.size * this.getCell().ejectionCap),
        );
        return ejected < cap;
    }

    private trackBranch(branch: string, workerId: string, failed: boolean): void {
        const rates = this.branchRates.get(branch) ?? new Map<string, number>();
        this.branchRates.set(branch, rates);
        const rate = rates.get(workerId) ?? 0;
        rates.set(workerId, rate + (Number(failed) - rate) * RATE_WEIGHT);
    }

    /** Whether the branch fails on most other workers too. */
    private isBranchToBlame(branch: string, workerId: string): boolean {
        const others = [...this.branchRates.get(branch) ?? []].filter(([other]) => other !== workerId);
        if (others.length === 0) {
            return false;
        }
        const failing = others.filter(([, rate]) => rate > BLAME_BRANCH_SHARE).length;
        return failing / others.length >= BLAME_BRANCH_SHARE;
    }
}
