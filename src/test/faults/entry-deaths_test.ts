/** Entries that die, freeze or are replaced. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeHomeSlice, findHomeSlice } from "../../process/router/work-ids.js";
import {
    countOutcomes,
    findHomeOwner,
    findPlacer,
    getTaskCounts,
    runLoad,
    runScenario,
    runScenarioOnBothKinds,
} from "./scenarios.js";

/** Milliseconds from the request to the entry's death; they cover marker, dispatch, run, answer and commit. */
const KILL_OFFSETS = [1, 3, 5, 6, 7, 8, 9, 10, 12, 15, 20, 26, 27, 28, 29, 30, 31, 32, 34, 36, 40];

describe("an entry dies", () => {
    it("at any instant between start marker, dispatch, answer and commit of a request", async () => {
        // Guards against a second run, or a false "not run", of a non-repeatable request whose home is lost
        // with its VM while it writes the start marker, waits for the worker or commits the answer. The caller
        // retries with the same key.
        for (const offset of KILL_OFFSETS) {
            await runScenario(async ({ cell, callers }) => {
                const owner = findHomeOwner(cell, computeHomeSlice("verona/k"));
                const gateway = cell.getMember((owner.identity.index + 1) % 4);
                void callers.sendRequest(gateway, { repeatable: false, key: "k", serviceMs: 20 });
                await cell.clock.step(offset);
                cell.killEntry(owner.identity.index);
                await cell.clock.step(12_000);
                await cell.clock.wait(callers.sendRequest(gateway, { repeatable: false, key: "k" }), 10_000);
            });
        }
    });

    for (const repeatable of [true, false]) {
        it(`at any instant of a ${repeatable ? "repeatable" : "paid"} run of one task`, async () => {
            // Guards against a lost or repeated task when the home is lost with its VM between the job's
            // acceptance and the commit of its end. Only a non-repeatable task may end as "may have run".
            for (const offset of KILL_OFFSETS) {
                const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
                    const submit = scenarioCallers.submit({ kind: "short", tasks: 1, runMs: 20, repeatable });
                    await cell.clock.step(offset);
                    const { jobId } = scenarioCallers.jobs[0] ?? {};
                    cell.killEntry(findHomeOwner(cell, findHomeSlice(jobId ?? "") ?? 0).identity.index);
                    await cell.clock.wait(submit, 60_000);
                });
                const counts = getTaskCounts(callers.jobs[0] ?? assert.fail("no job"));
                assert(counts.done === 1 || (!repeatable && counts.mayHaveRun === 1), JSON.stringify(counts));
            }
        });
    }

    it("and its worker's tasks go on under the next owner", async () => {
        // Guards against second starts of running tasks: the entry that placed them is lost with its VM, and
        // the next owner attaches to the workers and learns what runs there.
        const { callers, cell } = await runScenario(
            async ({ cell: scenarioCell, callers: scenarioCallers }) => {
                const submit = scenarioCallers.submit({
                    kind: "batch",
                    tasks: 6,
                    runMs: 9_000,
                    repeatable: true,
                });
                await scenarioCell.clock.wait(submit, 10_000);
                await scenarioCell.clock.step(500);
                scenarioCell.killEntry(findPlacer(scenarioCell, "w0").identity.index);
                await scenarioCell.clock.step(12_000);
            },
        );
        assert.deepEqual(callers.jobs.map(getTaskCounts), [{ done: 6 }]);
        assert.equal(cell.journal.runs.length, 6);
    });
});

describe("an entry freezes", () => {
    it("past its lease and wakes with starts in its send queue", async () => {
        // Guards against a task that runs twice: a placer's VM is paused with starts in flight, its lease
        // lapses, another entry takes over its workers and starts the work, and the first one resumes and sends
        // its starts. Workers refuse these by epoch, or by notAfter where they know leases only.
        await runScenarioOnBothKinds(async ({ cell, callers }) => {
            const owner = findPlacer(cell, "w0");
            cell.setWorkerFaults(owner, { slowMs: 3_000 }, 60_000);
            const load = runLoad({ cell, callers }, 3_000, 150);
            await cell.clock.step(1_500);
            cell.pauseEntry(owner.identity.index, 14_000);
            await cell.clock.wait(load, 10_000);
            await cell.clock.step(15_000);
        });
    });

    it("for every length of pause around its lease", async () => {
        // As above, with pauses from a moment to three leases: catches a guard that only holds for long pauses.
        for (const duration of [200, 1_000, 2_500, 4_500, 4_950, 5_050, 5_500, 7_000, 11_000, 15_000]) {
            await runScenarioOnBothKinds(async ({ cell, callers }) => {
                const load = runLoad({ cell, callers }, 3_000, 200);
                await cell.clock.step(700);
                cell.pauseEntry(findPlacer(cell, "w0").identity.index, duration);
                await cell.clock.wait(load, 10_000);
            });
        }
    });
});

describe("entries are replaced", () => {
    it("one after the other under load, and nothing is lost or cut off", async () => {
        // Guards against work lost or cut off by a rolling replacement: under load each entry in turn leaves,
        // hands its slices over and starts again as a new incarnation.
        const { callers } = await runScenario(async ({ cell, callers: scenarioCallers }) => {
            const load = runLoad({ cell, callers: scenarioCallers }, 60_000, 400);
            for (let index = 0; index < 4; index++) {
                await cell.clock.wait(cell.leaveEntry(index, true), 25_000);
                cell.startEntry(index);
                await cell.clock.step(8_000);
            }
            await cell.clock.wait(load, 70_000);
        });
        const { done = 0, ...others } = countOutcomes(callers);
        assert(done >= 100, `${done} done`);
        assert.deepEqual(Object.keys(others).filter(kind => kind !== "notRun"), []);
        assert(callers.jobs.every(job => job.view?.counts.done === 2));
    });
});
