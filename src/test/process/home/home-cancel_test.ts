/** Cancellation in each phase of a task, and of jobs with many tasks. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HomeCell, makeSubmit, requireJob, SLICE } from "./home-cell.js";

async function makeCell() {
    const cell = new HomeCell();
    const entry = cell.addEntry("h1");
    await cell.openSliceAt(entry);
    return { cell, entry };
}

const MOST_WAITING_AT_PLACER = 64;
const cancel = { kind: "cancelJob", jobId: "j", team: undefined } as const;
const show = { kind: "showJob", jobId: "j", team: undefined } as const;

describe("cancellation", () => {
    // The outcome of a cancelled task says whether it had started. "Not started" must be reported only for tasks
    // that no worker can have begun.
    it("before the start: the tasks end as not started", async () => {
        const { cell, entry } = await makeCell();
        cell.getPlacer().isReady = false;
        await cell.query(entry, makeSubmit("j", { tasks: 5 }));
        const job = requireJob(await cell.query(entry, cancel));
        assert.deepEqual([job.state, job.counts.cancelled], ["ended", 5]);
        assert.deepEqual(job.tasks[0]?.outcome, { kind: "cancelled", started: false });
        assert.deepEqual(requireJob(await cell.query(entry, cancel)).counts, job.counts);
    });

    it("while queued at a placer: the task is withdrawn and ends as not started", async () => {
        const { cell, entry } = await makeCell();
        await cell.query(entry, makeSubmit("j"));
        await cell.clock.step(100);
        await cell.query(entry, cancel);
        await cell.clock.step(200);
        const job = requireJob(await cell.query(entry, show));
        assert.deepEqual(job.tasks[0]?.outcome, { kind: "cancelled", started: false });
    });

    it("while running: the task is stopped and ends as started", async () => {
        const { cell, entry } = await makeCell();
        cell.handleOrder = (placer, order) => placer.startTask(order);
        await cell.query(entry, makeSubmit("j"));
        await cell.clock.step(100);
        await cell.query(entry, cancel);
        await cell.clock.step(200);
        const job = requireJob(await cell.query(entry, show));
        assert.deepEqual(job.tasks[0]?.outcome, { kind: "cancelled", started: true });
    });

    // A task that was done before the stop reached it did run, so its result must be kept.
    it("after the end: the result is kept", async () => {
        const { cell, entry } = await makeCell();
        cell.handleOrder = (placer, order) => {
            placer.startTask(order);
            placer.report(order, { state: "done", answer: "42" });
        };
        await cell.query(entry, makeSubmit("j"));
        await cell.query(entry, cancel);
        await cell.clock.step(200);
        assert.equal(requireJob(await cell.query(entry, show)).counts.done, 1);
    });

    // The cancellation arrives while the start marker is being written. Whichever becomes durable first, the
    // cancelled task must not be allowed to start.
    it("while a start marker is being written: the start is not confirmed", async () => {
        const { cell, entry } = await makeCell();
        entry.store.latencyMs = 100;
        await cell.query(entry, makeSubmit("j", { repeatable: false }));
        await cell.clock.step(10);
        await cell.query(entry, cancel);
        await cell.clock.step(1_000);
        const job = requireJob(await cell.query(entry, show));
        assert.deepEqual(job.tasks[0]?.outcome, { kind: "cancelled", started: false });
        assert.deepEqual(cell.getPlacer().confirmed, []);
    });

    // The store is slow, and placers get free capacity while the cancellation is being written. Tasks offered in
    // that time would start only to be stopped.
    it("while the cancellation is being written: no more tasks are offered", async () => {
        const { cell, entry } = await makeCell();
        const placer = cell.getPlacer();
        await cell.query(entry, makeSubmit("j", { tasks: 200 }));
        await cell.clock.step(100);
        const offered = placer.orders.length;
        entry.store.latencyMs = 1_000;
        const cancelled = entry.home.handleRequest(SLICE, cancel);
        await cell.clock.step(10);
        placer.orders.slice(0, 20).forEach(order => placer.startTask(order));
        await cell.clock.step(500);
        assert.equal(placer.orders.length, offered);
        await cell.clock.wait(cancelled, 5_000);
        await cell.clock.step(5_000);
        const job = requireJob(await cell.query(entry, show));
        assert.deepEqual([placer.orders.length, job.counts.cancelled], [offered, 200]);
    });

    it("with the store unavailable: changes nothing and is refused at once", async () => {
        const { cell, entry } = await makeCell();
        await cell.query(entry, makeSubmit("j"));
        entry.store.isUnavailable = true;
        const reply = await cell.query(entry, cancel);
        assert.equal(reply.kind, "refused");
        const job = requireJob(await cell.query(entry, show));
        assert.equal(job.counts.cancelled, 0);
    });

    // The home dies after the cancellation is written and before it can withdraw the running task.
    it("followed by a takeover: the new home stops the running task", async () => {
        const { cell, entry } = await makeCell();
        const second = cell.addEntry("h2");
        cell.handleOrder = (placer, order) => placer.startTask(order);
        await cell.query(entry, makeSubmit("j"));
        await cell.clock.step(100);
        entry.store.plan("doneThenSilent");
        void entry.home.handleRequest(SLICE, cancel);
        await cell.clock.step(10);
        entry.clock.kill();
        await cell.openSliceAt(second);
        await cell.clock.step(1_000);
        const job = requireJob(await cell.query(second, show));
        assert.deepEqual(job.tasks[0]?.outcome, { kind: "cancelled", started: true });
        assert.equal(cell.getPlacer().withdrawn.length > 0, true);
    });

    // The owner of many waiting and running tasks dies, and the job is cancelled before the new owner knows which
    // tasks run. None may start, running ones are stopped, and none is reported "not started" without proof.
    it("of 5,000 tasks during a takeover: starts nothing and stops what runs", async () => {
        const { cell, entry } = await makeCell();
        const placer = cell.getPlacer();
        const second = cell.addEntry("h2");
        cell.handleOrder = (at, order) => order.index < 100 && at.startTask(order);
        await cell.query(entry, makeSubmit("j", { tasks: 5_000 }));
        await cell.clock.step(1_000);
        const offered = placer.orders.length;
        placer.isReady = false;
        entry.clock.kill();
        await cell.openSliceAt(second);
        const early = requireJob(await cell.query(second, cancel));
        assert.equal(early.counts.cancelled, 0);
        placer.isReady = true;
        await cell.clock.step(10_000);
        const job = requireJob(await cell.query(second, show));
        assert.deepEqual([job.state, job.counts.cancelled], ["ended", 5_000]);
        assert.equal(placer.orders.length, offered);
        assert.equal(placer.started.length, 100);
        assert.ok(job.tasks.every(task => task.outcome?.kind === "cancelled" && task.outcome.started));
    });

    // Another team submits a short job while 50,000 tasks are being cancelled. Withdrawals sent all at once would
    // delay its start.
    it("of 50,000 tasks does not delay a short job of another team", async () => {
        const { cell, entry } = await makeCell();
        const started = new Map<string, number>();
        cell.handleOrder = (placer, order) => {
            started.set(order.jobId, started.get(order.jobId) ?? cell.clock.now());
            placer.startTask(order);
        };
        await cell.query(entry, makeSubmit("j", { tasks: 50_000 }));
        await cell.clock.step(2_000);
        const running = requireJob(await cell.query(entry, show)).counts.running;
        assert.ok(running > 1_000, `${running} running`);
        const submittedAt = cell.clock.now();
        const cancelled = cell.query(entry, cancel);
        await cell.query(entry, makeSubmit("s", { kind: "short" }));
        const reply = await cancelled;
        await cell.clock.step(100);
        assert.ok((started.get("s") ?? Infinity) - submittedAt < 150);
        await cell.clock.step(20_000);
        const job = requireJob(await cell.query(entry, show));
        assert.ok(requireJob(reply).counts.cancelled >= 50_000 - running - MOST_WAITING_AT_PLACER);
        assert.deepEqual([job.state, job.counts.cancelled], ["ended", 50_000]);
    });
});
