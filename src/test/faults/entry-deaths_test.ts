/** Stories of entries that die, freeze or are replaced. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeHomeSlice, findHomeSlice } from "../../process/router/work-ids.js";
import {
    countOutcomes,
    findHomeOwner,
    findPlacer,
    getCounts,
    runLoad,
    runStory,
    runStoryOnBoth,
} from "./stories.js";

/** Milliseconds after the ask at which the entry dies: they cover marker, dispatch, run, answer and commit. */
const KILL_OFFSETS = [1, 3, 5, 6, 7, 8, 9, 10, 12, 15, 20, 26, 27, 28, 29, 30, 31, 32, 34, 36, 40];

describe("an entry dies", () => {
    it("at any instant between start marker, dispatch, answer and commit of a request", async () => {
        // A volunteer sees: a correction neither confirmed nor refused. Order: the home writes the start marker, a worker
        // runs the correction, the answer comes back, the home writes it; the home dies at any of these points. The
        // volunteer asks again with the same key. Cause: a lost VM. It runs at most once, and "not run" is true.
        for (const offset of KILL_OFFSETS) {
            await runStory(async ({ cell, callers }) => {
                const owner = findHomeOwner(cell, computeHomeSlice("verona/k"));
                const asker = cell.getMember((owner.place.index + 1) % 4);
                void callers.sendRequest(asker, { repeatable: false, key: "k", serviceMs: 20 });
                await cell.clock.step(offset);
                cell.killEntry(owner.place.index);
                await cell.clock.step(12_000);
                await cell.clock.wait(callers.sendRequest(asker, { repeatable: false, key: "k" }), 10_000);
            });
        }
    });

    for (const repeatable of [true, false]) {
        it(`at any instant of a ${repeatable ? "repeatable" : "paid"} run of one task`, async () => {
            // An engineer sees: a run that takes longer, or is told "may have run". Order: accepted, marked, placed, run,
            // ended, committed; the home dies at any of these points. Cause: a lost VM.
            for (const offset of KILL_OFFSETS) {
                const { callers } = await runStory(async ({ cell, callers: asking }) => {
                    const submit = asking.submit({ kind: "short", tasks: 1, runMs: 20, repeatable });
                    await cell.clock.step(offset);
                    const { jobId } = asking.jobs[0] ?? {};
                    cell.killEntry(findHomeOwner(cell, findHomeSlice(jobId ?? "") ?? 0).place.index);
                    await cell.clock.wait(submit, 60_000);
                });
                const counts = getCounts(callers.jobs[0] ?? assert.fail("no job"));
                assert(counts.done === 1 || (!repeatable && counts.mayHaveRun === 1), JSON.stringify(counts));
            }
        });
    }

    it("and its worker's tasks go on under the next owner", async () => {
        // An engineer sees: nothing. Order: a sweep runs, the entry that placed it dies, another attaches to the workers
        // and learns what runs there. Cause: a lost VM. Nothing is started twice.
        const { callers, cell } = await runStory(async ({ cell: running, callers: asking }) => {
            const submit = asking.submit({ kind: "batch", tasks: 6, runMs: 9_000, repeatable: true });
            await running.clock.wait(submit, 10_000);
            await running.clock.step(500);
            running.killEntry(findPlacer(running, "w0").place.index);
            await running.clock.step(12_000);
        });
        assert.deepEqual(callers.jobs.map(getCounts), [{ done: 6 }]);
        assert.equal(cell.journal.runs.length, 6);
    });
});

describe("an entry freezes", () => {
    it("past its lease and wakes with starts in its send queue", async () => {
        // An engineer would see: a run billed twice. Order: a placer has starts under way and freezes; its lease lapses,
        // another takes its workers and starts the work; it wakes and sends what it had. Cause: a paused VM. The
        // worker refuses by epoch, or by notAfter where it knows leases only.
        await runStoryOnBoth(async ({ cell, callers }) => {
            const owner = findPlacer(cell, "w0");
            cell.setWorkerFaults(owner, { slowMs: 3_000 }, 60_000);
            const load = runLoad({ cell, callers }, 3_000, 150);
            await cell.clock.step(1_500);
            cell.pauseEntry(owner.place.index, 14_000);
            await cell.clock.wait(load, 10_000);
            await cell.clock.step(15_000);
        });
    });

    it("for every length of pause around its lease", async () => {
        // As above, with pauses from a moment to three leases: a guard that only holds for long pauses shows here.
        for (const duration of [200, 1_000, 2_500, 4_500, 4_950, 5_050, 5_500, 7_000, 11_000, 15_000]) {
            await runStoryOnBoth(async ({ cell, callers }) => {
                const load = runLoad({ cell, callers }, 3_000, 200);
                await cell.clock.step(700);
                cell.pauseEntry(findPlacer(cell, "w0").place.index, duration);
                await cell.clock.wait(load, 10_000);
            });
        }
    });
});

describe("entries are replaced", () => {
    it("one after the other under load, and nothing is lost or cut off", async () => {
        // Callers see: nothing. Order: each entry in turn leaves, hands its slices over and comes back as a new one,
        // while requests and jobs go on. Cause: a rolling replacement.
        const { callers } = await runStory(async ({ cell, callers: asking }) => {
            const load = runLoad({ cell, callers: asking }, 60_000, 400);
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
