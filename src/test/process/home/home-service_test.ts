/** Fairness between teams, hand-over of a slice, and forgetting. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HomeCell, makeRequest, makeSpec, makeSubmit, requireJob, SLICE } from "./home-cell.js";
import { makeServed } from "./scripted-placer.js";

async function makeCell(options = {}) {
    const cell = new HomeCell();
    const entry = cell.addEntry("h1", options);
    await cell.openSliceAt(entry);
    return { cell, entry, placer: cell.getPlacer() };
}

describe("offers", () => {
    // A council's rebuild of 5,000 tasks is waiting when another team hands in ten tasks, and then an urgent run
    // comes. Placers have few places: without turns the small teams would wait for the whole rebuild.
    it("take teams in turn, and urgent work first", async () => {
        const { cell, entry, placer } = await makeCell();
        const submit = (jobId: string, team: string, tasks: number, urgent: boolean) =>
            cell.query(entry, {
                kind: "submitJob",
                jobId,
                caller: { callerId: team, team },
                spec: makeSpec({ tasks, urgent }),
            });
        await submit("rebuild", "verona", 5_000, false);
        await cell.clock.step(200);
        const before = placer.orders.length;
        await submit("sweep", "hooghly", 10, false);
        await submit("nozzle", "hooghly", 1, true);
        for (const order of placer.orders.slice(0, 22)) {
            placer.startTask(order);
            placer.report(order, { state: "done" });
        }
        await cell.clock.step(200);
        const offered = placer.orders.slice(before).map(order => order.jobId);
        assert.equal(offered[0], "nozzle");
        assert.equal(offered.filter(jobId => jobId === "sweep").length, 10);
    });

    // A job that fits nowhere stands at the head of its team's queue: the jobs behind it must not wait for it.
    it("pass a job that finds no placer", async () => {
        const { cell, entry, placer } = await makeCell();
        const resources = { cpuMillis: 1, memoryMib: 1, accelerators: 8 };
        await cell.query(entry, makeSubmit("never", { resources }));
        await cell.query(entry, makeSubmit("next"));
        await cell.clock.step(100);
        assert.deepEqual(placer.orders.map(order => order.jobId), ["next"]);
    });
});

describe("the hand-over of a slice", () => {
    // An entry is replaced while a correction is at a worker. The caller gets its answer from the old entry, a
    // repeat at the new one gets the same, and the running task of a job goes on.
    it("lets requests finish, and loses and doubles nothing", async () => {
        const { cell, entry, placer } = await makeCell();
        const second = cell.addEntry("h2");
        cell.handleOrder = (at, order) => at.startTask(order);
        placer.serve = () =>
            new Promise(resolve => {
                cell.clock.schedule(2_000, () => resolve(makeServed("late")));
            });
        await cell.query(entry, makeSubmit("j", { repeatable: false }));
        const reply = entry.home.handleRequest(SLICE, makeRequest("k"));
        await cell.clock.step(200);
        const closing = entry.home.closeSlice(SLICE, "handOver");
        await cell.clock.step(100);
        assert.deepEqual(entry.home.listReady(), []);
        const refused = await entry.home.handleRequest(SLICE, makeRequest("k2"));
        assert.equal(refused.kind, "refused");
        await cell.clock.wait(closing, 10_000);
        const first = await reply;
        assert.equal(first.kind === "outcome" && first.outcome.kind, "done");
        await cell.openSliceAt(second);
        await cell.clock.step(1_000);
        const repeat = await cell.query(second, makeRequest("k"));
        assert.deepEqual(repeat, { ...first, repeated: true });
        const job = requireJob(await cell.query(second, { kind: "showJob", jobId: "j", team: undefined }));
        assert.equal(job.counts.running, 1);
        assert.deepEqual([placer.started.length, placer.served.length], [1, 1]);
    });
});

describe("retention", () => {
    const HOUR_MS = 3_600_000;

    // An idempotency key is remembered for a day after the end of its request, over a change of owner, whatever
    // wall clocks say. Forgetting it early would let a late repeat run again.
    it("forgets ended work after its time, and not before", async () => {
        const { cell, entry, placer } = await makeCell({ tickMs: 60_000 });
        const second = cell.addEntry("h2", { tickMs: 60_000 });
        await cell.query(entry, makeRequest("k"));
        await cell.clock.step(20 * HOUR_MS);
        entry.clock.kill();
        await cell.clock.step(20 * HOUR_MS);
        await cell.openSliceAt(second);
        const early = await cell.query(second, makeRequest("k"));
        assert.equal(early.kind === "outcome" && early.repeated, true);
        await cell.clock.step(26 * HOUR_MS);
        const late = await cell.query(second, makeRequest("k"));
        assert.equal(late.kind === "outcome" && late.repeated, false);
        assert.equal(placer.served.length, 2);
    });
});

describe("answers and limits", () => {
    // An answer too long to be kept goes whole to its first caller; a repeat is told that it ran, and runs nothing.
    it("gives a long answer whole, once", async () => {
        const { cell, entry, placer } = await makeCell();
        placer.serve = () => Promise.resolve(makeServed("x".repeat(300_000)));
        const first = await cell.query(entry, makeRequest("k"));
        assert.ok(first.kind === "outcome" && first.outcome.kind === "done");
        assert.equal(first.outcome.answer.length, 300_000);
        const repeat = await cell.query(entry, makeRequest("k"));
        assert.equal(repeat.kind === "outcome" && repeat.outcome.kind, "mayHaveRun");
        assert.equal(placer.served.length, 1);
    });

    it("refuses a job whose record cannot be kept, with the remedy", async () => {
        const { cell, entry } = await makeCell();
        const reply = await cell.query(entry, makeSubmit("j", { payload: "x".repeat(500_000) }));
        assert.ok(reply.kind === "refused" && reply.outcome.kind === "notRun");
        assert.match(reply.outcome.remedy, /smaller|under 300 KB/);
    });

    it("refuses jobs over the limit and keys used for another job", async () => {
        const { cell, entry, placer } = await makeCell({ maxOpenJobs: 1 });
        placer.isReady = false;
        await cell.query(entry, makeSubmit("a"));
        const over = await cell.query(entry, makeSubmit("b"));
        const conflict = await cell.query(entry, makeSubmit("a", { tasks: 2 }));
        const again = await cell.query(entry, makeSubmit("a"));
        assert.deepEqual([over.kind, conflict.kind], ["refused", "keyConflict"]);
        assert.equal(again.kind === "job" && again.created, false);
    });

    it("shows no job to another team", async () => {
        const { cell, entry } = await makeCell();
        await cell.query(entry, makeSubmit("j"));
        for (const kind of ["showJob", "cancelJob", "explainJob"] as const) {
            const reply = await cell.query(entry, { kind, jobId: "j", team: "others" });
            assert.equal(reply.kind, "notFound");
        }
    });
});
