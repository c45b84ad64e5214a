/** Judges the runs on workers by whether they may still crash them. */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";
import { computeProofMs } from "./crash-risk.js";
import type { QueueRisk } from "./crash-risk.js";
import type { Slot } from "./pool-view.js";
import { RunPhase } from "./worker-state.js";
import type { RunRecord, WorkerState } from "./worker-state.js";

/** The runs of risky queues at the time of one pass. */
export class RiskyRuns {
    /**
     * @param risky - The queues whose tasks crash workers.
     * @param now - On the leader's clock.
     */
    constructor(private readonly risky: ReadonlyMap<string, QueueRisk>, private readonly now: Millis) {}

    /** Tells whether a run is of no risky queue, or has proven harmless. */
    isProven({ queue, phase, orderedAt }: RunRecord): boolean {
        const risk = this.risky.get(queue);
        const hasBegun = phase === RunPhase.running || phase === RunPhase.stopping;
        return risk === undefined || hasBegun && this.now - orderedAt >= computeProofMs(risk);
    }

    /** Counts the runs on a worker that are of no risky queue. */
    countOthers({ worker }: Slot): number {
        return [...worker.runs.values()].filter(({ queue }) => !this.risky.has(queue)).length;
    }

    /** Tells whether a worker has a suspect; a long-running one that has proven harmless is none, as it never ends. */
    hasSuspect({ runs }: WorkerState): boolean {
        return [...runs.values()].some(run => run.hasEarlyLoss && !(run.isOpenEnded && this.isProven(run)));
    }

    /** Tells whether a worker has no run that may still crash it, those of one step aside. */
    isCalm(slot: Slot, step: Step): boolean {
        return slot.isUntouchedExceptFor(step) &&
            [...slot.worker.runs.values()].every(run => run.step === step.name || this.isProven(run));
    }

    /**
     * Tells whether only the step itself, and runs of risky queues that have proven harmless, are on a
     * worker.
     */
    isSafe(slot: Slot, step: Step): boolean {
        return slot.isUntouchedExceptFor(step) &&
            [...slot.worker.runs.values()].every(run =>
                run.step === step.name || this.risky.has(run.queue) && this.isProven(run)
            );
    }
}
