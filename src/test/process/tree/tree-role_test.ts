/** The tree role under failures of the store, links and entries. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EditReply, TreeEdit } from "../../../process/operator-gateway.js";
import { makeStoredTree, TreeCell } from "./tree-cell.js";

const TREE_KEY = "cell/tree";

function makeEdit(editId: string, path: string, value: number, baseVersion = 1): TreeEdit {
    return { editId, baseVersion, author: "lucia", changes: [{ path, field: "queueLimit", value }] };
}

async function makeCell(count = 3): Promise<TreeCell> {
    const cell = new TreeCell(count);
    cell.store.put(TREE_KEY, makeStoredTree());
    await cell.clock.step(2_000);
    return cell;
}

function listVersions(cell: TreeCell): readonly number[] {
    return cell.entries.filter(entry => !entry.dead).map(entry => entry.role.getVersion());
}

function getLimit(cell: TreeCell, path: string): number | undefined {
    return cell.getStored().root.children?.[path]?.settings?.queueLimit;
}

function getVersion(reply: EditReply): number {
    return reply.kind === "accepted" || reply.kind === "written" ?
        reply.version :
        assert.fail(JSON.stringify(reply));
}

describe("an edit", () => {
    it("is accepted when all entries have it in force", async () => {
        const cell = await makeCell();
        const reply = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.deepEqual(reply, { kind: "accepted", version: 2, inForce: ["e0", "e1", "e2"] });
        assert.deepEqual(listVersions(cell), [2, 2, 2]);
    });

    it("makes the first tree of a new cell", async () => {
        const cell = new TreeCell(2);
        await cell.clock.step(1_500);
        assert.equal(cell.get(0).role.getCurrent()?.version, 0);
        const edit = {
            ...makeEdit("a", "batch", 1, 0),
            changes: [{ path: "batch", field: "kind", value: "batch" }],
        };
        assert.equal((await cell.edit(cell.get(1), edit)).kind, "accepted");
        assert.deepEqual([...cell.get(0).role.getCurrent()?.branches.keys() ?? []], ["batch"]);
    });

    it("is refused with its faults and not written", async () => {
        const cell = await makeCell();
        const reply = await cell.edit(cell.get(0), makeEdit("a", "batch", -1));
        assert.equal(reply.kind, "invalid");
        assert.equal(cell.get(0).store.writes, 0);
    });

    it("is previewed by a dry run that changes nothing", async () => {
        const cell = await makeCell();
        const report = cell.get(0).role.checkEdit(makeEdit("a", "batch", 7));
        assert.deepEqual(report.changedBranches.map(({ path, fields }) => ({ path, fields })), [
            { path: "batch", fields: [{ field: "queueLimit", before: 1_000, after: 7 }] },
        ]);
        assert.deepEqual(listVersions(cell), [1, 1, 1]);
    });
});

describe("two operators at once", () => {
    // Two operators edit the same field through two entries at the same time. Both compare-and-swaps are
    // based on version 1 and the store applies one. The other operator must see both values, not overwrite
    // the first edit.
    it("see a conflict when they edit the same field", async () => {
        const cell = await makeCell();
        const both = Promise.all([
            cell.get(0).role.editTree(makeEdit("a", "batch", 7)),
            cell.get(1).role.editTree(makeEdit("b", "batch", 8)),
        ]);
        const replies = await cell.clock.wait(both, 20_000);
        const conflict = replies.find(reply => reply.kind === "conflict");
        const winner = getLimit(cell, "batch");
        assert.deepEqual(replies.map(reply => reply.kind).sort(), ["accepted", "conflict"]);
        assert.deepEqual(conflict?.kind === "conflict" ? conflict.conflicts : [], [
            {
                path: "batch",
                field: "queueLimit",
                base: undefined,
                theirs: winner,
                yours: winner === 7 ? 8 : 7,
            },
        ]);
    });

    // Concurrent edits of different branches: the second compare-and-swap is refused at first, yet both edits
    // must be accepted and the tree must contain both.
    it("are both accepted when they edit different branches", async () => {
        const cell = await makeCell();
        const both = Promise.all([
            cell.get(0).role.editTree(makeEdit("a", "batch", 7)),
            cell.get(1).role.editTree(makeEdit("b", "gang", 8)),
        ]);
        const replies = await cell.clock.wait(both, 20_000);
        assert.deepEqual(replies.map(reply => reply.kind), ["accepted", "accepted"]);
        assert.deepEqual([getLimit(cell, "batch"), getLimit(cell, "gang")], [7, 8]);
        assert.equal(cell.getStored().version, 3);
    });
});

describe("a lost answer", () => {
    // The store applies the write but its answer is lost. The operator gets `uncertain` and sends the edit
    // again, to another entry. The repeat must find the edit done and not apply it twice.
    it("is resolved by the edit's id", async () => {
        const cell = await makeCell();
        cell.get(0).store.writeFaults.push("lost");
        const first = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(first.kind, "uncertain");
        const second = await cell.edit(cell.get(1), makeEdit("a", "batch", 7));
        assert.equal(getVersion(second), 2);
        assert.equal(cell.getStored().version, 2);
    });

    // The accepting entry writes the edit and crashes before it answers or notifies anyone. Another operator
    // then changes the same field. The first operator's repeat must not undo that change.
    it("does not undo a later edit when the accepting entry crashed", async () => {
        const cell = await makeCell();
        cell.get(0).store.writeFaults.push("lostForGood");
        const unanswered = cell.get(0).role.editTree(makeEdit("a", "batch", 7));
        await cell.clock.step(2);
        cell.kill(cell.get(0));
        await unanswered;
        await cell.clock.step(1_000);
        cell.setMembers(["e1", "e2"]);
        assert.equal((await cell.edit(cell.get(1), makeEdit("b", "batch", 9, 2))).kind, "accepted");
        const repeat = await cell.edit(cell.get(2), makeEdit("a", "batch", 7));
        assert.equal(getVersion(repeat), 2);
        assert.equal(getLimit(cell, "batch"), 9);
    });
});

describe("a broken watch", () => {
    // The watch of one entry is broken during an edit made elsewhere. The accepting entry's push must deliver
    // the version, or the edit would not be in force everywhere within seconds.
    it("does not prevent an edit from coming into force", async () => {
        const cell = await makeCell();
        cell.get(2).store.watchBroken = true;
        const reply = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(reply.kind, "accepted");
        assert.deepEqual(listVersions(cell), [2, 2, 2]);
    });

    // The accepting entry crashes right after its write, so only entries with a working watch learn of it.
    // The others must learn of it from digests.
    it("is compensated by digests when the accepting entry crashed", async () => {
        const cell = await makeCell();
        cell.get(2).store.watchBroken = true;
        cell.store.put(TREE_KEY, makeStoredTree(2));
        await cell.clock.step(600);
        assert.deepEqual(listVersions(cell), [2, 2, 2]);
    });
});

describe("a partitioned entry", () => {
    // One entry still runs but reaches neither the store nor its peers. An edit must not be reported as
    // accepted while that entry may act on the previous version, and must be once that entry has certainly
    // stopped acting.
    it("stops acting before an edit is accepted without it", async () => {
        const cell = await makeCell();
        const cut = cell.get(2);
        cut.linksCut = true;
        cut.store.cut = true;
        const first = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(first.kind, "written");
        assert.deepEqual(first.kind === "written" ? first.missing : [], ["e2"]);
        assert.equal(cut.role.isCurrent(), false);
        cell.setMembers(["e0", "e1"], ["e2"]);
        const second = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(second.kind, "accepted");
        assert.equal(cut.role.getVersion(), 1);
    });

    // The cell is partitioned: two entries reach the store; three reach only each other and use the old
    // table. Those three continue by the majority rule, so an edit on the other side must never be reported
    // as accepted.
    it("prevents an edit from being accepted while a majority may continue without it", async () => {
        const cell = await makeCell(5);
        for (const index of [2, 3, 4]) {
            cell.get(index).store.cut = true;
        }
        const links = cell.isLinked.bind(cell);
        const isInner = (id: string | undefined) => id === "e0" || id === "e1";
        cell.isLinked = (left, right) =>
            links(left, right) && isInner(left?.memberId) === isInner(right?.memberId);
        await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        cell.setMembers(["e0", "e1"], ["e2", "e3", "e4"]);
        const reply = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(reply.kind, "written");
        assert.deepEqual(reply.kind === "written" ? reply.missing : [], ["e2", "e3", "e4"]);
    });

    it("acts again once it reaches the store", async () => {
        const cell = await makeCell();
        cell.get(2).linksCut = true;
        cell.get(2).store.cut = true;
        await cell.clock.step(4_000);
        assert.equal(cell.get(2).role.isCurrent(), false);
        cell.get(2).store.cut = false;
        cell.get(2).store.replayRecords();
        assert.equal(cell.get(2).role.isCurrent(), true);
    });
});

describe("a failing store", () => {
    // Every answer of the store takes 5 s, and so does writing the edit. It must then be in force everywhere
    // at once: the accepting entry pushes it to its peers, which need not wait for their slow watches.
    it("that answers after 5 s delays an edit but not its coming into force", async () => {
        const cell = await makeCell();
        cell.store.slowMs = 5_000;
        const edited = cell.get(0).role.editTree(makeEdit("a", "batch", 7));
        await cell.clock.step(5_200);
        assert.deepEqual(listVersions(cell), [2, 2, 2]);
        assert.equal(getVersion(await cell.clock.wait(edited, 20_000)), 2);
    });

    // The store is down for ten minutes. Entries that reach each other continue; an edit is certainly not
    // made, and the reply says so, with a time to retry after.
    it("that is down lets connected entries continue, and edits are refused", async () => {
        const cell = await makeCell();
        cell.store.down = true;
        await cell.clock.step(600_000);
        assert.deepEqual(cell.entries.map(entry => entry.role.isCurrent()), [true, true, true]);
        const reply = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(reply.kind, "unavailable");
        assert.ok(reply.kind === "unavailable" && reply.retryAfterMs > 0);
        cell.get(0).linksCut = true;
        await cell.clock.step(4_000);
        assert.deepEqual(cell.entries.map(entry => entry.role.isCurrent()), [false, true, true]);
    });

    const badRecords = [
        { name: "damaged text", text: '{"format":1,', code: "CR1201" },
        { name: "a newer format", text: '{"format":2}', code: "CR1201" },
        { name: "an older version, restored from a backup", text: makeStoredTree(1), code: "CR1202" },
        { name: "no record at all", text: undefined, code: "CR1202" },
    ];
    for (const { name, text, code } of badRecords) {
        it(`with ${name} leaves the version in force and logs an error`, async () => {
            const cell = await makeCell();
            await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
            cell.store.put(TREE_KEY, text);
            await cell.clock.step(100);
            assert.deepEqual(listVersions(cell), [2, 2, 2]);
            assert.ok(cell.get(1).log.lines.some(line => line.code === code));
        });
    }

    it("with an older version receives the next edit on top of the version in force", async () => {
        const cell = await makeCell();
        await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        cell.store.put(TREE_KEY, makeStoredTree(1));
        await cell.clock.step(100);
        assert.equal((await cell.edit(cell.get(1), makeEdit("b", "gang", 8, 2))).kind, "accepted");
        assert.deepEqual([getLimit(cell, "batch"), getLimit(cell, "gang")], [7, 8]);
        assert.deepEqual(listVersions(cell), [3, 3, 3]);
    });

    it("with damaged text has edits refused until it is repaired", async () => {
        const cell = await makeCell();
        cell.store.put(TREE_KEY, "damaged");
        assert.equal((await cell.edit(cell.get(0), makeEdit("a", "batch", 7))).kind, "invalid");
        assert.equal(cell.store.records.get(TREE_KEY)?.value, "damaged");
    });
});

describe("membership", () => {
    // An entry reads the tree, the members accept an edit, and only then the entry joins. The edit did not
    // wait for its confirmation, so it must not act before it has read the tree again.
    it("counts only after the tree has been read as a member", async () => {
        const cell = await makeCell(2);
        const late = cell.addEntry("late");
        late.store.watchBroken = true;
        await cell.clock.step(200);
        assert.equal(late.role.isCurrent(), false);
        late.linksCut = true;
        cell.get(0).store.writes = 0;
        assert.equal((await cell.edit(cell.get(0), makeEdit("a", "batch", 7))).kind, "accepted");
        cell.setMembers(["e0", "e1", "late"]);
        assert.equal(late.role.isCurrent(), false);
        await cell.clock.step(10);
        assert.equal(late.role.isCurrent(), true);
        assert.equal(late.role.getVersion(), 2);
    });
});

describe("under random faults", () => {
    type Step =
        | { readonly kind: "edit"; readonly entry: number; readonly path: string; }
        | {
            readonly kind: "fault";
            readonly entry: number;
            readonly fault: "cut" | "links" | "watch" | "lose";
        }
        | { readonly kind: "store"; readonly down: boolean; readonly slowMs: number; }
        | { readonly kind: "wait"; readonly ms: number; };
    const step: fc.Arbitrary<Step> = fc.oneof(
        fc.record({
            kind: fc.constant("edit" as const),
            entry: fc.nat(2),
            path: fc.constantFrom("batch", "gang"),
        }),
        fc.record({
            kind: fc.constant("fault" as const),
            entry: fc.nat(2),
            fault: fc.constantFrom("cut" as const, "links" as const, "watch" as const, "lose" as const),
        }),
        fc.record({
            kind: fc.constant("store" as const),
            down: fc.boolean(),
            slowMs: fc.constantFrom(0, 0, 700),
        }),
        fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 1, max: 5_000 }) }),
    );

    /** Applies one step; edits continue during later steps. */
    function applyStep(cell: TreeCell, current: Step, index: number, edits: Promise<EditReply>[]): void {
        if (current.kind === "edit") {
            const { role } = cell.get(current.entry);
            edits.push(role.editTree(makeEdit(`edit-${index}`, current.path, index + 1, role.getVersion())));
        }
        else if (current.kind === "store") {
            cell.store.down = current.down;
            cell.store.slowMs = current.slowMs;
        }
        else if (current.kind === "fault") {
            const entry = cell.get(current.entry);
            entry.store.cut = current.fault === "cut" ? !entry.store.cut : entry.store.cut;
            entry.store.watchBroken = current.fault === "watch" ?
                !entry.store.watchBroken :
                entry.store.watchBroken;
            entry.linksCut = current.fault === "links" ? !entry.linksCut : entry.linksCut;
            if (current.fault === "lose") {
                entry.store.writeFaults.push("lost");
            }
        }
    }

    // Under any mix of edits, lost answers, cut links and store outages, no entry's version ever decreases,
    // no two entries have different trees of one version, and an accepted edit stays in the tree and on all
    // acting entries.
    it("versions never decrease and accepted edits stay", async () => {
        await fc.assert(
            fc.asyncProperty(fc.array(step, { minLength: 3, maxLength: 25 }), async steps => {
                const cell = await makeCell();
                const texts = new Map<number, string>();
                const highest = new Map<string, number>();
                const edits: Promise<EditReply>[] = [];
                let accepted = 0;
                const check = (): void => {
                    for (const { memberId, role } of cell.entries) {
                        const version = role.getVersion();
                        assert.ok(version >= (highest.get(memberId) ?? 0), `${memberId} fell to ${version}`);
                        highest.set(memberId, version);
                        const text = JSON.stringify(role.readTree());
                        assert.equal(text, texts.get(version) ?? text, `two trees of version ${version}`);
                        texts.set(version, text);
                        assert.ok(!role.isCurrent() || version >= accepted, `${memberId} acts on ${version}`);
                    }
                    assert.ok(cell.getStored().version >= accepted);
                };
                for (const [index, current] of steps.entries()) {
                    applyStep(cell, current, index, edits);
                    if (current.kind === "edit") {
                        void edits.at(-1)?.then(reply => {
                            accepted = reply.kind === "accepted" ?
                                Math.max(accepted, reply.version) :
                                accepted;
                        });
                    }
                    await cell.clock.step(current.kind === "wait" ? current.ms : 20);
                    check();
                }
                await cell.clock.step(60_000);
                await Promise.all(edits);
                check();
            }),
            { seed: 20_260_101, numRuns: 60 },
        );
    });
});
