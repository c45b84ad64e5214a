/**
 * Recognizes workers that were lost together for a reason other than their tasks, such as a power failure.
 *
 * @remarks A task crashes its worker within milliseconds of its start. If several workers are lost at about the
 * same time and nothing had just started on many of them, they have a common cause, and what had just started on
 * the others was lost by coincidence.
 */
import type { Millis } from "../../common/clock.js";

/** The loss of a worker: its process has ended, or it does not answer. */
export interface WorkerLossSpan {
    readonly workerId: string;
    /** When the worker was last known to be alive. */
    readonly aliveAt: Millis;
    /** When the loss became known. */
    readonly lostAt: Millis;
    /** Whether a task had just started there, which may have crashed it. */
    readonly hasSuspect: boolean;
}

/** How long losses are remembered; runs on a silent worker are declared lost some seconds after its loss. */
const MEMORY_MS: Millis = 15_000;
/** Least number of workers without a suspect task in a group with a common cause. */
const MIN_WITHOUT_SUSPECT = 2;
/** Least share of such workers in the group. */
const MIN_SHARE_WITHOUT_SUSPECT = 1 / 3;

/** Recent losses of workers. */
export class LossCauses {
    private losses = new Map<string, WorkerLossSpan>();

    /** Records a loss; of several losses of one worker the first counts. */
    observe(loss: WorkerLossSpan): void {
        this.forgetOld(loss.lostAt);
        if (!this.losses.has(loss.workerId)) {
            this.losses.set(loss.workerId, loss);
        }
    }

    /** Withdraws the loss of a worker that answers again. */
    withdraw(workerId: string): void {
        this.losses.delete(workerId);
    }

    /**
     * Lists the workers that were lost together with a worker, itself included, for a reason other than their
     * tasks.
     * @returns An empty list if tasks may have caused the loss.
     */
    listCommonLosses(workerId: string): readonly WorkerLossSpan[] {
        const loss = this.losses.get(workerId);
        if (loss === undefined) {
            return [];
        }
        const together = [...this.losses.values()].filter(other => isOverlapping(loss, other));
        const withoutSuspect = together.filter(({ hasSuspect }) => !hasSuspect).length;
        const isCommon = withoutSuspect >= MIN_WITHOUT_SUSPECT &&
            withoutSuspect >= together.length * MIN_SHARE_WITHOUT_SUSPECT;
        return isCommon ? together : [];
    }

    private forgetOld(now: Millis): void {
        for (const { workerId, lostAt } of this.losses.values()) {
            if (now - lostAt >= MEMORY_MS) {
                this.losses.delete(workerId);
            }
        }
    }
}

/** Tells whether two workers may have been lost at the same time. */
function isOverlapping(left: WorkerLossSpan, right: WorkerLossSpan): boolean {
    return left.aliveAt <= right.lostAt && right.aliveAt <= left.lostAt;
}
