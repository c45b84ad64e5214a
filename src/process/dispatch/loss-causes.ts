/**
 * Recognizes workers that were lost together for a reason other than their tasks, such as a power failure.
 *
 * @remarks A task crashes its worker within milliseconds of its start. If nothing had just started on most of the
 * workers that were lost at one moment, what had just started on the others was lost by coincidence.
 */
import type { Millis } from "../../common/clock.js";
import { computeMax } from "../../common/lists.js";

/** The loss of a worker: its process has ended, or it does not answer. */
export interface WorkerLossSpan {
    readonly workerId: string;
    /** When the worker was last known to be alive. */
    readonly aliveAt: Millis;
    /** When the loss became known. */
    readonly lostAt: Millis;
    /** When the last of its runs was ordered; -Infinity if it had none. */
    readonly lastOrderedAt: Millis;
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
    /** Findings about workers since the last change of the losses. */
    private readonly findings = new Map<string, CommonLoss | undefined>();

    /** Records a loss; of several losses of one worker the first counts. */
    observe(loss: WorkerLossSpan): void {
        this.forgetOld(loss.lostAt);
        if (!this.losses.has(loss.workerId)) {
            this.losses.set(loss.workerId, loss);
            this.findings.clear();
        }
    }

    /** Withdraws the loss of a worker that answers again. */
    withdraw(workerId: string): void {
        if (this.losses.delete(workerId)) {
            this.findings.clear();
        }
    }

    /**
     * Finds the workers with which a worker was lost for a reason other than their tasks.
     * @returns Undefined if tasks may have caused the loss.
     */
    findCommonLoss(workerId: string): CommonLoss | undefined {
        const loss = this.losses.get(workerId);
        if (loss === undefined || this.findings.has(workerId)) {
            return this.findings.get(workerId);
        }
        const losses = [...this.losses.values()];
        const found = findByContact(loss, losses) ?? findByMoment(loss, losses);
        this.findings.set(workerId, found);
        return found;
    }

    private forgetOld(now: Millis): void {
        for (const { workerId, lostAt } of this.losses.values()) {
            if (now - lostAt >= MEMORY_MS) {
                this.withdraw(workerId);
            }
        }
    }
}

/** Judges all workers that may have been lost together by what had just started when each was last heard. */
function findByContact(loss: WorkerLossSpan, losses: readonly WorkerLossSpan[]): CommonLoss | undefined {
    const together = losses.filter(other => other.aliveAt <= loss.lostAt && loss.aliveAt <= other.lostAt);
    return findCommon(together, ({ aliveAt }) => aliveAt);
}

/**
 * Judges workers whose losses became known together by what had just started at one moment. If they were lost at
 * once, it was when the last one of them was heard, or soon after.
 */
function findByMoment(loss: WorkerLossSpan, losses: readonly WorkerLossSpan[]): CommonLoss | undefined {
    const near = losses.filter(({ lostAt, aliveAt }) =>
        Math.abs(lostAt - loss.lostAt) <= MAX_SPREAD_MS && aliveAt <= loss.lostAt
    );
    const moment = computeMax(near.map(({ aliveAt }) => aliveAt));
    return findCommon(near.filter(({ lostAt }) => lostAt >= moment), () => moment);
}

/** @param getMoment - Returns when a worker was lost. */
function findCommon(
    together: readonly WorkerLossSpan[],
    getMoment: (loss: WorkerLossSpan) => Millis,
): CommonLoss | undefined {
    const withoutSuspect =
        together.filter(loss => loss.lastOrderedAt < getMoment(loss) - MAX_CRASH_DELAY_MS).length;
    const isCommon = withoutSuspect >= MIN_WITHOUT_SUSPECT &&
        withoutSuspect >= together.length * MIN_SHARE_WITHOUT_SUSPECT;
    return isCommon ? { workerIds: together.map(({ workerId }) => workerId), withoutSuspect } : undefined;
}
