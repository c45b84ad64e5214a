/** The tree role while the store, links and entries fail. */
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

    it("is shown before it is made", async () => {
        const cell = await makeCell();
        const report = cell.get(0).role.checkEdit(makeEdit("a", "batch", 7));
        assert.deepEqual(report.changedBranches.map(({ path, fields }) => ({ path, fields })), [
            { path: "batch", fields: [{ field: "queueLimit", before: 1_000, after: 7 }] },
        ]);
        assert.deepEqual(listVersions(cell), [1, 1, 1]);
    });
});

describe("two operators at once", () => {
    // Two operators edit the same field through two entries in the same moment. Both compare-and-swaps leave from
    // version 1; the store takes one. The other operator must see both values, not lose the first one's edit.
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

    // The same, on different branches: both must be accepted, though the second compare-and-swap is refused at
    // first, and the tree must hold both.
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
    // The store takes the write and its answer is lost. The operator is told that nobody knows, and sends the edit
    // again, to another entry. The repeat must find the edit done and not make it twice.
    it("is settled by the edit's id", async () => {
        const cell = await makeCell();
        cell.get(0).store.writeFaults.push("lost");
        const first = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(first.kind, "uncertain");
        const second = await cell.edit(cell.get(1), makeEdit("a", "batch", 7));
        assert.equal(getVersion(second), 2);
        assert.equal(cell.getStored().version, 2);
    });

    // The accepting entry writes the edit and dies before it answers or tells anybody. Meanwhile another operator
    // changes the same field on purpose. The first operator's repeat must not undo that.
    it("does not undo a later edit when the accepting entry died", async () => {
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
    // The watch of one entry breaks during an edit made elsewhere. The push of the accepting entry must bring the
    // version there, or the edit would not be in force everywhere within seconds.
    it("does not keep an edit from coming into force", async () => {
        const cell = await makeCell();
        cell.get(2).store.watchBroken = true;
        const reply = await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        assert.equal(reply.kind, "accepted");
        assert.deepEqual(listVersions(cell), [2, 2, 2]);
    });

    // The accepting entry dies right after its write, so nobody is told but those whose watch works; the others
    // must learn from their digests.
    it("is bridged by digests when the accepting entry died", async () => {
        const cell = await makeCell();
        cell.get(2).store.watchBroken = true;
        cell.store.put(TREE_KEY, makeStoredTree(2));
        await cell.clock.step(600);
        assert.deepEqual(listVersions(cell), [2, 2, 2]);
    });
});

describe("an entry that is cut off", () => {
    // One entry hears neither the store nor its peers, and still runs. An edit must not be called accepted while
    // that entry may act on the version before; once it surely has stopped, it must.
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

    // The cell splits: two entries reach the store, three do not but hear each other, under the old table. Those
    // three go on by the majority rule, so an edit on the other side must never be called accepted.
    it("keeps an edit from being accepted while a majority may go on without it", async () => {
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

    it("acts again once it hears the store", async () => {
        const cell = await makeCell();
        cell.get(2).linksCut = true;
        cell.get(2).store.cut = true;
        await cell.clock.step(4_000);
        assert.equal(cell.get(2).role.isCurrent(), false);
        cell.get(2).store.cut = false;
        cell.get(2).store.replay();
        assert.equal(cell.get(2).role.isCurrent(), true);
    });
});

describe("a store that fails", () => {
    // Every answer of the store takes 5 s. The edit takes as long to be written, and must then be in force at
    // once everywhere: the peers are told by the accepting entry, not by their slow watches.
    it("slow by 5 s delays an edit and not its coming into force", async () => {
        const cell = await makeCell();
        cell.store.slowMs = 5_000;
        const edited = cell.get(0).role.editTree(makeEdit("a", "batch", 7));
        await cell.clock.step(5_200);
        assert.deepEqual(listVersions(cell), [2, 2, 2]);
        assert.equal(getVersion(await cell.clock.wait(edited, 20_000)), 2);
    });

    // The store is down for ten minutes. Entries that hear each other go on; an edit is surely not made, and the
    // operator is told so, with when to come back.
    it("down lets entries that hear each other go on, and refuses edits", async () => {
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
        it(`with ${name} leaves the version in force and says so`, async () => {
            const cell = await makeCell();
            await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
            cell.store.put(TREE_KEY, text);
            await cell.clock.step(100);
            assert.deepEqual(listVersions(cell), [2, 2, 2]);
            assert.ok(cell.get(1).log.lines.some(line => line.code === code));
        });
    }

    it("with an older version gets the next edit on top of the one in force", async () => {
        const cell = await makeCell();
        await cell.edit(cell.get(0), makeEdit("a", "batch", 7));
        cell.store.put(TREE_KEY, makeStoredTree(1));
        await cell.clock.step(100);
        assert.equal((await cell.edit(cell.get(1), makeEdit("b", "gang", 8, 2))).kind, "accepted");
        assert.deepEqual([getLimit(cell, "batch"), getLimit(cell, "gang")], [7, 8]);
        assert.deepEqual(listVersions(cell), [3, 3, 3]);
    });

    it("with damaged text refuses edits until it is mended", async () => {
        const cell = await makeCell();
        cell.store.put(TREE_KEY, "damaged");
        assert.equal((await cell.edit(cell.get(0), makeEdit("a", "batch", 7))).kind, "invalid");
        assert.equal(cell.store.records.get(TREE_KEY)?.value, "damaged");
    });
});

describe("membership", () => {
    // An entry reads the tree, an edit is accepted by the members, and only then it joins. Nobody waited for its
    // word, so it must not act before it has read the tree again.
    it("counts only after the tree was read as a member", async () => {
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

    /** Applies one step; edits run on while later steps happen. */
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

    // Any mix of edits, lost answers, cut links and stores. No entry's version ever falls, no two entries hold
    // different trees of one version, and an accepted edit is in the tree for good and on all entries that act.
    it("versions never fall and accepted edits stay", async () => {
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
