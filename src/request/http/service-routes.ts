/** Route for service requests: forwards the body to a worker and returns its complete answer. */
import type { SettingsFault } from "../../process/operator-gateway.js";
import type { Caller, ServiceRequest } from "../work.js";
import { Access } from "./exchange.js";
import type { Exchange, HttpReply, Route, RouteContext } from "./exchange.js";
import { checkText, parseWholeNumber } from "./input-checks.js";
import type { Checked } from "./input-checks.js";
import { buildInvalid, buildNotFound, buildOutcomeReply } from "./replies.js";

/** Pattern of idempotency keys. */
export const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;
export const KEY_ALLOWED = "1 to 128 visible ASCII characters";

const DEFAULT_CONTENT_TYPE = "application/octet-stream";

export const SERVICE_ROUTES: readonly Route[] = [
    {
        method: "POST",
        path: "/v1/services/*",
        access: Access.team,
        takesBody: true,
        refuse: refuseNewWork,
        handle: handleService,
    },
];

/** Refuses new work before its body is read while the entry accepts none. */
export function refuseNewWork(context: RouteContext): HttpReply | undefined {
    const refusal = context.callers.findRefusal();
    return refusal && buildOutcomeReply(refusal);
}

/**
 * Returns the caller of a request to a route that accepts only teams' tokens.
 * @throws Error if the request has no team's token.
 */
export function requireCaller(exchange: Exchange): Caller {
    if (exchange.identity?.kind !== "team") {
        throw new Error("request without a team's token reached a route that requires one");
    }
    return exchange.identity.caller;
}

async function handleService(context: RouteContext, exchange: Exchange): Promise<HttpReply> {
    const branch = exchange.params["*"] ?? "";
    const settings = context.settings.getCurrent();
    if (settings !== undefined && settings.branches.get(branch)?.kind !== "service") {
        return buildNotFound(
            `service branch ${JSON.stringify(branch.slice(0, MAX_BRANCH_SHOWN))}`,
            "use the path of a branch of kind service in the settings tree",
        );
    }
    const checked = checkServiceRequest(exchange, context, branch);
    if (checked.kind === "invalid") {
        return buildInvalid(checked.faults);
    }
    const result = await context.callers.runService(checked.value);
    const reply = buildOutcomeReply(result.outcome);
    return {
        ...reply,
        headers: {
            ...reply.headers,
            "x-attempts": String(result.attempts),
            "x-repeated": String(result.repeated),
            "x-settings-version": String(result.treeVersion),
        },
    };
}

const MAX_BRANCH_SHOWN = 100;

function checkServiceRequest(
    exchange: Exchange,
    context: RouteContext,
    branch: string,
): Checked<ServiceRequest> {
    const { defaultDeadlineMs, maxDeadlineMs } = context.limits;
    const range = { least: 1, most: maxDeadlineMs, fallback: defaultDeadlineMs };
    const deadline = parseWholeNumber("x-deadline-ms", getHeader(exchange, "x-deadline-ms"), range);
    const key = checkText(
        "idempotency-key",
        getHeader(exchange, "idempotency-key"),
        KEY_PATTERN,
        KEY_ALLOWED,
    );
    const flag = getHeader(exchange, "x-repeatable");
    const repeatable = checkText("x-repeatable", flag, /^(true|false)$/, "true or false");
    if (deadline.kind === "valid" && key.kind === "valid" && repeatable.kind === "valid") {
        const value = {
            requestId: exchange.requestId,
            caller: requireCaller(exchange),
            branch,
            body: exchange.body,
            contentType: getHeader(exchange, "content-type") ?? DEFAULT_CONTENT_TYPE,
            // Not repeatable if omitted: the safe default, at the cost of two writes to the store.
            repeatable: repeatable.value === "true",
            idempotencyKey: key.value,
            deadline: exchange.receivedAt + deadline.value,
        };
        return { kind: "valid", value };
    }
    return { kind: "invalid", faults: [deadline, key, repeatable].flatMap(listFaultsOf) };
}

/** Lists the faults of a check; empty if the input was valid. */
export function listFaultsOf(checked: Checked<unknown>): readonly SettingsFault[] {
    return checked.kind === "invalid" ? checked.faults : [];
}

/** Returns the value of a header; repeated headers are joined with commas. */
export function getHeader(exchange: Exchange, name: string): string | undefined {
    const value = exchange.headers[name];
    return Array.isArray(value) ? value.join(", ") : value;
}
