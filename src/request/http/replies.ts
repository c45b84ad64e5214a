/** Builds the answers of the HTTP interface: JSON bodies, errors, and the HTTP status of each outcome. */
import { NotRunReason } from "../../common/outcome.js";
import type { Outcome } from "../../common/outcome.js";
import type { SettingsFault } from "../../process/operator-gateway.js";
import type { HttpReply } from "./exchange.js";

/** Media type of JSON answers. */
export const JSON_TYPE = "application/json";

/** Whether the requested work ran. */
export type Ran = "no" | "yes" | "unknown";

/** Body of every error answer; documented in docs/CALLERS.md. */
export interface ErrorBody {
    readonly kind: string;
    readonly message: string;
    /** What the caller can do. */
    readonly remedy: string;
    readonly ran: Ran;
    /** Time in milliseconds after which a retry is worthwhile; absent if it never is. */
    readonly retryAfterMs?: number;
    /** Why the work did not run, for kind `notRun`. */
    readonly reason?: string;
    /** All faults that were found, for kind `invalid`. */
    readonly faults?: readonly SettingsFault[];
}

/**
 * Builds a JSON answer.
 * @param headers - Additional headers.
 */
export function buildJson(status: number, value: unknown, headers?: HttpReply["headers"]): HttpReply {
    return { status, contentType: JSON_TYPE, body: JSON.stringify(value), headers };
}

const MS_PER_SECOND = 1_000;

/**
 * Builds an error answer, with `Retry-After` if a retry is worthwhile.
 * @param headers - Additional headers.
 */
export function buildError(status: number, error: ErrorBody, headers?: HttpReply["headers"]): HttpReply {
    if (error.retryAfterMs === undefined) {
        return buildJson(status, error, headers);
    }
    const seconds = Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_SECOND));
    return buildJson(status, error, { ...headers, "retry-after": String(seconds) });
}

/**
 * HTTP status of work that did not run, by reason. 503 means that the same request may succeed later; the
 * other codes mean that it cannot succeed unchanged.
 */
export const NOT_RUN_STATUS: Readonly<Record<NotRunReason, number>> = {
    [NotRunReason.overloaded]: 503,
    [NotRunReason.deadline]: 504,
    [NotRunReason.neverFits]: 422,
    [NotRunReason.noWorker]: 503,
    [NotRunReason.storeUnavailable]: 503,
    [NotRunReason.settingsUncertain]: 503,
    [NotRunReason.branchOff]: 409,
    [NotRunReason.keyConflict]: 409,
    [NotRunReason.shuttingDown]: 503,
    [NotRunReason.refusedByWorker]: 503,
    [NotRunReason.notOwner]: 503,
    [NotRunReason.linkDown]: 503,
};

type OutcomeOf<Kind extends Outcome["kind"]> = Extract<Outcome, { readonly kind: Kind; }>;

/**
 * Builds the answer for each kind of outcome. `mayHaveRun` is a 500 rather than a 502, 503 or 504, since
 * proxies retry those on their own and the work must not be sent again.
 */
const outcomeReplies: { readonly [Kind in Outcome["kind"]]: (outcome: OutcomeOf<Kind>) => HttpReply; } = {
    done: outcome => ({
        status: 200,
        contentType: outcome.contentType,
        body: outcome.answer,
        headers: { "x-worker-id": outcome.workerId },
    }),
    failed: outcome =>
        buildError(502, {
            kind: "failed",
            message: outcome.message,
            remedy:
                "it ran and failed: look at the message, mend the request and send it again with a new key",
            ran: "yes",
        }, { "x-worker-id": outcome.workerId }),
    notRun: outcome =>
        buildError(NOT_RUN_STATUS[outcome.reason], {
            kind: "notRun",
            reason: outcome.reason,
            message: `it did not run: ${outcome.reason}`,
            remedy: outcome.remedy,
            ran: "no",
            retryAfterMs: outcome.retryAfterMs,
        }),
    mayHaveRun: outcome =>
        buildError(500, {
            kind: "mayHaveRun",
            message: outcome.message,
            remedy: "check whether it took effect before you send it again under another key",
            ran: "unknown",
        }),
    cancelled: outcome =>
        buildError(409, {
            kind: "cancelled",
            message: outcome.started ?
                "it was cancelled after it had started" :
                "it was cancelled before it started",
            remedy: "hand it in again if it is still wanted",
            ran: outcome.started ? "yes" : "no",
        }),
};

/** Builds the answer for an outcome. */
export function buildOutcomeReply(outcome: Outcome): HttpReply {
    const build = outcomeReplies[outcome.kind] as (outcome: Outcome) => HttpReply;
    return build(outcome);
}

/** Builds the answer to input with faults. */
export function buildInvalid(faults: readonly SettingsFault[]): HttpReply {
    return buildError(400, {
        kind: "invalid",
        message: `the request has ${faults.length} fault${faults.length === 1 ? "" : "s"}`,
        remedy: "mend each fault by its remedy and send the request again",
        ran: "no",
        faults,
    });
}

/** Builds the answer for work or a path that does not exist or that the token's team may not see. */
export function buildNotFound(what: string, remedy: string): HttpReply {
    return buildError(404, { kind: "notFound", message: `there is no ${what}`, remedy, ran: "no" });
}
