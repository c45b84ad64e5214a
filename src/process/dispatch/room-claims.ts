/**
 * Room that steps will probably take once their questions to the advice service are answered.
 *
 * @remarks The load this answers: large gangs that arrive several times a second while each waits a second for its
 * answer. All of them asked about the same emptiest workers, and all but the first found them full.
 */
import type { Step } from "../jobs/job.js";

interface Claim {
    readonly workerIds: readonly string[];
    /** Thousandths of a processor on each worker. */
    readonly cpuMillis: number;
}

/** Claims of questions under way. */
export class RoomClaims {
    private readonly claims = new Map<Step, Claim>();
    private readonly claimed = new Map<string, number>();

    /** Takes in a question: the step's tasks will be spread over the workers that it names. */
    add(step: Step, workerIds: readonly string[]): void {
        this.remove(step);
        const cpuMillis = step.spec.demand.cpuMillis * step.waiting / Math.max(1, workerIds.length);
        this.claims.set(step, { workerIds, cpuMillis });
        workerIds.forEach(workerId => this.updateSum(workerId, cpuMillis));
    }

    /** Takes in that a question is settled. */
    remove(step: Step): void {
        const claim = this.claims.get(step);
        this.claims.delete(step);
        claim?.workerIds.forEach(workerId => this.updateSum(workerId, -claim.cpuMillis));
    }

    /** Returns what is claimed of a worker's processors, in thousandths. */
    getCpu(workerId: string): number {
        return this.claimed.get(workerId) ?? 0;
    }

    private updateSum(workerId: string, cpuMillis: number): void {
        const sum = this.getCpu(workerId) + cpuMillis;
        // Sums of fractions miss zero by a little.
        if (sum < 1) {
            this.claimed.delete(workerId);
        }
        else {
            this.claimed.set(workerId, sum);
        }
    }
}
