/** Routes for jobs: submit, show, wait, cancel and explain. */
import { z } from "zod";
import type { HomeReply, HomeRequest } from "../../connection/messages.js";
import type { BranchSettings } from "../../version/settings.js";
import type { JobSpec } from "../work.js";
import { Access } from "./exchange.js";
import type { Exchange, HttpReply, Route, RouteContext } from "./exchange.js";
import { buildFault, checkText, parseJsonBody, parseWholeNumber } from "./input-checks.js";
import type { Checked } from "./input-checks.js";
import { renderJob, renderOutcome } from "./job-view.js";
import { buildError, buildInvalid, buildJson, buildNotFound, buildOutcomeReply } from "./replies.js";
import {
    getHeader,
    KEY_ALLOWED,
    KEY_PATTERN,
    listFaultsOf,
    refuseNewWork,
    requireCaller,
} from "./service-routes.js";

export const JOB_ROUTES: readonly Route[] = [
    {
        method: "POST",
        path: "/v1/jobs",
        access: Access.team,
        takesBody: true,
        refuse: refuseNewWork,
        handle: handleSubmit,
    },
    { method: "GET", path: "/v1/jobs/:id", access: Access.reader, takesBody: false, handle: handleShow },
    {
        method: "POST",
        path: "/v1/jobs/:id/cancel",
        access: Access.team,
        takesBody: false,
        handle: handleCancel,
    },
    {
        method: "GET",
        path: "/v1/jobs/:id/explain",
        access: Access.reader,
        takesBody: false,
        handle: handleExplain,
    },
];

/** Largest amount of a resource for one task; far above any worker's, and small enough for exact sums. */
const MAX_RESOURCE_AMOUNT = 1_000_000_000;
const MAX_ESTIMATE_MS = 365 * 86_400_000;
const UNCERTAIN_RETRY_MS = 1_000;

function buildWholeNumber(least: number, most: number): z.ZodInt {
    const allowed = `a whole number from ${least} to ${most}`;
    return z.int(allowed).min(least, allowed).max(most, allowed);
}

const resourcesSchema = z.strictObject({
    cpuMillis: buildWholeNumber(1, MAX_RESOURCE_AMOUNT),
    memoryMib: buildWholeNumber(1, MAX_RESOURCE_AMOUNT),
    accelerators: buildWholeNumber(0, MAX_RESOURCE_AMOUNT).default(0),
}, "an object with cpuMillis, memoryMib and accelerators");

function buildJobSchema(maxTasks: number, maxPayloadBytes: number) {
    const payload = `text of at most ${maxPayloadBytes} bytes in UTF-8`;
    return z.strictObject({
        kind: z.enum(["batch", "gang", "short"], "batch, gang or short"),
        branch: z.string("the path of a branch").min(1, "the path of a branch").max(
            200,
            "the path of a branch",
        ),
        tasks: buildWholeNumber(1, maxTasks).default(1),
        resources: resourcesSchema.optional(),
        estimateMs: buildWholeNumber(1, MAX_ESTIMATE_MS).optional(),
        urgent: z.boolean("true or false").default(false),
        repeatable: z.boolean("true or false").default(false),
        payload: z.string(payload).refine(text => Buffer.byteLength(text) <= maxPayloadBytes, payload)
            .default(""),
    }, "a JSON object that describes a job");
}

type JobInput = z.output<ReturnType<typeof buildJobSchema>>;

async function handleSubmit(context: RouteContext, exchange: Exchange): Promise<HttpReply> {
    const { maxTasks, maxPayloadBytes, homeTimeoutMs } = context.limits;
    const input = parseJsonBody(exchange.body, buildJobSchema(maxTasks, maxPayloadBytes));
    const keyHeader = getHeader(exchange, "idempotency-key");
    const key = checkText("idempotency-key", keyHeader, KEY_PATTERN, KEY_ALLOWED);
    if (input.kind === "invalid" || key.kind === "invalid") {
        return buildInvalid([...listFaultsOf(input), ...listFaultsOf(key)]);
    }
    const spec = fillSpec(input.value, key.value, context);
    if (spec.kind === "invalid") {
        return buildInvalid(spec.faults);
    }
    const caller = requireCaller(exchange);
    const jobId = context.callers.makeJobId(caller, spec.value);
    const request: HomeRequest = { kind: "submitJob", jobId, caller, spec: spec.value };
    const reply = await context.callers.callHome(jobId, request, homeTimeoutMs);
    return withLocation(buildHomeReply(jobId, reply), jobId, reply);
}

/** Fills in the defaults of the branch for fields that the caller omitted. */
function fillSpec(
    input: JobInput,
    idempotencyKey: string | undefined,
    context: RouteContext,
): Checked<JobSpec> {
    const settings = context.settings.getCurrent();
    const branch = settings?.branches.get(input.branch);
    if (branch?.kind !== input.kind) {
        return { kind: "invalid", faults: [buildBranchFault(input, branch)] };
    }
    const value = {
        ...input,
        resources: input.resources ?? branch.defaultResources,
        estimateMs: input.estimateMs ?? branch.defaultEstimateMs,
        idempotencyKey,
    };
    return { kind: "valid", value };
}

function buildBranchFault(input: JobInput, branch: BranchSettings | undefined) {
    const found = branch === undefined ?
        `${input.branch}, which is not in the tree` :
        `a branch of kind ${branch.kind}`;
    const allowed = `the path of a branch of kind ${input.kind}`;
    return buildFault(
        "branch",
        found,
        allowed,
        "use such a branch, or ask an operator to add one to the tree",
    );
}

function withLocation(reply: HttpReply, jobId: string, home: HomeReply): HttpReply {
    if (home.kind !== "job" && home.kind !== "uncertain") {
        return reply;
    }
    return { ...reply, headers: { ...reply.headers, location: `/v1/jobs/${encodeURIComponent(jobId)}` } };
}

async function handleShow(context: RouteContext, exchange: Exchange): Promise<HttpReply> {
    const { homeTimeoutMs, maxWaitMs } = context.limits;
    const range = { least: 0, most: maxWaitMs, fallback: 0 };
    const wait = parseWholeNumber("waitMs", exchange.query.get("waitMs") ?? undefined, range);
    if (wait.kind === "invalid") {
        return buildInvalid(wait.faults);
    }
    const jobId = getJobId(exchange);
    const team = getTeam(exchange);
    const request: HomeRequest = wait.value > 0 ?
        { kind: "waitJob", jobId, team, waitMs: wait.value } :
        { kind: "showJob", jobId, team };
    return buildHomeReply(jobId, await context.callers.callHome(jobId, request, homeTimeoutMs + wait.value));
}

async function handleCancel(context: RouteContext, exchange: Exchange): Promise<HttpReply> {
    const jobId = getJobId(exchange);
    const request: HomeRequest = { kind: "cancelJob", jobId, team: getTeam(exchange) };
    return buildHomeReply(
        jobId,
        await context.callers.callHome(jobId, request, context.limits.homeTimeoutMs),
    );
}

async function handleExplain(context: RouteContext, exchange: Exchange): Promise<HttpReply> {
    const jobId = getJobId(exchange);
    const request: HomeRequest = { kind: "explainJob", jobId, team: getTeam(exchange) };
    return buildHomeReply(
        jobId,
        await context.callers.callHome(jobId, request, context.limits.homeTimeoutMs),
    );
}

function getJobId(exchange: Exchange): string {
    return exchange.params["id"] ?? "";
}

/** Returns the team whose work the token may see; undefined for operators, who see all teams. */
function getTeam(exchange: Exchange): string | undefined {
    return exchange.identity?.kind === "team" ? exchange.identity.caller.team : undefined;
}

type ReplyOf<Kind extends HomeReply["kind"]> = Extract<HomeReply, { readonly kind: Kind; }>;

/** A reply of a job's owner, with the id of the job. */
interface JobReplyOf<Reply> {
    readonly jobId: string;
    readonly reply: Reply;
}

const homeReplies: {
    readonly [Kind in HomeReply["kind"]]: (answer: JobReplyOf<ReplyOf<Kind>>) => HttpReply;
} = {
    job: ({ reply }) => buildJson(reply.created ? 202 : 200, renderJob(reply.job)),
    explanation: ({ jobId, reply }) => buildJson(200, { jobId, lines: reply.lines }),
    outcome: ({ jobId, reply }) =>
        buildJson(200, { jobId, outcome: renderOutcome(reply.outcome), repeated: reply.repeated }),
    notFound: ({ jobId }) =>
        buildNotFound(
            `job ${JSON.stringify(jobId)} of your team`,
            "look at the id; jobs are forgotten some time after their end, as the tree's retentionMs says",
        ),
    keyConflict: ({ reply }) =>
        buildError(409, {
            kind: "keyConflict",
            message: reply.message,
            remedy: "use a new idempotency key for other content, or send the first content again",
            ran: "no",
        }),
    refused: ({ reply }) => buildOutcomeReply(reply.outcome),
    // A 500 for the same reason as `mayHaveRun`: proxies must not retry it on their own.
    uncertain: ({ reply }) =>
        buildError(500, {
            kind: "uncertain",
            message: reply.message,
            remedy:
                "send the same request again with the same idempotency key, or look at the job's location",
            ran: "unknown",
            retryAfterMs: UNCERTAIN_RETRY_MS,
        }),
};

function buildHomeReply(jobId: string, reply: HomeReply): HttpReply {
    const build = homeReplies[reply.kind] as (answer: JobReplyOf<HomeReply>) => HttpReply;
    return build({ jobId, reply });
}
