/** Service requests at this placer, from the call of a front or home to the worker's answer. */
import { type Millis, sleep } from "../../common/clock.js";
import { buildNotRun, NotRunReason, type Outcome } from "../../common/outcome.js";
import { NO_RESOURCES } from "../../common/resources.js";
import {
    type AnswerBody,
    PeerErrorCode,
    type ServeAnswer,
    type ServeCall,
} from "../../connection/messages.js";
import { WorkKind } from "../../request/work.js";
import type { BranchSettings } from "../../version/settings.js";
import { type Decision, type PlacementCore, ShedReason, type WorkItem } from "../placement/placement-core.js";
import type { ServeReply, WorkerAnswer } from "../ports/worker-port.js";
import type { RoleContext } from "../roles.js";
import { ORDER_WINDOW_MS } from "./worker-clock.js";
import type { WorkerFleet } from "./worker-fleet.js";

/** Statuses from here on are failures of the worker; lower ones are answers. */
const FIRST_FAILURE_STATUS = 500;
/** When to ask again after a refusal that a moment may cure. */
const SHORT_RETRY_MS: Millis = 250;

/** What {@link ServiceRunner} is given. */
export interface ServiceRunnerOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    readonly fleet: WorkerFleet;
    findBranch(path: string): BranchSettings | undefined;
    /** Asks for a new round of decisions soon. */
    requestDecisions(): void;
    /** Tells the result of a request for the judgement of the worker. */
    observeResult(workerId: string, branch: string, failed: boolean): void;
}

interface Waiting {
    readonly call: ServeCall;
    readonly arrivedAt: Millis;
    readonly reply: (answer: ServeAnswer) => void;
}

/** Keeps the requests that wait for a slot and runs those that got one. */
export class ServiceRunner {
    private readonly waiting = new Map<string, Waiting>();

    constructor(private readonly options: ServiceRunnerOptions) {}

    /** Handles a call; resolves with the final answer of this try. */
    handleCall(call: ServeCall): Promise<AnswerBody> {
        const { clock } = this.options.context;
        const branch = this.options.findBranch(call.branch);
        if (branch === undefined || branch.kind !== WorkKind.service) {
            return Promise.resolve({
                kind: "error",
                code: PeerErrorCode.invalid,
                message: `no service branch "${call.branch}" in the settings in force here`,
            });
        }
        if (this.waiting.has(call.attempt)) {
            return Promise.resolve({
                kind: "error",
                code: PeerErrorCode.invalid,
                message: "this try is here already",
            });
        }
        const now = clock.now();
        const item: WorkItem = {
            id: call.attempt,
            kind: WorkKind.service,
            branch: call.branch,
            team: call.caller.team,
            callerId: call.caller.callerId,
            urgent: false,
            repeatable: call.home === undefined,
            resources: NO_RESOURCES,
            estimateMs: branch.defaultEstimateMs,
            queuedAt: now,
            deadline: now + Math.min(call.deadlineMs, branch.maxWaitMs),
            avoid: call.avoid,
        };
        const queued = this.options.core.enqueue(item, now);
        if (queued.kind !== "queued") {
            const reason = queued.kind === "shed" ? queued.reason : ShedReason.branchUnknown;
            return Promise.resolve(
                buildShedAnswer(reason, queued.kind === "shed" ? queued.retryAfterMs : SHORT_RETRY_MS),
            );
        }
        return new Promise(resolve => {
            this.waiting.set(call.attempt, { call, arrivedAt: now, reply: resolve });
            this.options.requestDecisions();
        });
    }

    /** Whether an item of the core is a request of this runner. */
    has(itemId: string): boolean {
        return this.waiting.has(itemId);
    }

    /** Carries out a start decision. */
    start(decision: Extract<Decision, { kind: "start"; }>): void {
        const waiting = this.waiting.get(decision.item.id);
        if (waiting !== undefined) {
            void this.run(waiting, decision.workerId);
        }
    }

    /** Answers a request that will not be run here. */
    shed(itemId: string, reason: ShedReason, retryAfterMs: Millis): void {
        this.reply(itemId, buildShedAnswer(reason, retryAfterMs));
    }

    /** Answers every request that still waits for a slot: this entry may not act now. */
    shedAll(reason: NotRunReason, retryAfterMs: Millis): void {
        for (const itemId of [...this.waiting.keys()]) {
            if (this.options.core.withdraw(itemId)) {
                const remedy = "ask again: another entry may take it";
                this.reply(itemId, buildServed(buildNotRun(reason, remedy, retryAfterMs), true));
            }
        }
    }

    private reply(itemId: string, answer: ServeAnswer): void {
        const waiting = this.waiting.get(itemId);
        this.waiting.delete(itemId);
        waiting?.reply(answer);
    }

    private async run(waiting: Waiting, workerId: string): Promise<void> {
        const { clock, metrics } = this.options.context;
        const { call } = waiting;
        const branch = this.options.findBranch(call.branch);
        const startedAt = clock.now();
        const left = call.deadlineMs - (startedAt - waiting.arrivedAt);
        const timeoutMs = Math.max(1, Math.min(left, branch?.attemptTimeoutMs ?? left));
        metrics.time("placer.service_wait_ms", startedAt - waiting.arrivedAt, { branch: call.branch });
        const session = this.options.fleet.find(workerId);
        const answer: WorkerAnswer<ServeReply> = session === undefined ?
            { kind: "unavailable", message: "the worker is no longer this entry's" } :
            await session.serve({
                requestId: call.requestId,
                branch: call.branch,
                body: call.body,
                contentType: call.contentType,
                timeoutMs,
            });
        if (answer.kind === "unknown") {
            await this.finishUnknown(waiting, workerId, startedAt, timeoutMs, answer.message);
            return;
        }
        const served = describeAnswer(answer, workerId);
        const failed = answer.kind === "unavailable" || served.outcome.kind === "failed";
        this.finish(call, workerId, startedAt, failed);
        this.reply(call.attempt, served);
    }

    /**
     * The worker may still be running the request. It may have taken it as late as the end of the order window and
     * gives it up at its timeout from then, so the slot stays taken and a
     * repeatable request is offered for another try only from then on: never two at once.
     */
    private async finishUnknown(
        waiting: Waiting,
        workerId: string,
        startedAt: Millis,
        timeoutMs: Millis,
        message: string,
    ): Promise<void> {
        const { clock } = this.options.context;
        const { call } = waiting;
        const outcome: Outcome = { kind: "mayHaveRun", message: `worker ${workerId}: ${message}` };
        if (call.home !== undefined) {
            this.reply(call.attempt, buildServed(outcome, false));
        }
        const drift = this.options.context.settings.getCurrent()?.cell.clockDrift ?? 0;
        const end = startedAt + (ORDER_WINDOW_MS + timeoutMs) * (1 + drift) + SHORT_RETRY_MS;
        await sleep(clock, Math.max(0, end - clock.now()));
        this.finish(call, workerId, startedAt, true);
        this.reply(call.attempt, buildServed(outcome, true));
    }

    private finish(call: ServeCall, workerId: string, startedAt: Millis, failed: boolean): void {
        const now = this.options.context.clock.now();
        this.options.core.release(call.attempt, now, { ranMs: now - startedAt, failed });
        this.options.observeResult(workerId, call.branch, failed);
        this.options.requestDecisions();
    }
}

function describeAnswer(
    answer: Exclude<WorkerAnswer<ServeReply>, { kind: "unknown"; }>,
    workerId: string,
): ServeAnswer {
    switch (answer.kind) {
        case "refused":
            return buildServed(
                buildNotRun(
                    NotRunReason.refusedByWorker,
                    `worker ${workerId} refused it (${answer.reason}): ask again`,
                    SHORT_RETRY_MS,
                ),
                true,
            );
        case "unavailable":
            return buildServed(
                buildNotRun(
                    NotRunReason.noWorker,
                    `worker ${workerId} was not reached: ask again`,
                    SHORT_RETRY_MS,
                ),
                true,
            );
        case "done":
            return buildServed(
                describeReply(answer.value, workerId),
                answer.value.status >= FIRST_FAILURE_STATUS,
            );
    }
}

function describeReply(reply: ServeReply, workerId: string): Outcome {
    if (reply.status >= FIRST_FAILURE_STATUS) {
        const message = new TextDecoder().decode(reply.body);
        return { kind: "failed", message: message === "" ? `status ${reply.status}` : message, workerId };
    }
    return { kind: "done", answer: reply.body, contentType: reply.contentType, workerId };
}

function buildShedAnswer(reason: ShedReason, retryAfterMs: Millis): ServeAnswer {
    const reasons: Readonly<Record<ShedReason, NotRunReason>> = {
        queueFull: NotRunReason.overloaded,
        deadline: NotRunReason.deadline,
        branchUnknown: NotRunReason.branchOff,
        branchOff: NotRunReason.branchOff,
    };
    return buildServed(buildNotRun(reasons[reason], "ask again after the time given", retryAfterMs), true);
}

function buildServed(outcome: Outcome, retrySafe: boolean): ServeAnswer {
    return { kind: "served", outcome, retrySafe };
}
