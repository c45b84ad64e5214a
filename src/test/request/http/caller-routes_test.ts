/** Routes for callers: tokens, validation of input, and the answer for each outcome. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NotRunReason } from "../../../common/outcome.js";
import type { Outcome } from "../../../common/outcome.js";
import type { HomeReply } from "../../../connection/messages.js";
import { openHttp } from "../../connection/http/http-harness.js";
import { OPERATOR_TOKEN, OTHER_TOKEN, TEAM_TOKEN } from "../../fakes/fake-gateway.js";
import { listCodes } from "../../fakes/fake-telemetry.js";

const SERVICE = "/v1/services/services/catalogo-beni";
const JOB = { kind: "batch", branch: "batch/season-rebuild", tasks: 3, payload: "p" };

describe("tokens", () => {
    const cases = [
        { method: "POST", path: SERVICE, token: "", status: 401, code: "CR1401" },
        { method: "POST", path: SERVICE, token: "guessed", status: 401, code: "CR1401" },
        { method: "POST", path: SERVICE, token: OPERATOR_TOKEN, status: 403, code: "CR1402" },
        { method: "POST", path: SERVICE, token: TEAM_TOKEN, status: 200, code: undefined },
        { method: "POST", path: "/v1/jobs/j/cancel", token: OPERATOR_TOKEN, status: 403, code: "CR1402" },
        { method: "GET", path: "/v1/jobs/j", token: "", status: 401, code: "CR1401" },
        { method: "GET", path: "/v1/jobs/j", token: OPERATOR_TOKEN, status: 404, code: undefined },
        { method: "GET", path: "/v1/admin/tree", token: TEAM_TOKEN, status: 403, code: "CR1402" },
        { method: "GET", path: "/v1/admin/tree", token: "", status: 401, code: "CR1401" },
        { method: "GET", path: "/healthz", token: "", status: 200, code: undefined },
        { method: "GET", path: "/readyz", token: "", status: 200, code: undefined },
    ];
    for (const { method, path, token, status, code } of cases) {
        it(`${method} ${path} with ${token || "no token"}: ${status}`, async () => {
            const { send, log } = await openHttp();
            const reply = await send(method, path, { token });
            assert.equal(reply.status, status);
            assert.deepEqual(listCodes(log), code === undefined ? [] : [code]);
            assert.equal(JSON.stringify(log.lines).includes(token || "Bearer"), false);
        });
    }

    it("a team sees only its own jobs, operators see all", async () => {
        const { send } = await openHttp();
        const body = JSON.stringify(JOB);
        const path = (await send("POST", "/v1/jobs", { body })).headers.get("location") ?? "";
        const seen = [];
        for (const token of [TEAM_TOKEN, OTHER_TOKEN, OPERATOR_TOKEN]) {
            seen.push((await send("GET", path, { token })).status);
        }
        assert.deepEqual(seen, [200, 404, 200]);
    });

    it("distinguishes the callers of one team", async () => {
        const { send, gateway } = await openHttp();
        for (const id of ["parish-7", "not valid"]) {
            await send("POST", SERVICE, { headers: { "x-caller-id": id } });
        }
        assert.deepEqual(gateway.serviceRequests.map(({ caller }) => caller.callerId), [
            "verona/parish-7",
            "verona",
        ]);
    });
});

describe("service requests", () => {
    it("forward the caller's headers and body", async () => {
        const { send, gateway } = await openHttp();
        const headers = {
            "x-request-id": "visit-1",
            "x-deadline-ms": "1500",
            "idempotency-key": "k1",
            "x-repeatable": "true",
            "content-type": "text/plain",
        };
        const reply = await send("POST", SERVICE, { body: "orari", headers });
        assert.deepEqual([reply.status, reply.text], [200, "ORARI"]);
        assert.equal(reply.headers.get("x-worker-id"), "w1");
        assert.match(reply.headers.get("x-request-id") ?? "", /^visit-1\./);
        const [request] = gateway.serviceRequests;
        assert.deepEqual(
            [request?.branch, request?.repeatable, request?.idempotencyKey, request?.contentType],
            ["services/catalogo-beni", true, "k1", "text/plain"],
        );
    });

    it("count as not repeatable unless the caller says otherwise", async () => {
        const { send, gateway } = await openHttp();
        await send("POST", SERVICE);
        assert.equal(gateway.serviceRequests[0]?.repeatable, false);
    });

    it("report all faulty headers together", async () => {
        const { send, gateway } = await openHttp();
        const headers = { "x-deadline-ms": "-5", "x-repeatable": "maybe", "idempotency-key": "two words" };
        const reply = await send("POST", SERVICE, { headers });
        assert.equal(reply.status, 400);
        const faults = reply.json()["faults"] as Record<string, string>[];
        assert.deepEqual(faults.map(fault => [fault["path"], fault["found"]]), [
            ["x-deadline-ms", "-5"],
            ["idempotency-key", "two words"],
            ["x-repeatable", "maybe"],
        ]);
        assert.equal(gateway.serviceRequests.length, 0);
    });

    it("are not found for a branch of another kind", async () => {
        const { send } = await openHttp();
        assert.equal((await send("POST", "/v1/services/batch/season-rebuild")).status, 404);
    });

    const outcomes: { outcome: Outcome; status: number; ran: string; retryAfter?: string; }[] = [
        { outcome: { kind: "failed", message: "m", workerId: "w" }, status: 502, ran: "yes" },
        { outcome: { kind: "mayHaveRun", message: "m" }, status: 500, ran: "unknown" },
        { outcome: { kind: "cancelled", started: true }, status: 409, ran: "yes" },
        { outcome: { kind: "cancelled", started: false }, status: 409, ran: "no" },
        ...Object.values(NotRunReason).map(reason => ({
            outcome: { kind: "notRun" as const, reason, remedy: "r", retryAfterMs: 1_200 },
            status: { deadline: 504, neverFits: 422, branchOff: 409, keyConflict: 409 }[reason as string] ??
                503,
            ran: "no",
            retryAfter: "2",
        })),
    ];
    for (const { outcome, status, ran, retryAfter } of outcomes) {
        it(`answer ${status} to ${JSON.stringify(outcome)}`, async () => {
            const { send, gateway } = await openHttp();
            gateway.serve = () => outcome;
            const reply = await send("POST", SERVICE);
            assert.deepEqual([reply.status, reply.json()["ran"]], [status, ran]);
            assert.equal(reply.headers.get("retry-after") ?? undefined, retryAfter);
            assert.equal(typeof reply.json()["remedy"], "string");
        });
    }

    it("are refused before their body is read while the entry accepts no work", async () => {
        const { send, gateway } = await openHttp();
        gateway.refusal = { kind: "notRun", reason: "settingsUncertain", remedy: "r", retryAfterMs: 500 };
        const replies = [
            await send("POST", SERVICE),
            await send("POST", "/v1/jobs"),
            await send("GET", "/readyz"),
        ];
        assert.deepEqual(replies.map(({ status }) => status), [503, 503, 503]);
        assert.equal((await send("GET", "/healthz")).status, 200);
    });
});

describe("jobs", () => {
    it("are accepted with their location, with defaults from the branch", async () => {
        const { send, gateway } = await openHttp();
        const reply = await send("POST", "/v1/jobs", {
            body: JSON.stringify({ kind: "gang", branch: "gang/river-reach" }),
        });
        assert.equal(reply.status, 202);
        assert.equal(reply.headers.get("location"), `/v1/jobs/${String(reply.json()["jobId"])}`);
        const [request] = gateway.homeRequests;
        const spec = request?.kind === "submitJob" ? request.spec : undefined;
        assert.deepEqual([spec?.tasks, spec?.repeatable, spec?.urgent], [1, false, false]);
        assert.equal(spec?.resources.cpuMillis, 1_000);
    });

    it("submitted again with the same key are the same job", async () => {
        const { send } = await openHttp();
        const init = { body: JSON.stringify(JOB), headers: { "idempotency-key": "season-1" } };
        const replies = [await send("POST", "/v1/jobs", init), await send("POST", "/v1/jobs", init)];
        assert.deepEqual(replies.map(({ status }) => status), [202, 200]);
        assert.equal(replies[0]?.json()["jobId"], replies[1]?.json()["jobId"]);
    });

    const faulty = [
        { name: "invalid JSON", body: "{", paths: ["body"] },
        { name: "invalid UTF-8", body: Buffer.from([0x22, 0xff, 0x22]), paths: ["body"] },
        { name: "an array in place of an object", body: "[]", paths: ["body"] },
        {
            name: "three faults",
            body: JSON.stringify({
                ...JOB,
                tasks: 0,
                colour: 1,
                resources: { cpuMillis: 1.5, memoryMib: 1 },
            }),
            paths: ["colour", "resources.cpuMillis", "tasks"],
        },
        {
            name: "a branch of another kind",
            body: JSON.stringify({ ...JOB, kind: "gang" }),
            paths: ["branch"],
        },
        { name: "an unknown branch", body: JSON.stringify({ ...JOB, branch: "x" }), paths: ["branch"] },
        { name: "too many tasks", body: JSON.stringify({ ...JOB, tasks: 10_001 }), paths: ["tasks"] },
        {
            name: "a large payload",
            body: JSON.stringify({ ...JOB, payload: "è".repeat(40_000) }),
            paths: ["payload"],
        },
    ];
    for (const { name, body, paths } of faulty) {
        it(`with ${name} are refused with path, found, allowed and remedy`, async () => {
            const { send, gateway } = await openHttp();
            const reply = await send("POST", "/v1/jobs", { body });
            assert.equal(reply.status, 400);
            const faults = reply.json()["faults"] as Record<string, string>[];
            assert.deepEqual(faults.map(fault => fault["path"]).sort(), paths);
            for (const fault of faults) {
                assert.deepEqual(Object.keys(fault), ["path", "found", "allowed", "remedy"]);
                assert.ok(Object.values(fault).every(text => text.length > 0 && text.length < 250));
            }
            assert.equal(gateway.homeRequests.length, 0);
        });
    }

    const replies: { reply: HomeReply; status: number; kind: string; ran: string; }[] = [
        { reply: { kind: "notFound" }, status: 404, kind: "notFound", ran: "no" },
        { reply: { kind: "keyConflict", message: "m" }, status: 409, kind: "keyConflict", ran: "no" },
        { reply: { kind: "uncertain", message: "m" }, status: 500, kind: "uncertain", ran: "unknown" },
        {
            reply: {
                kind: "refused",
                outcome: { kind: "notRun", reason: "storeUnavailable", remedy: "r", retryAfterMs: 5 },
            },
            status: 503,
            kind: "notRun",
            ran: "no",
        },
    ];
    for (const { reply, status, kind, ran } of replies) {
        it(`get ${status} when their owner replies ${reply.kind}`, async () => {
            const { send, gateway } = await openHttp();
            gateway.answerHome = () => reply;
            const answer = await send("POST", "/v1/jobs", { body: JSON.stringify(JOB) });
            assert.deepEqual([answer.status, answer.json()["kind"], answer.json()["ran"]], [
                status,
                kind,
                ran,
            ]);
            assert.equal(answer.headers.has("location"), reply.kind === "uncertain");
        });
    }

    it("are waited for, cancelled and explained", async () => {
        const { send, gateway } = await openHttp();
        const path =
            (await send("POST", "/v1/jobs", { body: JSON.stringify(JOB) })).headers.get("location") ?? "";
        await send("GET", `${path}?waitMs=500`);
        await send("POST", `${path}/cancel`);
        const explained = await send("GET", `${path}/explain`);
        assert.deepEqual(gateway.homeRequests.map(({ kind }) => kind), [
            "submitJob",
            "waitJob",
            "cancelJob",
            "explainJob",
        ]);
        assert.deepEqual(explained.json()["lines"], ["it waits for a worker"]);
        assert.equal((await send("GET", `${path}?waitMs=1e9`)).status, 400);
    });
});
