/** Decides which calls of a leader to its workers are repeated, or made earlier than usual. */
import type { Millis } from "../../common/clock.js";
import { RetryBudget } from "../../common/retry-budget.js";
import { LostAnswers, NORMAL_REPORT_WAIT_MS } from "../dispatch/lost-answers.js";
import type { SessionListener } from "../dispatch/worker-session.js";
import type { LeaderContext } from "./context.js";

/**
 * Calls that may be repeated or made early, for each call to a worker.
 *
 * @remarks Workers lose a few answers in a hundred, while a full link of this node delays most of them. Repeated calls
 * would keep the link full, and nothing tells the two apart in time, so the number of repetitions is bounded.
 */
const REPEATED_SHARE = 0.1;
const REPEAT_BUDGET = { maxTokens: 20, initialTokens: 20 };

/** The part of a session's listener that concerns repeated calls. */
export type RepeatsListener = Pick<
    SessionListener,
    "computeReportWait" | "computeHedgeDelay" | "handleCall" | "mayHedge" | "handleLostAnswer"
>;

/** Repeated calls to all workers of one leader. */
export class CallRepeats {
    private readonly budget = new RetryBudget(REPEAT_BUDGET);

    /** @param countWorkers - Counts the workers that are asked for reports. */
    constructor(
        private readonly context: Pick<LeaderContext, "clock" | "lateness" | "log">,
        private readonly countWorkers: () => number,
    ) {}

    /** Builds the listener for one worker's session. */
    buildListener(workerId: string): RepeatsListener {
        const { clock, lateness } = this.context;
        const lostAnswers = new LostAnswers(lateness);
        return {
            computeReportWait: () => this.computeReportWait(lostAnswers),
            computeHedgeDelay: () => lostAnswers.computeHedgeDelay(clock.now()),
            handleCall: () => this.budget.recordRequest(REPEATED_SHARE),
            mayHedge: () => this.budget.tryTake(),
            handleLostAnswer: () => this.handleLostAnswer(workerId, lostAnswers),
        };
    }

    private computeReportWait(lostAnswers: LostAnswers): Millis {
        const now = this.context.clock.now();
        return lostAnswers.hasLost(now) && this.budget.tryTake() ?
            lostAnswers.computeReportWait(now, this.countWorkers()) :
            NORMAL_REPORT_WAIT_MS;
    }

    /** Counts each lost answer, and logs when a worker's answers begin to get lost. */
    private handleLostAnswer(workerId: string, lostAnswers: LostAnswers): void {
        const now = this.context.clock.now();
        if (!lostAnswers.hasLost(now)) {
            this.context.log.info("answersGetLost", { workerId, workers: this.countWorkers() });
        }
        lostAnswers.observeLoss(now);
    }
}
