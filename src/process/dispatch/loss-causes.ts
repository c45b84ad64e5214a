/**
 * Recognizes workers that were lost together for a reason other than their tasks, such as a power failure.
 *
 * @remarks A task crashes its worker within milliseconds of its start. If several workers may have been lost at
 * one moment and nothing had just started on most of them then, they have a common cause, and what had just
 * started on the others was lost by coincidence.
 */
import type { Millis } from "../../common/clock.js";

/** The loss of a worker: its process has ended, or it does not answer. */
export interface WorkerLossSpan {
    readonly workerId: string;
    /** When the worker was last known to be alive. */
    readonly aliveAt: Millis;
    /** When the loss became known. */
    readonly lostAt: Millis;
    /** When the runs were ordered that it had. */
    readonly orderedAt: readonly Millis[];
}

/** How long losses are remembered; runs on a silent worker are declared lost some seconds after its loss. */
const MEMORY_MS: Millis = 15_000;
/** Time from the order of a run until a crash that it causes, at most. */
const MAX_CRASH_DELAY_MS: Millis = 100;
/** Time over which losses that happened together become known, at most. */
const MAX_SPREAD_MS: Millis = 250;
/** Least number of workers in a group on which nothing had just started. */
const MIN_WITHOUT_SUSPECT = 4;
/** Least share of such workers in the group. */
const MIN_SHARE_WITHOUT_SUSPECT = 1 / 2;

/** Workers that were lost together for a reason other than their tasks. */
export interface CommonLoss {
    readonly workerIds: readonly string[];
    /** On how many of them nothing had just started. */
    readonly withoutSuspect: number;
}

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
     * Finds the workers with which a worker was lost for a reason other than their tasks.
     * @returns Undefined if tasks may have caused the loss.
     */
    findCommonLoss(workerId: string): CommonLoss | undefined {
        const loss = this.losses.get(workerId);
        if (loss === undefined) {
            return undefined;
        }
        const losses = [...this.losses.values()];
        return this.findByContact(loss, losses) ?? this.findByMoment(loss, losses);
    }

    /** Judges all workers that may have been lost together by what had just started when each was last heard. */
    private findByContact(loss: WorkerLossSpan, losses: readonly WorkerLossSpan[]): CommonLoss | undefined {
        const together = losses.filter(other => other.aliveAt <= loss.lostAt && loss.aliveAt <= other.lostAt);
        return findCommon(together, ({ aliveAt }) => aliveAt);
    }

    /**
     * Judges workers whose losses became known together by what had just started at one moment. If they were lost
     * at once, it was when the last one of them was heard, or soon after.
     */
    private findByMoment(loss: WorkerLossSpan, losses: readonly WorkerLossSpan[]): CommonLoss | undefined {
        const near = losses.filter(({ lostAt }) => Math.abs(lostAt - loss.lostAt) <= MAX_SPREAD_MS);
        for (const { aliveAt: moment } of near.filter(({ aliveAt }) => isLostAt(loss, aliveAt))) {
            const found = findCommon(near.filter(other => isLostAt(other, moment)), () => moment);
            if (found !== undefined) {
                return found;
            }
        }
        return undefined;
    }

    private forgetOld(now: Millis): void {
        for (const { workerId, lostAt } of this.losses.values()) {
            if (now - lostAt >= MEMORY_MS) {
                this.losses.delete(workerId);
            }
        }
    }
}

/** Tells whether a worker may have been lost at a moment. */
function isLostAt({ aliveAt, lostAt }: WorkerLossSpan, moment: Millis): boolean {
    return aliveAt <= moment && moment <= lostAt;
}

/** @param getMoment - Returns when a worker was lost. */
function findCommon(
    together: readonly WorkerLossSpan[],
    getMoment: (loss: WorkerLossSpan) => Millis,
): CommonLoss | undefined {
    const withoutSuspect =
        together.filter(loss => loss.orderedAt.every(at => at < getMoment(loss) - MAX_CRASH_DELAY_MS)).length;
    const isCommon = withoutSuspect >= MIN_WITHOUT_SUSPECT &&
        withoutSuspect >= together.length * MIN_SHARE_WITHOUT_SUSPECT;
    return isCommon ? { workerIds: together.map(({ workerId }) => workerId), withoutSuspect } : undefined;
}
