/** Routes for operators: the settings tree and the read-only status. */
import { z } from "zod";
import type { EditReply, StatusView, TreeEdit } from "../../process/operator-gateway.js";
import { Access } from "./exchange.js";
import type { Exchange, HttpReply, Route, RouteContext } from "./exchange.js";
import { parseJsonBody, parseWholeNumber } from "./input-checks.js";
import type { Checked } from "./input-checks.js";
import { buildError, buildInvalid, buildJson, buildNotFound } from "./replies.js";

const MAX_HISTORY = 1_000;
const DEFAULT_HISTORY = 50;
const MAX_CHANGES = 1_000;
const TREE_UNAVAILABLE_RETRY_MS = 1_000;

/** Selects the fields of each part of the status. */
const statusParts: Readonly<Record<string, (status: StatusView) => unknown>> = {
    entries: status => ({ entries: status.members }),
    slices: status => ({ workerSlices: status.workerSlices, homeSlices: status.homeSlices }),
    workers: status => ({ workers: status.workers }),
    queues: status => ({ home: status.home }),
};

export const ADMIN_ROUTES: readonly Route[] = [
    buildGetRoute("/v1/admin/tree", handleTree),
    buildGetRoute("/v1/admin/tree/history", handleHistory),
    buildGetRoute("/v1/admin/tree/effective", handleEffective),
    buildPostRoute("/v1/admin/tree/edits", handleEdit),
    buildPostRoute("/v1/admin/tree/check", handleCheck),
    buildGetRoute("/v1/admin/status", context => buildJson(200, context.operators.getStatus())),
    ...Object.entries(statusParts).map(([part, show]) =>
        buildGetRoute(
            `/v1/admin/status/${part}`,
            context => buildJson(200, show(context.operators.getStatus())),
        )
    ),
    buildGetRoute("/v1/admin/status/teams", handleTeams),
];

function buildGetRoute(path: string, handle: Route["handle"]): Route {
    return { method: "GET", path, access: Access.operator, takesBody: false, handle };
}

function buildPostRoute(path: string, handle: Route["handle"]): Route {
    return { method: "POST", path, access: Access.operator, takesBody: true, handle };
}

function handleTree(context: RouteContext): HttpReply {
    const view = context.operators.readTree();
    return view === undefined ? buildTreeUnavailable() : buildJson(200, view, { etag: `"${view.version}"` });
}

function buildTreeUnavailable(): HttpReply {
    return buildError(503, {
        kind: "noTree",
        message: "this entry has not read the tree yet",
        remedy: "ask again, or ask another entry; look at the store if it lasts",
        ran: "no",
        retryAfterMs: TREE_UNAVAILABLE_RETRY_MS,
    });
}

function handleHistory(context: RouteContext, exchange: Exchange): HttpReply {
    const range = { least: 1, most: MAX_HISTORY, fallback: DEFAULT_HISTORY };
    const limit = parseWholeNumber("limit", exchange.query.get("limit") ?? undefined, range);
    return limit.kind === "invalid" ?
        buildInvalid(limit.faults) :
        buildJson(200, { edits: context.operators.listHistory(limit.value) });
}

function handleEffective(context: RouteContext, exchange: Exchange): HttpReply {
    const path = exchange.query.get("path") ?? "";
    const values = context.operators.getEffective(path);
    return values === undefined ?
        buildNotFound(`branch ${JSON.stringify(path)}`, "give `path`, the path of a branch in the tree") :
        buildJson(200, { path, values });
}

function handleTeams(context: RouteContext): HttpReply {
    const settings = context.settings.getCurrent();
    if (settings === undefined) {
        return buildTreeUnavailable();
    }
    // Token hashes are omitted, since readers of the status do not need them.
    const teams = [...settings.teams.values()].map(({ team, weight, quota }) => ({ team, weight, quota }));
    return buildJson(200, { version: settings.version, teams });
}

const nameSchema = z.string("text of 1 to 200 characters").min(1, "text of 1 to 200 characters")
    .max(200, "text of 1 to 200 characters");

const editSchema = z.strictObject({
    editId: nameSchema,
    baseVersion: z.int("a version of the tree").nonnegative("a version of the tree"),
    changes: z.array(
        z.strictObject({
            path: z.string("the path of a branch, empty for the root").max(200, "the path of a branch"),
            field: nameSchema,
            value: z.json().optional(),
        }, "an object with path, field and value"),
        "a list of changes",
    ).min(1, "at least one change").max(MAX_CHANGES, `at most ${MAX_CHANGES} changes`),
}, "a JSON object with editId, baseVersion and changes");

/** Parses and checks an edit; its author is the operator whom the token belongs to. */
function parseEdit(exchange: Exchange): Checked<TreeEdit> {
    const input = parseJsonBody(exchange.body, editSchema);
    if (input.kind === "invalid") {
        return input;
    }
    const author = exchange.identity?.kind === "operator" ? exchange.identity.name : "";
    return { kind: "valid", value: { ...input.value, author } };
}

function handleCheck(context: RouteContext, exchange: Exchange): HttpReply {
    const edit = parseEdit(exchange);
    return edit.kind === "invalid" ?
        buildInvalid(edit.faults) :
        buildJson(200, context.operators.checkEdit(edit.value));
}

async function handleEdit(context: RouteContext, exchange: Exchange): Promise<HttpReply> {
    const edit = parseEdit(exchange);
    return edit.kind === "invalid" ?
        buildInvalid(edit.faults) :
        buildEditReply(await context.operators.editTree(edit.value));
}

type EditReplyOf<Kind extends EditReply["kind"]> = Extract<EditReply, { readonly kind: Kind; }>;

const editReplies: { readonly [Kind in EditReply["kind"]]: (reply: EditReplyOf<Kind>) => HttpReply; } = {
    accepted: reply => buildJson(200, reply),
    written: reply => buildJson(202, reply),
    conflict: reply =>
        buildJson(409, {
            ...reply,
            message: `the tree is at version ${reply.version} and the same fields were changed since`,
            remedy: "look at base, theirs and yours of each conflict, then send a new edit from this version",
            ran: "no",
        }),
    invalid: reply => buildInvalid(reply.faults),
    unavailable: reply =>
        buildError(503, {
            kind: reply.kind,
            message: reply.message,
            remedy: "it was not written; send the same edit again after the time given",
            ran: "no",
            retryAfterMs: reply.retryAfterMs,
        }),
    uncertain: reply =>
        buildError(500, {
            kind: reply.kind,
            message: reply.message,
            remedy: "send the same edit again with the same editId: it is written once at most",
            ran: "unknown",
            retryAfterMs: reply.retryAfterMs,
        }),
};

function buildEditReply(reply: EditReply): HttpReply {
    const build = editReplies[reply.kind] as (reply: EditReply) => HttpReply;
    return build(reply);
}
