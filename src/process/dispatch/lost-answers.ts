/**
 * What follows from answers of workers that get lost: how long workers may hold their reports back, and how soon a call is
 * made again. Pure.
 *
 * @remarks The load this answers: workers that leave three in a hundred calls unanswered, each for itself, while short
 * jobs have half a second of slack. A report that is held back for a second and then lost hides every end on its worker
 * for longer than that.
 *
 * While answers are lost workers hold reports back for a shorter time. That takes more requests of each worker, so it is done
 * only then. A lost order holds its task up until it is sent again; while a leader has little processor time all answers are
 * late, so it is sent again soon only where answers are known to get lost.
 */
import type { Millis } from "../../common/clock.js";
import { isLate } from "../../common/lateness.js";
import type { Lateness } from "../../common/lateness.js";

/** Longest wait: leases are renewed at least this often. */
const CALM_WAIT_MS: Millis = 1_000;
/** Wait while answers are lost: two thirds of a short job's slack, with the time until the second try, stay for the rest. */
const LOSSY_WAIT_MS: Millis = 250;
/** A lost answer counts for this long: with three in a hundred lost the next one comes within a second. */
const LOSS_MEMORY_MS: Millis = 4_000;
/** Reports a second, over all workers, that short waits may lead to: they are priced, and the leader has to take them in. */
const MAX_REPORTS_PER_S = 250;

/** Time after which a call is made again: seven times what 95 of 100 answers take, as a leader may be slow itself. */
const CALM_REPEAT_MS: Millis = 150;
/** The same while answers are lost: three times what 95 of 100 answers take. */
const LOSSY_REPEAT_MS: Millis = 60;

/** Turns of the event loop that a call and its answer take. */
const LATE_TURNS = 2;
/** Most that lateness adds: the second try must still fit into the time of the call. */
const LONGEST_LATE_MS: Millis = 200;

/** What one leader knows of lost answers; see the module comment. */
export class LostAnswers {
    private lastLossAt: Millis = -Infinity;

    /** @param lateness - How late this process is: answers that it reads late are not lost. */
    constructor(private readonly lateness: Lateness) {}

    /** Takes in that a worker left a call unanswered and answered a later one. */
    observeLoss(now: Millis): void {
        if (!isLate(this.lateness)) {
            this.lastLossAt = now;
        }
    }

    /**
     * Computes how long a worker may hold its next report back.
     * @param now - On our clock.
     * @param workerCount - Workers that are asked.
     */
    computeReportWait(now: Millis, workerCount: number): Millis {
        if (!this.hasLost(now)) {
            return CALM_WAIT_MS;
        }
        const affordable = workerCount / MAX_REPORTS_PER_S * 1_000;
        return Math.min(CALM_WAIT_MS, Math.max(LOSSY_WAIT_MS, affordable));
    }

    /**
     * Computes after how long without an answer a call is made again.
     * @param now - On our clock.
     */
    computeRepeatDelay(now: Millis): Millis {
        const repeatMs = this.hasLost(now) ? LOSSY_REPEAT_MS : CALM_REPEAT_MS;
        return repeatMs + Math.min(LONGEST_LATE_MS, this.lateness.getMeanLatenessMs() * LATE_TURNS);
    }

    /** Tells whether answers have been lost lately. */
    hasLost(now: Millis): boolean {
        return now - this.lastLossAt <= LOSS_MEMORY_MS;
    }
}
