/**
 * Ejects workers that fail work which succeeds on other workers.
 *
 * @remarks A worker that fails everything immediately always looks free and would attract all work. A task
 * that fails everywhere must not eject the whole fleet, so a failure counts against a worker only if the
 * branch fails on fewer than half of the other workers that ran it; a cap limits how many workers are ejected
 * at once.
 */
import type { Clock, Millis } from "../../common/clock.js";
import type { CellSettings } from "../../version/settings.js";

/** Longest ejection, as a multiple of `cell.ejectionMs`. */
const MAX_EJECTION_FACTOR = 16;
/** Weight of the latest result in the exponentially weighted failure rate. */
const RATE_WEIGHT = 0.2;
/**
 * A worker fails a branch if its failure rate there is above this; the branch itself is at fault if at least
 * this share of the other workers fails it.
 */
const BRANCH_FAILURE_SHARE = 0.5;

interface WorkerState {
    consecutiveFailures: number;
    ejectedUntil: Millis | undefined;
    /** Multiplier of the ejection time; doubles with each ejection and returns to 1 after a success. */
    ejectionFactor: number;
    /** Set by an ejection until the first success: a single failure ejects the worker again. */
    onProbation: boolean;
}

/** Tracks the health of one placer's workers by the results of the work that ran on them. */
export class WorkerHealth {
    private readonly workers = new Map<string, WorkerState>();
    /** Failure rate by branch and worker, exponentially weighted. */
    private readonly branchRates = new Map<string, Map<string, number>>();

    constructor(
        private readonly clock: Clock,
        private readonly getCell: () => CellSettings,
    ) {}

    add(workerId: string): void {
        if (!this.workers.has(workerId)) {
            this.workers.set(workerId, {
                consecutiveFailures: 0,
                ejectedUntil: undefined,
                ejectionFactor: 1,
                onProbation: false,
            });
        }
    }

    remove(workerId: string): void {
        this.workers.delete(workerId);
    }

    /**
     * Records a result.
     * @returns Whether it caused the worker to be ejected.
     */
    observe(workerId: string, branch: string, failed: boolean): boolean {
        const state = this.workers.get(workerId);
        this.trackBranch(branch, workerId, failed);
        if (state === undefined) {
            return false;
        }
        if (!failed) {
            state.consecutiveFailures = 0;
            state.ejectionFactor = 1;
            state.onProbation = false;
            return false;
        }
        // Work already running when the worker was ejected may fail too; it must not extend the ejection.
        if (this.isEjected(workerId) || this.isBranchFailing(branch, workerId)) {
            return false;
        }
        state.consecutiveFailures++;
        const limit = state.onProbation ? 1 : this.getCell().ejectionFailures;
        if (state.consecutiveFailures < limit || !this.canEject()) {
            return false;
        }
        state.ejectedUntil = this.clock.now() + this.getCell().ejectionMs * state.ejectionFactor;
        state.ejectionFactor = Math.min(MAX_EJECTION_FACTOR, state.ejectionFactor * 2);
        state.consecutiveFailures = 0;
        state.onProbation = true;
        return true;
    }

    /** Whether a worker is ejected now. */
    isEjected(workerId: string): boolean {
        const until = this.workers.get(workerId)?.ejectedUntil;
        return until !== undefined && this.clock.now() < until;
    }

    /** Takes the workers whose ejection has ended since the last call; they return on probation. */
    takeReadmitted(): readonly string[] {
        const now = this.clock.now();
        const readmitted: string[] = [];
        for (const [workerId, state] of this.workers) {
            if (state.ejectedUntil !== undefined && now >= state.ejectedUntil) {
                state.ejectedUntil = undefined;
                readmitted.push(workerId);
            }
        }
        return readmitted;
    }

    private canEject(): boolean {
        let ejected = 0;
        for (const workerId of this.workers.keys()) {
            ejected += this.isEjected(workerId) ? 1 : 0;
        }
        // With more than one worker, one may always be ejected; by the share alone a small cell could eject
        // none.
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

    /** Whether the branch fails on at least half of the other workers that ran it. */
    private isBranchFailing(branch: string, workerId: string): boolean {
        const others = [...this.branchRates.get(branch) ?? []].filter(([other]) => other !== workerId);
        if (others.length === 0) {
            return false;
        }
        const failing = others.filter(([, rate]) => rate > BRANCH_FAILURE_SHARE).length;
        return failing / others.length >= BRANCH_FAILURE_SHARE;
    }
}
