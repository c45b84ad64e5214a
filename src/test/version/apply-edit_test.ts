/** Tests of edits: merging, conflicts, repeats and the limits of the history. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FieldChange, TreeEdit } from "../../process/operator-gateway.js";
import { applyEdit, MAX_HISTORY_EDITS } from "../../version/apply-edit.js";
import { compareTrees, DEFAULT_TREE, type TreeDocument } from "../../version/index.js";

function makeEdit(editId: string, baseVersion: number, ...changes: FieldChange[]): TreeEdit {
    return { editId, baseVersion, author: "lucia", changes };
}

function applyAll(document: TreeDocument, ...edits: TreeEdit[]): TreeDocument {
    return edits.reduce((current, edit) => {
        const applied = applyEdit(current, edit, 0);
        return applied.kind === "applied" ? applied.document : assert.fail(JSON.stringify(applied));
    }, document);
}

const base = applyAll(
    DEFAULT_TREE,
    makeEdit(
        "first",
        0,
        { path: "batch/rebuild", field: "kind", value: "batch" },
        { path: "gang/reach", field: "kind", value: "gang" },
        { path: "batch", field: "queueLimit", value: 10 },
        { path: "", field: "teams.verona", value: { weight: 1 } },
    ),
);

describe("applyEdit", () => {
    it("merges an edit of another branch with the same base version", () => {
        const merged = applyAll(
            base,
            makeEdit("a", 1, { path: "batch", field: "queueLimit", value: 20 }),
            makeEdit("b", 1, { path: "gang/reach", field: "queueLimit", value: 30 }),
        );
        assert.equal(merged.version, 3);
        assert.equal(merged.root.children?.["batch"]?.settings?.queueLimit, 20);
        assert.equal(merged.root.children?.["gang"]?.children?.["reach"]?.settings?.queueLimit, 30);
    });

    const theirs = makeEdit(
        "a",
        1,
        { path: "batch", field: "queueLimit", value: 20 },
        { path: "", field: "teams.verona.weight", value: 2 },
    );
    const conflictCases: readonly { name: string; change: FieldChange; expected: unknown; }[] = [
        {
            name: "another value of the same field",
            change: { path: "batch", field: "queueLimit", value: 30 },
            expected: [{ path: "batch", field: "queueLimit", base: 10, theirs: 20, yours: 30 }],
        },
        {
            name: "the removal of the same field",
            change: { path: "batch", field: "queueLimit" },
            expected: [{ path: "batch", field: "queueLimit", base: 10, theirs: 20, yours: undefined }],
        },
        {
            name: "a field that contains the changed one",
            change: { path: "", field: "teams.verona", value: { weight: 3 } },
            expected: [{
                path: "",
                field: "teams.verona",
                base: 1,
                theirs: { weight: 2 },
                yours: { weight: 3 },
            }],
        },
    ];
    for (const { name, change, expected } of conflictCases) {
        it(`reports a conflict for ${name}`, () => {
            const result = applyEdit(applyAll(base, theirs), makeEdit("b", 1, change), 0);
            assert.deepEqual(result, { kind: "conflict", conflicts: expected });
        });
    }

    it("accepts the same value for the same field without a conflict", () => {
        const result = applyEdit(
            applyAll(base, theirs),
            makeEdit("b", 1, { path: "batch", field: "queueLimit", value: 20 }),
            0,
        );
        assert.equal(result.kind, "applied");
    });

    it("recognizes a repeated edit, even after later edits", () => {
        const later = applyAll(base, theirs, makeEdit("c", 2, { path: "batch", field: "weight", value: 4 }));
        assert.deepEqual(applyEdit(later, theirs, 0), { kind: "repeated", version: 2 });
    });

    const faultCases: readonly { name: string; edit: TreeEdit; path: RegExp; }[] = [
        {
            name: "an id used by another edit",
            edit: makeEdit("first", 1, { path: "batch", field: "weight", value: 2 }),
            path: /^editId$/,
        },
        { name: "no change", edit: makeEdit("x", 1), path: /^changes$/ },
        {
            name: "a base version newer than the tree",
            edit: makeEdit("x", 9, { path: "batch", field: "weight", value: 2 }),
            path: /^baseVersion$/,
        },
        {
            name: "a mistyped path",
            edit: makeEdit("x", 1, { path: "bach", field: "weight", value: 2 }),
            path: /^bach: weight$/,
        },
        {
            name: "a field changed twice",
            edit: makeEdit(
                "x",
                1,
                { path: "batch", field: "defaultResources", value: {} },
                { path: "batch", field: "defaultResources.cpuMillis", value: 3 },
            ),
            path: /defaultResources\.cpuMillis$/,
        },
        {
            name: "an unknown field",
            edit: makeEdit("x", 1, { path: "batch", field: "queue", value: 3 }),
            path: /^batch: queue$/,
        },
        {
            name: "a value that contradicts another field",
            edit: makeEdit("x", 1, { path: "batch/rebuild", field: "connectionsPerWorker", value: 3 }),
            path: /slotsPerWorker$/,
        },
        {
            name: "an edit over the size limit",
            edit: makeEdit("x", 1, {
                path: "",
                field: "teams.verona",
                value: { weight: "9".repeat(200_000) },
            }),
            path: /^changes$/,
        },
    ];
    for (const { name, edit, path } of faultCases) {
        it(`refuses ${name}`, () => {
            const result = applyEdit(base, edit, 0);
            assert.equal(result.kind, "faults");
            assert.match(result.kind === "faults" ? result.faults[0]?.path ?? "" : "", path);
        });
    }

    // An edit is applied but its answer is lost, and it is sent again after its id has left the history.
    // Applying it a second time would undo later edits.
    it("refuses a repeated edit that is no longer in the history", () => {
        const edits = Array.from(
            { length: MAX_HISTORY_EDITS },
            (...[, index]) =>
                makeEdit(`later-${index}`, index + 2, { path: "batch", field: "weight", value: index + 1 }),
        );
        const later = applyAll(base, theirs, ...edits);
        assert.equal(later.recentEdits.length, MAX_HISTORY_EDITS);
        const result = applyEdit(later, theirs, 0);
        assert.equal(result.kind === "faults" ? result.faults[0]?.path : result.kind, "baseVersion");
    });

    it("removes a branch with its last value", () => {
        const removed = applyAll(base, makeEdit("x", 1, { path: "gang/reach", field: "kind" }));
        assert.equal(removed.root.children?.["gang"], undefined);
    });
});

describe("compareTrees", () => {
    it("returns the changes that turn one tree into another", () => {
        const target = applyAll(
            base,
            makeEdit(
                "x",
                1,
                { path: "batch", field: "queueLimit" },
                { path: "short/nozzle", field: "kind", value: "short" },
                { path: "", field: "cell.ejectionMs", value: 9_000 },
            ),
        );
        const changes = compareTrees(base.root, target.root);
        const reached = applyAll(base, makeEdit("y", 1, ...changes));
        assert.deepEqual(reached.root, target.root);
    });
});
