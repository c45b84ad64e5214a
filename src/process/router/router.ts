/**
 * The gateway: routes the callers' requests and jobs to the entries that handle them and returns the answers.
 */
import { type Millis, sleep } from "../../common/clock.js";
import { buildNotRun, NotRunReason, type Outcome } from "../../common/outcome.js";
import { makeUniqueId } from "../../common/random.js";
import { type HomeReply, type HomeRequest, PeerErrorCode } from "../../connection/messages.js";
import { type Caller, type JobSpec, JobState, type ServiceRequest, WorkKind } from "../../request/work.js";
import { Adoption } from "../../version/settings.js";
import type { CallerGateway, RoleContext, ServiceResult } from "../roles.js";
import { ServiceRouter } from "./service-router.js";
import { computeHomeSlice, findHomeSlice, makeJobIdFrom } from "./work-ids.js";

/** Interval between attempts to reach the owner of a home slice, and between repeated waits for a job. */
const HOME_RETRY_MS: Millis = 100;
/** Time after which a request is refused if no owner of its home slice could be reached. */
const HOME_UNREACHABLE_TIMEOUT_MS: Millis = 3_000;
const RETRY_AFTER_MS: Millis = 2_000;
const EXPLAIN_TIMEOUT_MS: Millis = 1_000;
/** Time that a call may take beyond the home's deadline, so that the home's own answer arrives first. */
const ANSWER_GRACE_MS: Millis = 500;

/** Options of {@link createRouter}. */
export interface RouterOptions {
    /** Whether the entry is shutting down. */
    isDraining(): boolean;
}

/** Creates the gateway of an entry. */
export function createRouter(context: RoleContext, options: RouterOptions): CallerGateway {
    return new Router(context, options);
}

class Router implements CallerGateway {
    private readonly services: ServiceRouter;

    constructor(private readonly context: RoleContext, private readonly options: RouterOptions) {
        this.services = new ServiceRouter(context);
    }

    findRefusal(): Outcome | undefined {
        if (this.options.isDraining()) {
            return buildNotRun(
                NotRunReason.shuttingDown,
                "this entry is shutting down: ask again, another answers",
                0,
            );
        }
        if (!this.context.settings.isCurrent()) {
            const remedy =
                "this entry cannot tell whether its settings are in force: ask again, another may answer";
            return buildNotRun(NotRunReason.settingsUncertain, remedy, RETRY_AFTER_MS);
        }
        return undefined;
    }

    async runService(request: ServiceRequest): Promise<ServiceResult> {
        const settings = this.context.settings.getCurrent();
        const refusal = this.findRefusal();
        const branch = settings?.branches.get(request.branch);
        const treeVersion = settings?.version ?? 0;
        if (refusal !== undefined || settings === undefined) {
            const outcome = refusal ??
                buildNotRun(NotRunReason.settingsUncertain, "no settings yet: ask again", RETRY_AFTER_MS);
            return { outcome, attempts: 0, repeated: false, treeVersion };
        }
        if (branch === undefined || branch.kind !== WorkKind.service || branch.adoption === Adoption.off) {
            const remedy =
                `no service branch "${request.branch}" takes requests: check the path, or its adoption in the tree`;
            return {
                outcome: buildNotRun(NotRunReason.branchOff, remedy),
                attempts: 0,
                repeated: false,
                treeVersion,
            };
        }
        if (request.repeatable && request.idempotencyKey === undefined) {
            return await this.services.run(request, branch, settings);
        }
        return await this.runAtHome(request, treeVersion);
    }

    makeJobId(caller: Caller, spec: JobSpec): string {
        const key = spec.idempotencyKey ?? makeUniqueId(this.context.random);
        return makeJobIdFrom(caller.team, key);
    }

    async callHome(jobId: string, request: HomeRequest, timeoutMs: Millis): Promise<HomeReply> {
        const slice = findHomeSlice(jobId);
        if (slice === undefined) {
            return { kind: "notFound" };
        }
        const reply = request.kind === "waitJob" ?
            await this.waitAtHome(slice, request) :
            await this.callSlice(slice, request, timeoutMs);
        return reply.kind === "explanation" ? await this.addPlacerLines(jobId, reply.lines) : reply;
    }

    /**
     * Waits for the end of a job; a home that releases its slice answers early, and then the next owner is
     * asked.
     */
    private async waitAtHome(
        slice: number,
        request: Extract<HomeRequest, { kind: "waitJob"; }>,
    ): Promise<HomeReply> {
        const { clock } = this.context;
        const deadline = clock.now() + request.waitMs;
        for (;;) {
            const waitMs = Math.max(0, deadline - clock.now());
            const reply = await this.callSlice(slice, { ...request, waitMs }, waitMs + ANSWER_GRACE_MS);
            const isFinal = reply.kind !== "job" || reply.job.state === JobState.ended;
            if (isFinal || clock.now() >= deadline) {
                return reply;
            }
            await sleep(clock, HOME_RETRY_MS);
        }
    }

    /** Appends the placers' explanations of a job to its home's; entries that do not answer are left out. */
    private async addPlacerLines(jobId: string, lines: readonly string[]): Promise<HomeReply> {
        const { peers } = this.context;
        const answers = await Promise.all(
            peers.listReachable().map(memberId =>
                peers.call(memberId, { kind: "explain", jobId }, EXPLAIN_TIMEOUT_MS)
            ),
        );
        const known = answers.flatMap(answer =>
            answer.kind === "answer" && answer.body.kind === "explained" ? answer.body.lines : []
        );
        return { kind: "explanation", lines: [...lines, ...known] };
    }

    private async runAtHome(request: ServiceRequest, treeVersion: number): Promise<ServiceResult> {
        const requestKey = `${request.caller.team}/${request.idempotencyKey ?? request.requestId}`;
        const { clock } = this.context;
        const reply = await this.callSlice(computeHomeSlice(requestKey), {
            kind: "runRequest",
            requestKey,
            requestId: request.requestId,
            caller: request.caller,
            branch: request.branch,
            body: request.body,
            contentType: request.contentType,
            repeatable: request.repeatable,
            deadlineMs: request.deadline - clock.now(),
        }, request.deadline - clock.now());
        const repeated = reply.kind === "outcome" && reply.repeated;
        return { outcome: convertReply(reply), attempts: 1, repeated, treeVersion };
    }

    /**
     * Calls the owner of a home slice until it answers or the time is over. Every request to a home may be
     * repeated, because the home recognizes it by its job id or request key.
     */
    private async callSlice(slice: number, request: HomeRequest, timeoutMs: Millis): Promise<HomeReply> {
        const { clock, ownership, peers } = this.context;
        const deadline = clock.now() + timeoutMs;
        const unreachableAt = clock.now() + Math.min(timeoutMs, HOME_UNREACHABLE_TIMEOUT_MS);
        let mayHaveArrived = false;
        for (;;) {
            const owner = ownership.getHomeSliceOwner(slice);
            const remainingMs = deadline - clock.now();
            if (owner !== undefined && remainingMs > 0) {
                const body = {
                    kind: "home",
                    homeSlice: slice,
                    request: withDeadline(request, remainingMs),
                } as const;
                const result = await peers.call(owner.memberId, body, remainingMs + ANSWER_GRACE_MS);
                if (
                    result.kind === "answer" && result.body.kind === "home" &&
                    !isFromPreviousOwner(result.body.reply)
                ) {
                    return result.body.reply;
                }
                const refused = result.kind === "notSent" ||
                    (result.kind === "answer" && result.body.kind === "home") ||
                    (result.kind === "answer" && result.body.kind === "error" &&
                        result.body.code !== PeerErrorCode.invalid);
                mayHaveArrived ||= !refused;
            }
            if (clock.now() >= (mayHaveArrived ? deadline : unreachableAt)) {
                return buildTimeoutReply(mayHaveArrived);
            }
            await sleep(clock, HOME_RETRY_MS);
        }
    }
}

/**
 * Whether the reply is the refusal of an owner that is releasing its slice, so that the next owner has to be
 * asked.
 */
function isFromPreviousOwner(reply: HomeReply): boolean {
    return reply.kind === "refused" && reply.outcome.kind === "notRun" &&
        reply.outcome.reason === NotRunReason.notOwner;
}

function withDeadline(request: HomeRequest, left: Millis): HomeRequest {
    return request.kind === "runRequest" ?
        { ...request, deadlineMs: Math.min(request.deadlineMs, left) } :
        request;
}

function buildTimeoutReply(mayHaveArrived: boolean): HomeReply {
    if (mayHaveArrived) {
        return {
            kind: "uncertain",
            message: "the entry that owns it did not answer in time: ask again with the same key",
        };
    }
    const remedy = "the entry that owns it cannot be reached now: ask again with the same key";
    return { kind: "refused", outcome: buildNotRun(NotRunReason.linkDown, remedy, RETRY_AFTER_MS) };
}

function convertReply(reply: HomeReply): Outcome {
    switch (reply.kind) {
        case "outcome":
        case "refused":
            return reply.outcome;
        case "keyConflict":
            return buildNotRun(NotRunReason.keyConflict, reply.message);
        case "uncertain":
            return { kind: "mayHaveRun", message: reply.message };
        case "job":
        case "explanation":
        case "notFound":
            return { kind: "mayHaveRun", message: "unexpected answer of the home: report this as a defect" };
    }
}
