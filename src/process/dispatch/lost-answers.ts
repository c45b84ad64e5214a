/**
 * Adapts report waits and hedge delays to workers whose answers get lost.
 *
 * @remarks Some workers leave three in a hundred calls unanswered, while short jobs have half a second of
 * slack. A report that is held back for a second and then lost hides every ended run on its worker for longer
 * than that, so workers hold reports back for a shorter time while answers are lost. That takes more requests
 * per worker, so it is done only then. A lost order delays its task until the order is sent again. A leader
 * that is short of processor time reads all answers late, so the shorter hedge delay applies only where
 * answers are known to get lost.
 */
import type { Millis } from "../../common/clock.js";
import { isLate } from "../../common/lateness.js";
import type { Lateness } from "../../common/lateness.js";

/** Longest wait: leases are renewed at least this often. */
export const NORMAL_REPORT_WAIT_MS: Millis = 1_000;
/**
 * Wait while answers are lost: together with the hedge delay it leaves two thirds of a short job's slack for
 * the rest.
 */
const LOSSY_REPORT_WAIT_MS: Millis = 250;
/** How long a lost answer counts: with three in a hundred lost, the next one follows within a second. */
const LOSS_MEMORY_MS: Millis = 4_000;
/**
 * Reports per second, over all workers, that short waits may cause: they are charged for, and the leader has
 * to process them.
 */
const MAX_REPORTS_PER_S = 250;

/** Delay before a call is hedged: seven times what 95% of answers take, as the leader itself may be slow. */
const NORMAL_HEDGE_DELAY_MS: Millis = 150;
/** The same while answers are lost: three times what 95% of answers take. */
const LOSSY_HEDGE_DELAY_MS: Millis = 60;

/** Iterations of the event loop that a call and its answer take. */
const LATE_LOOP_ITERATIONS = 2;
/** Longest delay that the process's own lateness adds: the hedge must still fit into the time of the call. */
const MAX_LATENESS_MS: Millis = 200;

/** Answers that one leader's workers lost lately. */
export class LostAnswers {
    private lastLossAt: Millis = -Infinity;

    /** @param lateness - Of this process: answers that it reads late are not lost. */
    constructor(private readonly lateness: Lateness) {}

    /** Records that a worker left a call unanswered and answered a later one. */
    observeLoss(now: Millis): void {
        if (!isLate(this.lateness)) {
            this.lastLossAt = now;
        }
    }

    /**
     * Computes how long a worker may hold its next report back.
     * @param now - On the leader's clock.
     * @param workerCount - Number of workers that are asked for reports.
     */
    computeReportWait(now: Millis, workerCount: number): Millis {
        if (!this.hasLost(now)) {
            return NORMAL_REPORT_WAIT_MS;
        }
        const affordableMs = workerCount / MAX_REPORTS_PER_S * 1_000;
        return Math.min(NORMAL_REPORT_WAIT_MS, Math.max(LOSSY_REPORT_WAIT_MS, affordableMs));
    }

    /**
     * Computes the time without an answer after which a call is hedged.
     * @param now - On the leader's clock.
     */
    computeHedgeDelay(now: Millis): Millis {
        const delayMs = this.hasLost(now) ? LOSSY_HEDGE_DELAY_MS : NORMAL_HEDGE_DELAY_MS;
        return delayMs + Math.min(MAX_LATENESS_MS, this.lateness.getMeanLatenessMs() * LATE_LOOP_ITERATIONS);
    }

    hasLost(now: Millis): boolean {
        return now - this.lastLossAt <= LOSS_MEMORY_MS;
    }
}
