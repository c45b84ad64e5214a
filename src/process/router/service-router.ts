/** The way of a repeatable service request from this front to a placer, and its retries. */
import { type Millis, sleep } from "../../common/clock.js";
import { buildNotRun, NotRunReason, type Outcome } from "../../common/outcome.js";
import type { ServeAnswer } from "../../connection/messages.js";
import type { ServiceRequest } from "../../request/work.js";
import type { BranchSettings, SettingsVersion } from "../../version/settings.js";
import { ORDER_WINDOW_MS } from "../placer/index.js";
import type { CallResult, RoleContext, ServiceResult } from "../roles.js";
import { PlacerChoice } from "./placer-choice.js";
import { RetryBudget } from "./retry-budget.js";

/** Time to wait for a placer that has workers, and between looks. */
const NO_PLACER_PATIENCE_MS: Millis = 500;
const NO_PLACER_STEP_MS: Millis = 25;
/** When to ask again while no placer can be reached. */
const NO_PLACER_RETRY_MS: Millis = 1_000;
/** Time that a call may take beyond the request's deadline: the placer answers by then. */
const ANSWER_GRACE_MS: Millis = 250;

/** Result of one try. */
interface Try {
    readonly outcome: Outcome;
    /** Whether another try can run nothing twice, now or from `safeAt` on. */
    readonly retrySafe: boolean;
    /** Instant by which a try whose answer was lost has surely ended on its worker. */
    readonly safeAt?: Millis;
}

/** Routes repeatable service requests. */
export class ServiceRouter {
    private readonly choice: PlacerChoice;
    private readonly budgets = new Map<string, RetryBudget>();

    constructor(private readonly context: RoleContext) {
        this.choice = new PlacerChoice({
            random: context.random,
            peers: context.peers,
            listMemberIds: () => context.ownership.listMembers().map(member => member.memberId),
        });
    }

    /**
     * Runs a request to its final outcome.
     * @param request - The request.
     * @param branch - Its branch in force.
     * @param settings - The version in force.
     */
    async run(
        request: ServiceRequest,
        branch: BranchSettings,
        settings: SettingsVersion,
    ): Promise<ServiceResult> {
        const budget = this.getBudget(branch.path);
        budget.recordFresh(branch.retryShare);
        const avoidMembers = new Set<string>();
        const avoidWorkers: string[] = [];
        let attempts = 0;
        /** Outcome of the last try that ran or may have: "not run" would be untrue from then on. */
        let ran: Outcome | undefined;
        for (;;) {
            attempts++;
            const attempt = `${request.requestId}.${attempts}`;
            const tried = await this.tryOnce(request, branch, attempt, settings, avoidMembers, avoidWorkers);
            const final = !tried.retrySafe || attempts >= branch.maxAttempts ||
                !this.isWorthRetrying(request, tried);
            ran = tried.outcome.kind === "notRun" ? ran : tried.outcome;
            if (final || !budget.tryTake()) {
                return {
                    outcome: ran ?? tried.outcome,
                    attempts,
                    repeated: false,
                    treeVersion: settings.version,
                };
            }
            await sleep(this.context.clock, Math.max(0, (tried.safeAt ?? 0) - this.context.clock.now()));
            if (tried.outcome.kind === "failed") {
                avoidWorkers.push(tried.outcome.workerId);
            }
            this.context.metrics.count("front.retries", 1, { branch: branch.path });
        }
    }

    private getBudget(path: string): RetryBudget {
        const budget = this.budgets.get(path) ?? new RetryBudget();
        this.budgets.set(path, budget);
        return budget;
    }

    private isWorthRetrying(request: ServiceRequest, tried: Try): boolean {
        const earliest = Math.max(this.context.clock.now(), tried.safeAt ?? 0);
        if (tried.outcome.kind === "done" || earliest >= request.deadline) {
            return false;
        }
        // A branch that is off, and a deadline that is certain to be missed, are the same at every placer.
        return tried.outcome.kind !== "notRun" ||
            (tried.outcome.reason !== NotRunReason.branchOff &&
                tried.outcome.reason !== NotRunReason.deadline);
    }

    /** Chooses a placer; while slices change hands, none may be known for a moment. */
    private async choosePlacer(
        avoid: ReadonlySet<string>,
        deadline: Millis,
    ): Promise<ReturnType<PlacerChoice["choose"]>> {
        const { clock } = this.context;
        const giveUpAt = Math.min(deadline, clock.now() + NO_PLACER_PATIENCE_MS);
        for (;;) {
            const chosen = this.choice.choose(avoid);
            if (chosen !== undefined || clock.now() >= giveUpAt) {
                return chosen;
            }
            await sleep(clock, NO_PLACER_STEP_MS);
        }
    }

    private async tryOnce(
        request: ServiceRequest,
        branch: BranchSettings,
        attempt: string,
        settings: SettingsVersion,
        avoidMembers: Set<string>,
        avoidWorkers: readonly string[],
    ): Promise<Try> {
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
        const left = request.deadline - startedAt;
        if (left <= 0) {
            const remedy = "the deadline had passed before it could be sent: ask with a later one";
            return { outcome: buildNotRun(NotRunReason.deadline, remedy), retrySafe: false };
        }
        this.context.log.decide({
            decision: "route",
            subject: attempt,
            branch: request.branch,
            treeVersion: settings.version,
            chosen: chosen.memberId,
            reason: "more free slots of two placers",
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
            deadlineMs: left,
            avoid: avoidWorkers,
        }, left + ANSWER_GRACE_MS);
        // A placer that is only cut off may keep the request until its longest wait, and then run it.
        const longest = (branch.maxWaitMs + ORDER_WINDOW_MS + branch.attemptTimeoutMs) *
            (1 + settings.cell.clockDrift);
        return describeTry(result, chosen.memberId, startedAt + longest + ANSWER_GRACE_MS);
    }
}

/** What a call's result says of the request: only an answer, or a call never sent, proves anything. */
function describeTry(result: CallResult, memberId: string, safeAt: Millis): Try {
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
