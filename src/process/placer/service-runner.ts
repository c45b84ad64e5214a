/** Runs service requests at this placer, from the call of a gateway or home to the worker's answer. */
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

/** Statuses from this one on count as failures of the worker; lower ones are answers. */
const FIRST_FAILURE_STATUS = 500;
/** Retry delay after a refusal whose cause is likely to be brief. */
const SHORT_RETRY_MS: Millis = 250;

/** Options of {@link ServiceRunner}. */
export interface ServiceRunnerOptions {
    readonly context: RoleContext;
    readonly core: PlacementCore;
    readonly fleet: WorkerFleet;
    findBranch(path: string): BranchSettings | undefined;
    /** Schedules a new placement round. */
    requestDecisions(): void;
    /** Reports a request's result to the worker's health record. */
    observeResult(workerId: string, branch: string, failed: boolean): void;
}

interface PendingRequest {
    readonly call: ServeCall;
    readonly arrivedAt: Millis;
    readonly reply: (answer: ServeAnswer) => void;
}

/** Holds requests until a slot is assigned to them, then runs them. */
export class ServiceRunner {
    private readonly pending = new Map<string, PendingRequest>();

    constructor(private readonly options: ServiceRunnerOptions) {}

    /** Handles a call; resolves with the final answer of this attempt. */
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
        if (this.pending.has(call.attempt)) {
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
            this.pending.set(call.attempt, { call, arrivedAt: now, reply: resolve });
            this.options.requestDecisions();
        });
    }

    /** Whether an item of the placement core is a request of this runner. */
    has(itemId: string): boolean {
        return this.pending.has(itemId);
    }

    /** Carries out a start decision. */
    start(decision: Extract<Decision, { kind: "start"; }>): void {
        const request = this.pending.get(decision.item.id);
        if (request !== undefined) {
            void this.run(request, decision.workerId);
        }
    }

    /** Answers a request that the placement core has shed. */
    shed(itemId: string, reason: ShedReason, retryAfterMs: Millis): void {
        this.reply(itemId, buildShedAnswer(reason, retryAfterMs));
    }

    /**
     * Answers every request that still waits for a slot, because this entry may not act or is shutting down.
     */
    shedAll(reason: NotRunReason, retryAfterMs: Millis): void {
        for (const itemId of [...this.pending.keys()]) {
            if (this.options.core.withdraw(itemId)) {
                const remedy = "ask again: another entry may take it";
                this.reply(itemId, buildServeAnswer(buildNotRun(reason, remedy, retryAfterMs), true));
            }
        }
    }

    private reply(itemId: string, answer: ServeAnswer): void {
        const request = this.pending.get(itemId);
        this.pending.delete(itemId);
        request?.reply(answer);
    }

    private async run(request: PendingRequest, workerId: string): Promise<void> {
        const { clock, metrics } = this.options.context;
        const { call } = request;
        const branch = this.options.findBranch(call.branch);
        const startedAt = clock.now();
        const remainingMs = call.deadlineMs - (startedAt - request.arrivedAt);
        const timeoutMs = Math.max(1, Math.min(remainingMs, branch?.attemptTimeoutMs ?? remainingMs));
        metrics.time("placer.service_wait_ms", startedAt - request.arrivedAt, { branch: call.branch });
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
            await this.finishUnknown(request, workerId, startedAt, timeoutMs, answer.message);
            return;
        }
        const served = convertAnswer(answer, workerId);
        const failed = answer.kind === "unavailable" || served.outcome.kind === "failed";
        this.finish(call, workerId, startedAt, failed);
        this.reply(call.attempt, served);
    }

    /**
     * Finishes a request whose answer was lost. The worker may have accepted it as late as the end of the
     * order window and may run it for the full timeout from then. Until that time has passed, the slot stays
     * occupied and a repeatable request is not released for another attempt, so that two attempts never run
     * at once.
     */
    private async finishUnknown(
        request: PendingRequest,
        workerId: string,
        startedAt: Millis,
        timeoutMs: Millis,
        message: string,
    ): Promise<void> {
        const { clock } = this.options.context;
        const { call } = request;
        const outcome: Outcome = { kind: "mayHaveRun", message: `worker ${workerId}: ${message}` };
        if (call.home !== undefined) {
            this.reply(call.attempt, buildServeAnswer(outcome, false));
        }
        const drift = this.options.context.settings.getCurrent()?.cell.clockDrift ?? 0;
        const end = startedAt + (ORDER_WINDOW_MS + timeoutMs) * (1 + drift) + SHORT_RETRY_MS;
        await sleep(clock, Math.max(0, end - clock.now()));
        this.finish(call, workerId, startedAt, true);
        this.reply(call.attempt, buildServeAnswer(outcome, true));
    }

    private finish(call: ServeCall, workerId: string, startedAt: Millis, failed: boolean): void {
        const now = this.options.context.clock.now();
        this.options.core.release(call.attempt, now, { ranMs: now - startedAt, failed });
        this.options.observeResult(workerId, call.branch, failed);
        this.options.requestDecisions();
    }
}

function convertAnswer(
    answer: Exclude<WorkerAnswer<ServeReply>, { kind: "unknown"; }>,
    workerId: string,
): ServeAnswer {
    switch (answer.kind) {
        case "refused":
            return buildServeAnswer(
                buildNotRun(
                    NotRunReason.refusedByWorker,
                    `worker ${workerId} refused it (${answer.reason}): ask again`,
                    SHORT_RETRY_MS,
                ),
                true,
            );
        case "unavailable":
            return buildServeAnswer(
                buildNotRun(
                    NotRunReason.noWorker,
                    `worker ${workerId} was not reached: ask again`,
                    SHORT_RETRY_MS,
                ),
                true,
            );
        case "done":
            return buildServeAnswer(
                convertReply(answer.value, workerId),
                answer.value.status >= FIRST_FAILURE_STATUS,
            );
    }
}

function convertReply(reply: ServeReply, workerId: string): Outcome {
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
    return buildServeAnswer(
        buildNotRun(reasons[reason], "ask again after the time given", retryAfterMs),
        true,
    );
}

function buildServeAnswer(outcome: Outcome, retrySafe: boolean): ServeAnswer {
    return { kind: "served", outcome, retrySafe };
}
