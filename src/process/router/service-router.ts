/** Routes repeatable service requests from this gateway to placers and retries them. */
import { type Millis, sleep } from "../../common/clock.js";
import { buildNotRun, NotRunReason, type Outcome } from "../../common/outcome.js";
import { RetryBudget } from "../../common/retry-budget.js";
import type { ServeAnswer } from "../../connection/messages.js";
import type { ServiceRequest } from "../../request/work.js";
import type { BranchSettings, SettingsVersion } from "../../version/settings.js";
import { ORDER_WINDOW_MS } from "../placer/index.js";
import type { CallResult, RoleContext, ServiceResult } from "../roles.js";
import { PlacerSelector } from "./placer-selector.js";

/** How long to wait for a placer that has workers. */
const NO_PLACER_TIMEOUT_MS: Millis = 500;
/** Interval between checks for such a placer. */
const NO_PLACER_POLL_MS: Millis = 25;
/** Retry delay given to the caller while no placer can be reached. */
const NO_PLACER_RETRY_MS: Millis = 1_000;
/** Time that a call may take beyond the request's deadline, so that the placer's own answer arrives first. */
const ANSWER_GRACE_MS: Millis = 250;

/** No other layer retries service requests, so the limit is not multiplied by retries elsewhere. */
const RETRY_BUDGET = { maxTokens: 100, initialTokens: 10 };

/** Result of one attempt to run a request. */
interface AttemptResult {
    readonly outcome: Outcome;
    /** Whether another attempt, now or from `safeAt` on, cannot run at the same time as this one. */
    readonly retrySafe: boolean;
    /** Time by which an attempt whose answer was lost has certainly ended on its worker. */
    readonly safeAt?: Millis;
}

/** Runs repeatable service requests by attempts at placers, within a retry budget for each branch. */
export class ServiceRouter {
    private readonly selector: PlacerSelector;
    private readonly budgets = new Map<string, RetryBudget>();

    constructor(private readonly context: RoleContext) {
        this.selector = new PlacerSelector({
            random: context.random,
            peers: context.peers,
            listMemberIds: () => context.ownership.listMembers().map(member => member.memberId),
        });
    }

    /**
     * Runs a request to its final outcome.
     * @param branch - The request's branch in the settings in force.
     * @param settings - The settings in force.
     */
    async run(
        request: ServiceRequest,
        branch: BranchSettings,
        settings: SettingsVersion,
    ): Promise<ServiceResult> {
        const budget = this.getBudget(branch.path);
        budget.recordRequest(branch.retryShare);
        const avoidMembers = new Set<string>();
        const avoidWorkers: string[] = [];
        let attempts = 0;
        /**
         * Outcome of the last attempt that ran or may have run; once set, the result must not be "not run".
         */
        let lastRunOutcome: Outcome | undefined;
        for (;;) {
            attempts++;
            const attempt = `${request.requestId}.${attempts}`;
            const result = await this.runAttempt(
                request,
                branch,
                attempt,
                settings,
                avoidMembers,
                avoidWorkers,
            );
            const final = !result.retrySafe || attempts >= branch.maxAttempts ||
                !this.isWorthRetrying(request, result);
            lastRunOutcome = result.outcome.kind === "notRun" ? lastRunOutcome : result.outcome;
            if (final || !budget.tryTake()) {
                return {
                    outcome: lastRunOutcome ?? result.outcome,
                    attempts,
                    repeated: false,
                    treeVersion: settings.version,
                };
            }
            await sleep(this.context.clock, Math.max(0, (result.safeAt ?? 0) - this.context.clock.now()));
            if (result.outcome.kind === "failed") {
                avoidWorkers.push(result.outcome.workerId);
            }
            this.context.metrics.count("front.retries", 1, { branch: branch.path });
        }
    }

    private getBudget(path: string): RetryBudget {
        const budget = this.budgets.get(path) ?? new RetryBudget(RETRY_BUDGET);
        this.budgets.set(path, budget);
        return budget;
    }

    private isWorthRetrying(request: ServiceRequest, result: AttemptResult): boolean {
        const earliest = Math.max(this.context.clock.now(), result.safeAt ?? 0);
        if (result.outcome.kind === "done" || earliest >= request.deadline) {
            return false;
        }
        // A branch that is off and a deadline that cannot be met lead to the same refusal at every placer.
        return result.outcome.kind !== "notRun" ||
            (result.outcome.reason !== NotRunReason.branchOff &&
                result.outcome.reason !== NotRunReason.deadline);
    }

    /**
     * Selects a placer, waiting for one if needed: while slices change owners, none may be known for a
     * moment.
     */
    private async choosePlacer(
        avoid: ReadonlySet<string>,
        deadline: Millis,
    ): Promise<ReturnType<PlacerSelector["choose"]>> {
        const { clock } = this.context;
        const waitUntil = Math.min(deadline, clock.now() + NO_PLACER_TIMEOUT_MS);
        for (;;) {
            const chosen = this.selector.choose(avoid);
            if (chosen !== undefined || clock.now() >= waitUntil) {
                return chosen;
            }
            await sleep(clock, NO_PLACER_POLL_MS);
        }
    }

    private async runAttempt(
        request: ServiceRequest,
        branch: BranchSettings,
        attempt: string,
        settings: SettingsVersion,
        avoidMembers: Set<string>,
        avoidWorkers: readonly string[],
    ): Promise<AttemptResult> {
        const startedAt = this.context.clock.now();
        const chosen = await this.choosePlacer(avoidMembers, request.deadline);
        if (chosen === undefined) {
            const remedy = "no entry with workers can be reached: ask again";
            return {
                outcome: buildNotRun(NotRunReason.noWorker, remedy, NO_PLACER_RETRY_MS),
                retrySafe: false,
            };
        }
        avoidMembers.add(chosen.memberId);
        const remainingMs = request.deadline - startedAt;
        if (remainingMs <= 0) {
            const remedy = "the deadline had passed before it could be sent: ask with a later one";
            return { outcome: buildNotRun(NotRunReason.deadline, remedy), retrySafe: false };
        }
        this.context.log.decide({
            decision: "route",
            subject: attempt,
            branch: request.branch,
            treeVersion: settings.version,
            chosen: chosen.memberId,
            reason: "less loaded of two placers",
            runnersUp: chosen.runnersUp,
            tookUs: Math.round((this.context.clock.now() - startedAt) * 1_000),
        });
        const result = await this.context.peers.call(chosen.memberId, {
            kind: "serve",
            requestId: request.requestId,
            attempt,
            caller: request.caller,
            branch: request.branch,
            body: request.body,
            contentType: request.contentType,
            deadlineMs: remainingMs,
            avoid: avoidWorkers,
        }, remainingMs + ANSWER_GRACE_MS);
        // A placer that cannot be reached from here may hold the request for the longest wait and run it
        // after that.
        const longest = (branch.maxWaitMs + ORDER_WINDOW_MS + branch.attemptTimeoutMs) *
            (1 + settings.cell.clockDrift);
        return convertCallResult(result, chosen.memberId, startedAt + longest + ANSWER_GRACE_MS);
    }
}

/** Converts a call's result. Only an answer, or a call that was not sent, proves whether the request ran. */
function convertCallResult(result: CallResult, memberId: string, safeAt: Millis): AttemptResult {
    if (result.kind === "notSent") {
        const remedy = `entry ${memberId} was not reached: ask again`;
        return { outcome: buildNotRun(NotRunReason.linkDown, remedy, NO_PLACER_RETRY_MS), retrySafe: true };
    }
    if (result.kind === "lost") {
        return {
            outcome: { kind: "mayHaveRun", message: `entry ${memberId}: ${result.message}` },
            retrySafe: true,
            safeAt,
        };
    }
    if (result.body.kind === "served") {
        const served: ServeAnswer = result.body;
        return { outcome: served.outcome, retrySafe: served.retrySafe };
    }
    const message = result.body.kind === "error" ?
        result.body.message :
        `unexpected answer ${result.body.kind}`;
    return { outcome: buildNotRun(NotRunReason.notOwner, message, NO_PLACER_RETRY_MS), retrySafe: true };
}
