/** Decides which calls of a leader to its workers are repeated, or made earlier than usual. */
import type { Millis } from "../../common/clock.js";
import { RetryBudget } from "../../common/retry-budget.js";
import { LostAnswers, NORMAL_REPORT_WAIT_MS } from "../dispatch/lost-answers.js";
import type { SessionListener } from "../dispatch/worker-session.js";
import type { LeaderContext } from "./context.js";

/**
 * Tokens that each call to a worker adds; a hedge takes one.
 *
 * @remarks Workers lose a few answers in a hundred, while a full link of this node delays most of them. Repeated calls
 * would keep the link full, and nothing tells the two apart in time, so their number is bounded.
 */
const HEDGED_SHARE = 0.2;
const HEDGE_BUDGET = { maxTokens: 50, initialTokens: 50 };
/** The same for reports that are requested early, so that these do not take the tokens of hedges. */
const EARLY_SHARE = 0.1;
const EARLY_BUDGET = { maxTokens: 20, initialTokens: 20 };

/** The part of a session's listener that concerns repeated calls. */
export type RepeatsListener = Pick<
    SessionListener,
    "computeReportWait" | "computeHedgeDelay" | "handleCall" | "mayHedge" | "handleLostAnswer"
>;

/** Repeated calls to all workers of one leader. */
export class CallRepeats {
    private readonly hedges = new RetryBudget(HEDGE_BUDGET);
    private readonly earlyReports = new RetryBudget(EARLY_BUDGET);
    private readonly lostAnswers: LostAnswers;

    /** @param countWorkers - Counts the workers that are asked for reports. */
    constructor(
        private readonly context: Pick<LeaderContext, "clock" | "lateness" | "log">,
        private readonly countWorkers: () => number,
    ) {
        this.lostAnswers = new LostAnswers(context.lateness);
    }

    /** Builds the listener for one worker's session. */
    buildListener(workerId: string): RepeatsListener {
        return {
            computeReportWait: () => this.computeReportWait(),
            computeHedgeDelay: () => this.lostAnswers.computeHedgeDelay(this.context.clock.now()),
            handleCall: () => this.handleCall(),
            mayHedge: () => this.hedges.tryTake(),
            handleLostAnswer: () => this.handleLostAnswer(workerId),
        };
    }

    private handleCall(): void {
        this.hedges.recordRequest(HEDGED_SHARE);
        this.earlyReports.recordRequest(EARLY_SHARE);
    }

    private computeReportWait(): Millis {
        const waitMs = this.lostAnswers.computeReportWait(this.context.clock.now(), this.countWorkers());
        return waitMs < NORMAL_REPORT_WAIT_MS && !this.earlyReports.tryTake() ?
            NORMAL_REPORT_WAIT_MS :
            waitMs;
    }

    /** Counts each lost answer, and logs when answers begin to get lost. */
    private handleLostAnswer(workerId: string): void {
        const now = this.context.clock.now();
        if (!this.lostAnswers.hasLost(now)) {
            this.context.log.info("answersGetLost", { workerId, workers: this.countWorkers() });
        }
        this.lostAnswers.observeLoss(now);
    }
}
