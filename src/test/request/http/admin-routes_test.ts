/** Routes for operators, with a scripted entry behind them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EditReply } from "../../../process/operator-gateway.js";
import { openHttp } from "../../connection/http/http-harness.js";
import { OPERATOR_TOKEN } from "../../fakes/fake-gateway.js";

const token = OPERATOR_TOKEN;
const EDIT = { editId: "e2", baseVersion: 7, changes: [{ path: "services", field: "weight", value: 2 }] };

describe("the tree", () => {
    it("is read with its version, effective values and history", async () => {
        const { send } = await openHttp();
        const tree = await send("GET", "/v1/admin/tree", { token });
        assert.deepEqual([tree.headers.get("etag"), tree.json()["version"]], ['"7"', 7]);
        const effective = await send("GET", "/v1/admin/tree/effective?path=services/catalogo-beni", {
            token,
        });
        assert.deepEqual(effective.json()["values"], [{ field: "weight", value: 1, origin: "default" }]);
        assert.equal((await send("GET", "/v1/admin/tree/effective?path=x", { token })).status, 404);
        const history = await send("GET", "/v1/admin/tree/history?limit=1", { token });
        assert.equal((history.json()["edits"] as unknown[]).length, 1);
        assert.equal((await send("GET", "/v1/admin/tree/history?limit=0", { token })).status, 400);
    });

    it("is unavailable until it has been read", async () => {
        const { send, operators } = await openHttp();
        operators.tree = undefined;
        const reply = await send("GET", "/v1/admin/tree", { token });
        assert.deepEqual([reply.status, reply.json()["kind"]], [503, "noTree"]);
    });

    const replies: { reply: EditReply; status: number; }[] = [
        { reply: { kind: "accepted", version: 8, inForce: ["m1"] }, status: 200 },
        { reply: { kind: "written", version: 8, inForce: [], missing: ["m1"] }, status: 202 },
        {
            reply: {
                kind: "conflict",
                version: 9,
                conflicts: [{ path: "services", field: "weight", base: 1, theirs: 3, yours: 2 }],
            },
            status: 409,
        },
        {
            reply: { kind: "invalid", faults: [{ path: "p", found: "f", allowed: "a", remedy: "r" }] },
            status: 400,
        },
        { reply: { kind: "unavailable", message: "m", retryAfterMs: 500 }, status: 503 },
        { reply: { kind: "uncertain", message: "m", retryAfterMs: 500 }, status: 500 },
    ];
    for (const { reply, status } of replies) {
        it(`answers an edit with ${status} ${reply.kind}`, async () => {
            const { send, operators } = await openHttp();
            operators.reply = reply;
            const answer = await send("POST", "/v1/admin/tree/edits", { token, body: JSON.stringify(EDIT) });
            assert.deepEqual([answer.status, answer.json()["kind"]], [status, reply.kind]);
            assert.deepEqual(operators.edits, [{ ...EDIT, author: "anna" }]);
        });
    }

    it("is edited only under the name of the token's operator", async () => {
        const { send, operators } = await openHttp();
        const body = JSON.stringify({ ...EDIT, author: "bruno" });
        const reply = await send("POST", "/v1/admin/tree/edits", { token, body });
        assert.deepEqual([reply.status, operators.edits.length], [400, 0]);
    });

    it("removes a value that a change omits", async () => {
        const { send, operators } = await openHttp();
        const changes = [{ path: "", field: "weight" }];
        await send("POST", "/v1/admin/tree/check", { token, body: JSON.stringify({ ...EDIT, changes }) });
        assert.deepEqual(operators.edits[0]?.changes, changes);
    });

    const faulty = [
        { name: "no changes", body: { ...EDIT, changes: [] }, path: "changes" },
        { name: "an invalid version", body: { ...EDIT, baseVersion: "7" }, path: "baseVersion" },
        { name: "an unknown field", body: { ...EDIT, force: true }, path: "force" },
        {
            name: "a change without a field",
            body: { ...EDIT, changes: [{ path: "" }] },
            path: "changes.0.field",
        },
    ];
    for (const { name, body, path } of faulty) {
        it(`refuses an edit with ${name}`, async () => {
            const { send, operators } = await openHttp();
            const reply = await send("POST", "/v1/admin/tree/edits", { token, body: JSON.stringify(body) });
            assert.equal(reply.status, 400);
            assert.deepEqual(
                (reply.json()["faults"] as Record<string, unknown>[]).map(fault => fault["path"]),
                [path],
            );
            assert.equal(operators.edits.length, 0);
        });
    }
});

describe("the status", () => {
    const cases = [
        { path: "", keys: ["memberId", "workers", "store"] },
        { path: "/entries", keys: ["entries"] },
        { path: "/slices", keys: ["workerSlices", "homeSlices"] },
        { path: "/workers", keys: ["workers"] },
        { path: "/queues", keys: ["home"] },
        { path: "/teams", keys: ["teams"] },
    ];
    for (const { path, keys } of cases) {
        it(`shows ${keys.join(", ")} at /v1/admin/status${path}`, async () => {
            const { send } = await openHttp();
            const reply = await send("GET", `/v1/admin/status${path}`, { token });
            assert.equal(reply.status, 200);
            keys.forEach(key => assert.ok(key in reply.json(), key));
            assert.equal(reply.text.includes("tokenHashes"), false);
        });
    }
});
