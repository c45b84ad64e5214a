/** Store outages, slow calls and lost answers, and settings edits under faults. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Branch } from "./cell.js";
import { countOutcomes, runLoad, runScenario, runScenarioOnBothKinds } from "./scenarios.js";

describe("the store", () => {
    it("is unavailable for ten minutes under load", async () => {
        // Guards against failing repeatable requests during a platform outage that is longer than every lease.
        // Requests that must not be repeated get "not run" with a time to retry.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            cell.stopStore(600_000);
            const load = runLoad({ cell, callers: scenarioCallers }, 90_000, 1_500);
            await cell.clock.wait(load, 95_000);
            await cell.clock.step(515_000);
        }, { cell: { outageToleranceMs: 900_000 } });
        const visitors = callers.requests.filter(request => request.repeatable);
        const answered = visitors.filter(request => request.outcome?.kind === "done").length;
        assert(answered >= visitors.length * 0.95, `${answered} of ${visitors.length} visitors answered`);
    });

    it("is unavailable for longer than the settings tolerate, on both kinds of workers", async () => {
        // Guards against work that runs twice after an outage longer than outageToleranceMs. Callers get "not
        // run" once ownership can no longer be known.
        await runScenarioOnBothKinds(async ({ cell, callers }) => {
            cell.stopStore(135_000);
            const load = runLoad({ cell, callers }, 20_000, 900);
            await cell.clock.wait(load, 30_000);
            await cell.clock.step(118_000);
        });
    });

    it("answers after 5 s", async () => {
        // Guards against wrong confirmations and failing repeatable requests while the store is overloaded:
        // every call takes effect after 2.5 s and is answered after 5 s. The leases are those of a new tree,
        // since a lease shorter than the round trip to the store can't be kept.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.slowMs = 2_500;
            }
            const load = runLoad({ cell, callers: scenarioCallers }, 20_000, 500);
            void scenarioCallers.edit(cell.getMember(1), 501);
            await cell.clock.wait(load, 30_000);
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.slowMs = 0;
            }
        }, { cell: { memberTtlMs: 15_000, workerLeaseMs: 20_000 } });
        const visitors = callers.requests.filter(request => request.repeatable);
        assert(visitors.filter(request => request.outcome?.kind === "done").length >= visitors.length * 0.9);
    });

    it("applies a write and its answer is lost", async () => {
        // Guards against a job accepted twice when the answer to the write of its acceptance is lost and the
        // home repeats the write under the same id.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.dropAnswerShare = 0.5;
            }
            await cell.clock.wait(
                scenarioCallers.submit({ kind: "batch", tasks: 3, runMs: 300, repeatable: false }),
                60_000,
            );
            for (let index = 0; index < 4; index++) {
                cell.getMember(index).storePath.faults.dropAnswerShare = 0;
            }
        });
        assert.equal(callers.jobs[0]?.view?.counts.done, 3);
    });

    it("applies a write, its answer is lost, and the writer dies", async () => {
        // Guards against a job that runs twice when the answer to the write of its acceptance is lost and the
        // home is lost with its VM. The caller gets no answer and retries; the next home recovers the
        // acceptance.
        for (const offset of [2, 4, 8, 15, 40]) {
            const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
                for (let index = 0; index < 4; index++) {
                    cell.getMember(index).storePath.faults.dropAnswerShare = 1;
                }
                const submit = scenarioCallers.submit({
                    kind: "short",
                    tasks: 1,
                    runMs: 50,
                    repeatable: false,
                });
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
    it("of one field at two entries: one is accepted, the other gets a conflict", async () => {
        // Guards against a lost update when two operators read version 1 and edit the same field at the same
        // time at two entries.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            const both = [
                scenarioCallers.edit(cell.getMember(0), 301),
                scenarioCallers.edit(cell.getMember(2), 302),
            ];
            await cell.clock.wait(Promise.all(both), 20_000);
        });
        assert.deepEqual(callers.replies.map(reply => reply.kind).sort(), ["accepted", "conflict"]);
    });

    it("of different branches at two entries: both are accepted", async () => {
        // As above, in different branches: neither operator may get a conflict.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            const both = [
                scenarioCallers.edit(cell.getMember(0), 301),
                scenarioCallers.edit(cell.getMember(2), 302, "queueLimit", Branch.short),
            ];
            await cell.clock.wait(Promise.all(both), 20_000);
        });
        assert.deepEqual(callers.replies.map(reply => reply.kind), ["accepted", "accepted"]);
    });

    it("while the watches break and answers are lost", async () => {
        // Guards against an accepted edit that doesn't come into force when a network fault cuts three entries
        // off the store, and with it their watches, while the edit is written.
        await runScenario(async ({ cell, callers }) => {
            const edit = callers.edit(cell.getMember(0), 310);
            await cell.clock.step(3);
            [1, 2, 3].forEach(index => cell.cutStore(cell.getMember(index), 7_000));
            await cell.clock.wait(edit, 30_000);
        });
    });

    it("whose entry dies before it answers take effect on all entries or on none", async () => {
        // Guards against entries that disagree on the version, or go back to an older one, when the entry that
        // writes an edit is lost with its VM before it answers.
        for (const offset of [1, 3, 5, 8, 30]) {
            const { cell } = await runScenario(async ({ cell: scenarioCell, callers }) => {
                void callers.edit(scenarioCell.getMember(0), 320);
                await scenarioCell.clock.step(offset);
                scenarioCell.killEntry(0);
                await scenarioCell.clock.step(6_000);
            });
            await cell.clock.step(5_000);
            const versions = cell.listUp().map(member => member.entry.operators.readTree()?.version);
            assert.equal(new Set(versions).size, 1, versions.join(" "));
        }
    });

    it("accepted while one entry is cut off are never violated by it", async () => {
        // Guards against an entry that serves under old settings after an edit was accepted elsewhere: a
        // partition cuts it off the store and its peers while callers send it requests. The edit may be
        // accepted only once that entry has confirmed it or has surely stopped.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            const { memberId } = cell.getMember(3);
            cell.network.cutMember(memberId);
            cell.cutStore(cell.getMember(3), 20_000);
            const edit = scenarioCallers.edit(cell.getMember(0), 330);
            const load = runLoad({ cell, callers: scenarioCallers }, 18_000, 300);
            await cell.clock.wait(Promise.all([edit, load]), 40_000);
            cell.network.healMember(memberId);
        });
        assert(callers.replies.length === 1);
        assert((countOutcomes(callers).done ?? 0) > 20);
    });
});
