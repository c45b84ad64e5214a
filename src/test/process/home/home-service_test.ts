/** Fairness between teams, handover of a slice, retention, and limits. */
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
    // A job of 5,000 tasks is waiting when another team submits ten tasks, and then an urgent job. Without fair
    // sharing of the placers' windows, the small jobs would wait for the whole large one.
    it("alternate between teams, and put urgent work first", async () => {
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

    // A job that fits on no worker is at the head of its team's queue and must not block the jobs behind it.
    it("skip a job that finds no placer", async () => {
        const { cell, entry, placer } = await makeCell();
        const resources = { cpuMillis: 1, memoryMib: 1, accelerators: 8 };
        await cell.query(entry, makeSubmit("never", { resources }));
        await cell.query(entry, makeSubmit("next"));
        await cell.clock.step(100);
        assert.deepEqual(placer.orders.map(order => order.jobId), ["next"]);
    });
});

describe("the handover of a slice", () => {
    // An entry is replaced while a worker runs a request. The caller must get the answer from the old entry, a repeat
    // at the new entry the same answer, and the running task of a job must go on.
    it("lets requests finish, and neither loses nor duplicates work", async () => {
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

    // An idempotency key is kept for a day after the end of its request, over a change of owner and whatever the wall
    // clocks show. If it were removed early, a late repeat would run again.
    it("removes ended work after its retention time, and not before", async () => {
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
    // An answer that is too long to store goes to its first caller only. A repeat gets "may have run" and must not
    // run again.
    it("returns a very long answer in full, once", async () => {
        const { cell, entry, placer } = await makeCell();
        placer.serve = () => Promise.resolve(makeServed("x".repeat(300_000)));
        const first = await cell.query(entry, makeRequest("k"));
        assert.ok(first.kind === "outcome" && first.outcome.kind === "done");
        assert.equal(first.outcome.answer.length, 300_000);
        const repeat = await cell.query(entry, makeRequest("k"));
        assert.equal(repeat.kind === "outcome" && repeat.outcome.kind, "mayHaveRun");
        assert.equal(placer.served.length, 1);
    });

    it("refuses a job whose record is too large to store, with a remedy", async () => {
        const { cell, entry } = await makeCell();
        const reply = await cell.query(entry, makeSubmit("j", { payload: "x".repeat(500_000) }));
        assert.ok(reply.kind === "refused" && reply.outcome.kind === "notRun");
        assert.match(reply.outcome.remedy, /smaller|under 300 KB/);
    });

    it("refuses jobs over the limit, and keys that were used for another job", async () => {
        const { cell, entry, placer } = await makeCell({ maxOpenJobs: 1 });
        placer.isReady = false;
        await cell.query(entry, makeSubmit("a"));
        const over = await cell.query(entry, makeSubmit("b"));
        const conflict = await cell.query(entry, makeSubmit("a", { tasks: 2 }));
        const again = await cell.query(entry, makeSubmit("a"));
        assert.deepEqual([over.kind, conflict.kind], ["refused", "keyConflict"]);
        assert.equal(again.kind === "job" && again.created, false);
    });

    it("hides a job from other teams", async () => {
        const { cell, entry } = await makeCell();
        await cell.query(entry, makeSubmit("j"));
        for (const kind of ["showJob", "cancelJob", "explainJob"] as const) {
            const reply = await cell.query(entry, { kind, jobId: "j", team: "others" });
            assert.equal(reply.kind, "notFound");
        }
    });
});
