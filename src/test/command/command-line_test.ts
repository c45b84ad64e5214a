/** Tests of the command line against a fake entry: output, errors and exit codes. */
import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { after, before, describe, it } from "node:test";
import { runCommandLine } from "../../command/index.js";
import { type RunningStandIn, startHttpStandIn } from "../../stand-ins/http-stand-in.js";
import { parseTreeFile } from "../../version/index.js";

interface Run {
    readonly code: number;
    readonly stdout: string;
    readonly stderr: string;
}

async function run(...args: string[]): Promise<Run> {
    const stdout = new PassThrough();
    const stderr = new PassThrough();
    const code = await runCommandLine(args, { stdout, stderr });
    return { code, stdout: String(stdout.read() ?? ""), stderr: String(stderr.read() ?? "") };
}

const directory = mkdtempSync(join(tmpdir(), "cactusrack-"));
after(() => rmSync(directory, { recursive: true }));

function writeFile(name: string, content: unknown): string {
    const path = join(directory, name);
    writeFileSync(path, typeof content === "string" ? content : JSON.stringify(content));
    return path;
}

describe("usage", () => {
    const cases: readonly { name: string; args: string[]; }[] = [
        { name: "an unknown command", args: ["frobnicate"] },
        { name: "a missing option", args: ["check"] },
        { name: "a missing file", args: ["check", "--settings", "/nonexistent/entry.json"] },
        { name: "an invalid address", args: ["status", "--entry", "nowhere"] },
        { name: "a malformed change", args: ["tree", "check", "queueLimit"] },
        { name: "neither file nor changes", args: ["tree", "set"] },
    ];
    for (const { name, args } of cases) {
        it(`exits with 2 on ${name}`, async () => {
            const { code, stdout, stderr } = await run(...args);
            assert.equal(code, 2);
            assert.equal(stdout, "");
            assert.notEqual(stderr, "");
        });
    }

    it("prints version and help on standard output", async () => {
        assert.match((await run("--version")).stdout, /^\d+\.\d+\.\d+\n$/);
        assert.match((await run()).stdout, /tree set/);
        assert.match((await run("tree", "set", "--help")).stdout, /Bring in a whole tree/);
    });
});

describe("check", () => {
    it("reports all three faults at once and prints nothing else", async () => {
        const path = writeFile("three.json", {
            memberName: "entry-1",
            cell: "Porte Aperte",
            failureDomain: "sala-milano",
            peers: { listen: { host: "127.0.0.1", port: 0 }, secret: "0123456789abcdef" },
            http: { listen: { host: "localhost", port: 0 } },
            platform: { store: "http://127.0.0.1:2400", vmList: "http://127.0.0.1:2500" },
            shutdownMs: "20s",
        });
        const { code, stdout, stderr } = await run("check", "--settings", path);
        assert.equal(code, 2);
        assert.equal(stderr, "");
        assert.deepEqual(stdout.match(/^\S+$/gm), ["cell", "http.listen.host", "shutdownMs"]);
        assert.equal(stdout.match(/^ {2}remedy: {2}\S/gm)?.length, 3);
        assert.match(stdout, /3 faults\n$/);
        const json = JSON.parse((await run("check", "--json", "--settings", path)).stdout) as {
            faults: unknown[];
        };
        assert.equal(json.faults.length, 3);
    });
});

describe("example trees", () => {
    for (const path of ["examples/porte-aperte.json", "examples/hooghly.json"]) {
        it(`${path} is valid`, async () => {
            assert.equal(parseTreeFile(readFileSync(path, "utf8")).kind, "valid");
            assert.equal((await run("tree", "check", "--file", path)).code, 0);
        });
    }
});

describe("commands that call an entry", () => {
    const tree = { children: { batch: { kind: "batch", settings: { queueLimit: 5 } } } };
    let entry: RunningStandIn;
    let editReply: { status: number; value: unknown; };
    let edit: { changes?: unknown; baseVersion?: number; } = {};
    const json = (value: unknown, status = 200) => ({
        status,
        headers: { "content-type": "application/json" },
        body: JSON.stringify(value),
    });
    before(async () => {
        entry = await startHttpStandIn([
            { method: "GET", path: "/v1/admin/tree", handle: () => json({ version: 4, tree }) },
            {
                method: "POST",
                path: "/v1/admin/tree/edits",
                handle: ({ body }) => {
                    edit = JSON.parse(body.toString()) as typeof edit;
                    return json(editReply.value, editReply.status);
                },
            },
            {
                method: "GET",
                path: "/v1/jobs/:id",
                handle: () =>
                    json({ kind: "notFound", message: "there is no job", remedy: "look", ran: "no" }, 404),
            },
        ]);
    });
    after(() => entry.close());

    const editCases = [
        {
            name: "accepted",
            reply: { status: 200, value: { kind: "accepted", version: 5, inForce: ["a", "b"] } },
            code: 0,
            output: /in force on all 2 entries/,
        },
        {
            name: "written",
            reply: { status: 202, value: { kind: "written", version: 5, inForce: ["a"], missing: ["b"] } },
            code: 0,
            output: /not yet confirmed by b/,
        },
        {
            name: "in conflict",
            reply: {
                status: 409,
                value: {
                    kind: "conflict",
                    version: 6,
                    conflicts: [{ path: "batch", field: "queueLimit", base: 5, theirs: 6, yours: 7 }],
                },
            },
            code: 1,
            output: /theirs: 6\n {2}yours: {2}7/,
        },
        {
            name: "uncertain",
            reply: { status: 500, value: { kind: "uncertain", message: "send it again", retryAfterMs: 100 } },
            code: 1,
            output: /edit id: e-1/,
        },
    ];
    for (const { name, reply, code, output } of editCases) {
        it(`report an edit that is ${name}`, async () => {
            editReply = reply;
            const result = await run(
                "tree",
                "set",
                "--entry",
                entry.url,
                "--edit-id",
                "e-1",
                "batch:queueLimit=7",
            );
            assert.equal(result.code, code);
            assert.match(result.stdout, output);
            assert.deepEqual(edit, {
                editId: "e-1",
                baseVersion: 4,
                changes: [{ path: "batch", field: "queueLimit", value: 7 }],
            });
        });
    }

    it("submit only the differences between a file and the tree", async () => {
        editReply = editCases[0]?.reply ?? assert.fail();
        const file = writeFile("tree.json", {
            children: { batch: { kind: "batch", settings: { weight: 2 } } },
        });
        assert.equal((await run("tree", "set", "--entry", entry.url, "--file", file)).code, 0);
        assert.deepEqual(edit.changes, [
            { path: "batch", field: "weight", value: 2 },
            { path: "batch", field: "queueLimit" },
        ]);
    });

    it("exit with 1 and print the remedy when the entry refuses", async () => {
        const { code, stdout, stderr } = await run("job", "show", "--entry", entry.url, "j1");
        assert.deepEqual({ code, stdout }, { code: 1, stdout: "" });
        assert.match(stderr, /there is no job\nremedy: look/);
    });

    it("exit with 1 when the entry does not answer", async () => {
        const { code, stderr } = await run("status", "--entry", "http://127.0.0.1:1");
        assert.equal(code, 1);
        assert.match(stderr, /check --entry/);
    });
});
