/**
 * Capacity that steps will probably use once their requests to the advice service are answered.
 *
 * @remarks Large gangs may arrive several times a second while each waits a second for its answer. Without
 * claims they would all request permits for the same emptiest workers, and all but the first would find them
 * full.
 */
import type { Step } from "../jobs/job.js";

interface Claim {
    readonly workerIds: readonly string[];
    /** Thousandths of a processor on each worker. */
    readonly cpuMillis: number;
}

/** Claims of the requests in flight. */
export class CapacityClaims {
    private readonly claims = new Map<Step, Claim>();
    private readonly claimed = new Map<string, number>();

    /**
     * Adds the claim of a request: the step's waiting tasks, spread evenly over the workers that it names.
     */
    add(step: Step, workerIds: readonly string[]): void {
        this.remove(step);
        const cpuMillis = step.spec.demand.cpuMillis * step.waiting / Math.max(1, workerIds.length);
        this.claims.set(step, { workerIds, cpuMillis });
        workerIds.forEach(workerId => this.updateSum(workerId, cpuMillis));
    }

    /** Removes the claim of a settled request. */
    remove(step: Step): void {
        const claim = this.claims.get(step);
        this.claims.delete(step);
        claim?.workerIds.forEach(workerId => this.updateSum(workerId, -claim.cpuMillis));
    }

    /** Returns how much of a worker's processors is claimed, in thousandths. */
    getCpu(workerId: string): number {
        return this.claimed.get(workerId) ?? 0;
    }

    private updateSum(workerId: string, cpuMillis: number): void {
        const sum = this.getCpu(workerId) + cpuMillis;
        // Sums of fractions miss zero by rounding errors.
        if (sum < 1) {
            this.claimed.delete(workerId);
        }
        else {
            this.claimed.set(workerId, sum);
        }
    }
}
