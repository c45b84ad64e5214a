/** Tests of the settings tree: parsing, faults, inheritance and its maximum size. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { POLICIES } from "../../process/placement/index.js";
import { applyEdit, MAX_HISTORY_EDITS } from "../../version/apply-edit.js";
import {
    ALL_POLICY_NAMES,
    buildSettingsVersion,
    DEFAULT_TREE,
    encodeTree,
    getEffective,
    parseTree,
    parseTreeFile,
    type RootNode,
    type TreeDocument,
} from "../../version/index.js";

function makeTree(root: unknown): string {
    return JSON.stringify({ format: 1, version: 3, root, recentEdits: [] });
}

function parseValid(text: string): TreeDocument {
    const parsed = parseTree(text);
    assert.equal(parsed.kind, "valid", JSON.stringify(parsed));
    return (parsed as { value: TreeDocument; }).value;
}

const services = { services: { children: { catalogo: { kind: "service" } } } };

describe("parseTree", () => {
    const faultCases: readonly { name: string; text: string; path: RegExp; remedy: RegExp; }[] = [
        { name: "text that is not JSON", text: "{", path: /^tree$/, remedy: /mend the text/ },
        {
            name: "a newer format",
            text: JSON.stringify({ format: 2, version: 1, root: {}, recentEdits: [] }),
            path: /^format$/,
            remedy: /replace this entry/,
        },
        {
            name: "a document that is not an object",
            text: "[1]",
            path: /^format$/,
            remedy: /set "format" to 1/,
        },
        {
            name: "a misspelled field",
            text: makeTree({ children: { a: { kind: "batch", settings: { queLimit: 4 } } } }),
            path: /^a: queLimit$/,
            remedy: /"queueLimit"/,
        },
        {
            name: "an unknown field at a branch",
            text: makeTree({ children: { a: { kind: "batch", colour: 4 } } }),
            path: /^a: colour$/,
            remedy: /remove the field/,
        },
        {
            name: "a duration with a unit",
            text: makeTree({ settings: { maxWaitMs: "5s" } }),
            path: /^\(root\): maxWaitMs$/,
            remedy: /such as 5000$/,
        },
        {
            name: "a value out of range",
            text: makeTree({ settings: { retryShare: 1.5 } }),
            path: /retryShare/,
            remedy: /number from 0 to 1$/,
        },
        {
            name: "an unknown policy",
            text: makeTree({ settings: { policy: "fifo" } }),
            path: /policy/,
            remedy: /use one of/,
        },
        {
            name: "a policy for another kind of work",
            text: makeTree({
                settings: { policy: "batch" },
                children: { a: { kind: "service" } },
            }),
            path: /^a: policy$/,
            remedy: /"service"/,
        },
        {
            name: "a bad branch name",
            text: makeTree({ children: { "A b": { kind: "batch" } } }),
            path: /A b/,
            remedy: /lower-case/,
        },
        {
            name: "a child that contradicts its parent",
            text: makeTree({ children: { a: { kind: "batch", children: { b: { kind: "gang" } } } } }),
            path: /^a\/b: kind$/,
            remedy: /use "batch"/,
        },
        {
            name: "more slots than connections",
            text: makeTree({ settings: { connectionsPerWorker: 4 }, children: services }),
            path: /^services\/catalogo: slotsPerWorker$/,
            remedy: /lower slotsPerWorker to 4/,
        },
        {
            name: "a quota below the default task",
            text: makeTree({
                teams: { verona: { quota: { cpuMillis: 500, memoryMib: 4096, accelerators: 0 } } },
                children: { a: { kind: "batch" } },
            }),
            path: /teams\.verona\.quota\.cpuMillis/,
            remedy: /raise the quota to 1000/,
        },
        {
            name: "a token shared by two teams",
            text: makeTree({
                teams: { a: { tokenHashes: ["ab".repeat(32)] }, b: { tokenHashes: ["ab".repeat(32)] } },
            }),
            path: /teams\.b\.tokenHashes/,
            remedy: /remove the hash/,
        },
        {
            name: "a digest interval too long for the freshness period",
            text: makeTree({ cell: { digestMs: 2_000, freshMs: 3_000 } }),
            path: /cell\.freshMs/,
            remedy: /raise cell\.freshMs to 6000/,
        },
        {
            name: "a member lease shorter than the freshness period",
            text: makeTree({ cell: { memberTtlMs: 2_000, freshMs: 3_000 } }),
            path: /cell\.memberTtlMs/,
            remedy: /raise cell\.memberTtlMs to 3000/,
        },
        {
            name: "a worker lease too short to replace an entry",
            text: makeTree({ cell: { workerLeaseMs: 6_000, memberTtlMs: 10_000 } }),
            path: /cell\.workerLeaseMs/,
            remedy: /raise cell\.workerLeaseMs to 10000/,
        },
    ];
    for (const { name, text, path, remedy } of faultCases) {
        it(`refuses ${name}`, () => {
            const parsed = parseTree(text);
            assert.equal(parsed.kind, "faults");
            const faults = parsed.kind === "faults" ? parsed.faults : [];
            assert.equal(faults.length, 1, JSON.stringify(faults));
            assert.match(faults[0]?.path ?? "", path);
            assert.match(faults[0]?.remedy ?? "", remedy);
            assert.ok(faults[0]?.found);
            assert.ok(faults[0]?.allowed);
        });
    }

    it("reports all faults at once", () => {
        const parsed = parseTree(makeTree({
            settings: { maxAttempts: 0, wait: 3 },
            cell: { digestMs: "1s" },
            teams: { verona: { tokenHashes: ["short"] } },
        }));
        assert.equal(parsed.kind === "faults" ? parsed.faults.length : 0, 4);
    });

    it("accepts a bare root or a whole document in a file", () => {
        assert.equal(parseTreeFile(JSON.stringify({ children: services })).kind, "valid");
        assert.equal(parseTreeFile(encodeTree(DEFAULT_TREE)).kind, "valid");
        assert.equal(parseTreeFile(JSON.stringify({ childs: services })).kind, "faults");
    });
});

describe("policies", () => {
    it("match the placement policy table", () => {
        assert.deepEqual([...ALL_POLICY_NAMES].sort(), Object.keys(POLICIES).sort());
    });
});

describe("inheritance", () => {
    const document = parseValid(makeTree({
        settings: { queueLimit: 10, defaultResources: { memoryMib: 99 } },
        children: {
            batch: {
                settings: { queueLimit: 20 },
                children: { rebuild: { kind: "batch", settings: { defaultResources: { cpuMillis: 7 } } } },
            },
        },
    }));

    it("fills in a branch from its ancestors and the defaults", () => {
        const settings = buildSettingsVersion(document);
        assert.deepEqual([...settings.branches.keys()], ["batch/rebuild"]);
        const branch = settings.branches.get("batch/rebuild");
        assert.equal(branch?.queueLimit, 20);
        assert.deepEqual(branch?.defaultResources, { cpuMillis: 7, memoryMib: 99, accelerators: 0 });
        assert.equal(branch?.policy, "batch");
        assert.equal(settings.version, 3);
    });

    it("reports the origin of each value", () => {
        const values = new Map(getEffective(document, "batch/rebuild")?.map(value => [value.field, value]));
        const cases = [
            ["queueLimit", 20, "batch"],
            ["defaultResources.memoryMib", 99, ""],
            ["defaultResources.cpuMillis", 7, "batch/rebuild"],
            ["maxAttempts", 3, "default"],
            ["kind", "batch", "batch/rebuild"],
        ] as const;
        for (const [field, value, origin] of cases) {
            assert.deepEqual(values.get(field), { field, value, origin });
        }
        assert.equal(getEffective(document, "none"), undefined);
    });
});

describe("size", () => {
    it("stays under the store's limit with 410 teams, 200 branches and a full history", () => {
        const quota = { cpuMillis: 64_000_000, memoryMib: 250_000_000, accelerators: 4_200 };
        const teams = Object.fromEntries(Array.from({ length: 410 }, (...[, index]) => [
            `team-with-a-rather-long-name-${index}`,
            { weight: 2, quota, tokenHashes: [`${index}`.padStart(64, "0"), `${index}`.padStart(64, "f")] },
        ]));
        const { branches } = buildSettingsVersion(
            parseValid(makeTree({ children: { a: { kind: "batch" } } })),
        );
        const { path, kind, ...settings } = branches.get("a") ?? assert.fail();
        const children = Object.fromEntries(
            Array.from({ length: 200 }, (...[, index]) => [`${path}-${index}`, { kind, settings }]),
        );
        const makeEdit = (index: number, baseVersion: number) => ({
            editId: `edit-with-an-id-${index}`,
            baseVersion,
            author: "operator@example",
            changes: [
                { path: `${path}-${index % 200}`, field: "queueLimit", value: index + 1 },
                { path: "", field: `teams.team-with-a-rather-long-name-${index % 410}.quota`, value: quota },
            ],
        });
        const recentEdits = Array.from({ length: MAX_HISTORY_EDITS }, (...[, index]) => {
            const { editId, author, changes } = makeEdit(index, index);
            return {
                editId,
                version: index + 1,
                author,
                wallMs: 0,
                changes: changes.map(change => ({ ...change, before: change.value })),
            };
        });
        const full = {
            ...DEFAULT_TREE,
            version: MAX_HISTORY_EDITS,
            root: { teams, children } as RootNode,
            recentEdits,
        };
        const applied = applyEdit(full, makeEdit(MAX_HISTORY_EDITS, MAX_HISTORY_EDITS), 0);
        const document = applied.kind === "applied" ? applied.document : assert.fail(JSON.stringify(applied));
        assert.equal(document.recentEdits.at(-1)?.version, MAX_HISTORY_EDITS + 1);
        // The store client embeds the text in JSON, which escapes its quotes and so adds bytes.
        const bytes = Buffer.byteLength(JSON.stringify(encodeTree(document)));
        assert.ok(bytes < 1_000_000, `${bytes} bytes`);
        console.log(
            `tree of 410 teams, 200 branches, ${document.recentEdits.length} edits: ${bytes} bytes escaped`,
        );
    });
});
