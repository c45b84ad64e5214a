/** Stories of the store: away, slow, forgetful of answers, and two operators at once. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Branch } from "./cell.js";
import { countOutcomes, runLoad, runStory, runStoryOnBoth } from "./stories.js";

describe("the store", () => {
    it("is away for ten minutes under load", async () => {
        // Visitors see: answers as always. Volunteers see: "not run" with a time to come back. Order: the store goes away
        // for ten minutes and comes back. Cause: an outage of the platform, longer than every lease.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            cell.stopStore(600_000);
            const load = runLoad({ cell, callers: asking }, 90_000, 1_500);
            await cell.clock.wait(load, 95_000);
            await cell.clock.step(515_000);
        }, { cell: { outageToleranceMs: 900_000 } });
        const visitors = callers.requests.filter(request => request.repeatable);
        const answered = visitors.filter(request => request.outcome?.kind === "done").length;
        assert(answered >= visitors.length * 0.95, `${answered} of ${visitors.length} visitors answered`);
    });

    it("is away beyond what the settings tolerate, on both kinds of workers", async () => {
        // Visitors see: "not run" once nobody can tell any more who owns what. Order: the store is away for longer than
        // outageToleranceMs. Cause: an outage. Nothing runs twice when it comes back.
        await runStoryOnBoth(async ({ cell, callers }) => {
            cell.stopStore(135_000);
            const load = runLoad({ cell, callers }, 20_000, 900);
            await cell.clock.wait(load, 30_000);
            await cell.clock.step(118_000);
        });
    });

    it("answers after 5 s", async () => {
        // Operators and volunteers see: slow confirmations, never wrong ones. Order: every call takes effect after 2.5 s
        // and is answered after 5 s. Leases are those of a new tree: none shorter than the way to the store and back can be
        // kept. Cause: an overloaded store.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.slowMs = 2_500;
            }
            const load = runLoad({ cell, callers: asking }, 20_000, 500);
            void asking.edit(cell.getMember(1), 501);
            await cell.clock.wait(load, 30_000);
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.slowMs = 0;
            }
        }, { cell: { memberTtlMs: 15_000, workerLeaseMs: 20_000 } });
        const visitors = callers.requests.filter(request => request.repeatable);
        assert(visitors.filter(request => request.outcome?.kind === "done").length >= visitors.length * 0.9);
    });

    it("takes a write and loses its answer", async () => {
        // A council sees: its job accepted once. Order: the acceptance is written, the answer is lost, the home repeats
        // the write under the same id. Cause: a lost answer.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.dropAnswerShare = 0.5;
            }
            await cell.clock.wait(
                asking.submit({ kind: "batch", tasks: 3, runMs: 300, repeatable: false }),
                60_000,
            );
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.dropAnswerShare = 0;
            }
        });
        assert.equal(callers.jobs[0]?.view?.counts.done, 3);
    });

    it("takes a write, loses its answer, and the writer dies", async () => {
        // A council sees: no answer, asks again, and its job ran once. Order: the acceptance is written, the answer is
        // lost, the home dies, the next home reads it back. Cause: a lost answer and a lost VM together.
        for (const offset of [2, 4, 8, 15, 40]) {
            const { callers } = await runStory(async ({ cell, callers: asking }) => {
                for (let index = 0; index < 4; index++) {
                    cell.getMember(index).storePath.faults.dropAnswerShare = 1;
                }
                const submit = asking.submit({ kind: "short", tasks: 1, runMs: 50, repeatable: false });
                await cell.clock.step(offset);
                cell.killEntry(0);
                cell.killEntry(1);
                for (let index = 2; index < 4; index++) {
                    cell.getMember(index).storePath.faults.dropAnswerShare = 0;
                }
                await cell.clock.wait(submit, 120_000);
            });
            assert.equal(callers.jobs[0]?.view?.state, "ended");
        }
    });
});

describe("edits of the settings", () => {
    it("of one field at two entries: one is accepted, the other is told of the conflict", async () => {
        // Two operators see: one acceptance, one conflict with both values. Order: both read version 1 and edit the same
        // field at the same moment at two entries. Cause: people.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            const both = [asking.edit(cell.getMember(0), 301), asking.edit(cell.getMember(2), 302)];
            await cell.clock.wait(Promise.all(both), 20_000);
        });
        assert.deepEqual(callers.replies.map(reply => reply.kind).sort(), ["accepted", "conflict"]);
    });

    it("of different branches at two entries: both are accepted", async () => {
        // Two operators see: both accepted. Order: as above, in different branches. Cause: people.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            const both = [
                asking.edit(cell.getMember(0), 301),
                asking.edit(cell.getMember(2), 302, "queueLimit", Branch.short),
            ];
            await cell.clock.wait(Promise.all(both), 20_000);
        });
        assert.deepEqual(callers.replies.map(reply => reply.kind), ["accepted", "accepted"]);
    });

    it("while the watches break and answers are lost", async () => {
        // An operator sees: accepted, and it is in force. Order: watches of all entries are cut while the edit is
        // written. Cause: a network fault between entries and store.
        await runStory(async ({ cell, callers }) => {
            const edit = callers.edit(cell.getMember(0), 310);
            await cell.clock.step(3);
            [1, 2, 3].forEach(index => cell.cutStore(cell.getMember(index), 7_000));
            await cell.clock.wait(edit, 30_000);
        });
    });

    it("whose entry dies before it answers stay or were never made, on all entries alike", async () => {
        // An operator sees: no answer. Order: the entry writes the edit and dies at any point before it answers; the
        // others go on. Cause: a lost VM. No entry goes back.
        for (const offset of [1, 3, 5, 8, 30]) {
            const { cell } = await runStory(async ({ cell: running, callers }) => {
                void callers.edit(running.getMember(0), 320);
                await running.clock.step(offset);
                running.killEntry(0);
                await running.clock.step(6_000);
            });
            await cell.clock.step(5_000);
            const versions = cell.listUp().map(member => member.entry.operators.readTree()?.version);
            assert.equal(new Set(versions).size, 1, versions.join(" "));
        }
    });

    it("accepted with one entry cut off are never acted against", async () => {
        // An operator sees: accepted only when the cut-off entry confirmed or surely stopped. Order: one entry hears
        // neither store nor peers, the edit is made elsewhere, callers ask the cut-off entry. Cause: a partition.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            const { memberId } = cell.getMember(3);
            cell.network.cutMember(memberId);
            cell.cutStore(cell.getMember(3), 20_000);
            const edit = asking.edit(cell.getMember(0), 330);
            const load = runLoad({ cell, callers: asking }, 18_000, 300);
            await cell.clock.wait(Promise.all([edit, load]), 40_000);
            cell.network.healMember(memberId);
        });
        assert(callers.replies.length === 1);
        assert((countOutcomes(callers).done ?? 0) > 20);
    });
});
