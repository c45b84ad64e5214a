/** Jobs whose home dies, pauses or is taken over: no task runs twice, and none is lost. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HomeReply, PlaceOrder } from "../../../connection/messages.js";
import { HomeCell, makeSubmit, requireJob } from "./home-cell.js";
import type { HomeEntry } from "./home-cell.js";

async function makeCell(placers?: readonly string[]) {
    const cell = new HomeCell(placers);
    const first = cell.addEntry("h1");
    const second = cell.addEntry("h2");
    await cell.openSliceAt(first);
    return { cell, first, second };
}

async function killAndTakeOver(cell: HomeCell, first: HomeEntry, second: HomeEntry): Promise<void> {
    first.clock.kill();
    await cell.openSliceAt(second);
    await cell.clock.step(1_000);
}

async function show(cell: HomeCell, entry: HomeEntry, jobId: string) {
    return requireJob(await cell.query(entry, { kind: "showJob", jobId, team: undefined }));
}

function listAttempts(orders: readonly PlaceOrder[]): string[] {
    return orders.map(order => order.attempt);
}

describe("the home of a job dies", () => {
    // A paid run is handed in as not repeatable. The home dies with the start marker written and before the start is
    // confirmed, or the confirmation is lost on its way. The placer that held room for it proves that it did not
    // start: the new home starts it, once. Where that placer is gone too, nobody can tell, and it is never started.
    for (const dropsConfirmations of [false, true]) {
        for (const knows of [true, false]) {
            const lost = dropsConfirmations ? "the confirmation lost" : "no confirmation sent";
            it(`with a marker, ${lost}, and a placer that ${knows ? "knows" : "forgot"}`, async () => {
                const { cell, first, second } = await makeCell();
                const placer = cell.getPlacer();
                placer.dropsConfirmations = dropsConfirmations;
                first.store.plan("none", dropsConfirmations ? "none" : "doneThenSilent");
                await cell.query(first, makeSubmit("j", { repeatable: false }));
                await cell.clock.step(100);
                assert.deepEqual(listAttempts(placer.orders), ["j.0.1.1"]);
                placer.dropsConfirmations = false;
                if (!knows) {
                    placer.known.clear();
                }
                await killAndTakeOver(cell, first, second);
                const job = await show(cell, second, "j");
                assert.equal(job.counts.mayHaveRun, knows ? 0 : 1);
                assert.deepEqual(listAttempts(placer.confirmed), knows ? ["j.0.2.1"] : []);
            });
        }
    }

    // A placer says of a paid run's first attempt that it did not start, and its word is told again long after. The
    // second attempt was confirmed, and its placer has lost it. The old word must not count for the second attempt.
    it("with a marker, and word of an older attempt: it may have run", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        let tries = 0;
        cell.handleOrder = (at, order) => {
            tries++;
            if (tries === 1) {
                at.report(order, { state: "notStarted", retryAfterMs: 0 });
            }
        };
        await cell.query(first, makeSubmit("j", { repeatable: false }));
        await cell.clock.step(1_000);
        const attempts = listAttempts(placer.confirmed);
        assert.deepEqual(attempts, ["j.0.1.1", "j.0.1.2"]);
        placer.known.clear();
        placer.known.set("j.0.1.1", { attempt: "j.0.1.1", jobId: "j", index: 0, state: "notStarted" });
        await killAndTakeOver(cell, first, second);
        const job = await show(cell, second, "j");
        assert.equal(job.counts.mayHaveRun, 1);
        assert.deepEqual(listAttempts(placer.confirmed), attempts);
    });

    // The first attempt had a marker and did not start; the second waits for room when the home dies. That there is
    // a second proves that the first never ran: the paid run starts at the new home, instead of being given up.
    it("with a marker, and a newer attempt that waits: the new home starts it", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        cell.handleOrder = (at, order) => {
            if (order.home.epoch === 1) {
                at.grants = false;
                at.report(order, { state: "notStarted", retryAfterMs: 0 });
            }
        };
        await cell.query(first, makeSubmit("j", { repeatable: false }));
        await cell.clock.step(1_000);
        assert.deepEqual(listAttempts(placer.orders), ["j.0.1.1", "j.0.1.2"]);
        placer.grants = true;
        await killAndTakeOver(cell, first, second);
        assert.equal((await show(cell, second, "j")).counts.mayHaveRun, 0);
        assert.deepEqual(listAttempts(placer.confirmed), ["j.0.1.1", "j.0.2.1"]);
    });

    // As above, but the task may be run again, and nobody knows of it: it is started once by the new home.
    it("before a repeatable task started: the new home starts it", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        placer.dropsNotes = true;
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        placer.dropsNotes = false;
        await killAndTakeOver(cell, first, second);
        assert.deepEqual(listAttempts(placer.orders), ["j.0.2.1"]);
    });

    // A task runs when its home dies. The new home hears of it by the census and waits for its end; a second start
    // would be a doubled run.
    for (const repeatable of [true, false]) {
        it(`while a ${repeatable ? "" : "not "}repeatable task runs: it is adopted`, async () => {
            const { cell, first, second } = await makeCell();
            const placer = cell.getPlacer();
            cell.handleOrder = (at, order) => at.startTask(order);
            await cell.query(first, makeSubmit("j", { repeatable }));
            await cell.clock.step(100);
            await killAndTakeOver(cell, first, second);
            assert.equal((await show(cell, second, "j")).counts.running, 1);
            const [order] = placer.started;
            assert.ok(order !== undefined);
            placer.report(order, { state: "done", answer: "42" });
            await cell.clock.step(100);
            assert.equal((await show(cell, second, "j")).counts.done, 1);
            assert.equal(placer.started.length, 1);
            assert.ok(placer.acknowledged.has(order.attempt));
        });
    }

    // The end has reached the home, which dies before it is written. The placer has no acknowledgement and tells
    // the new home again: the result is not lost, and the task is not run for it a second time.
    it("between an end and its commit", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        cell.handleOrder = (at, order) => {
            at.startTask(order);
            first.store.isAway = true;
            at.report(order, { state: "done", answer: "42" });
        };
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(1_000);
        assert.equal(placer.acknowledged.size, 0);
        await killAndTakeOver(cell, first, second);
        assert.equal((await show(cell, second, "j")).counts.done, 1);
        assert.equal(placer.started.length, 1);
        assert.equal(placer.acknowledged.size, 1);
    });

    // A failed attempt's end was never acknowledged and is told again by its placer, after a newer attempt began
    // elsewhere. Acting on it at the new home would start the task a second time beside the newer attempt.
    it("with an old attempt's end told again beside a running one", async () => {
        const { cell, first, second } = await makeCell(["p1", "p2"]);
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        const order = [...cell.placers.values()].flatMap(placer => placer.orders)[0];
        assert.ok(order !== undefined);
        cell.getPlacer("p1").report({ ...order, attempt: "j.0.1.1" }, { state: "lost" });
        cell.getPlacer("p2").startTask({ ...order, attempt: "j.0.1.2" });
        await killAndTakeOver(cell, first, second);
        await cell.clock.step(5_000);
        const job = await show(cell, second, "j");
        assert.deepEqual([job.counts.running, job.tasks[0]?.state], [1, "running"]);
        const attempts = [...cell.placers.values()].flatMap(placer => listAttempts(placer.orders));
        assert.deepEqual(attempts, ["j.0.1.1"]);
    });
});

describe("the home is paused past its lease and wakes", () => {
    // The owner is frozen with the start markers of paid runs being written. The other takes over, hears from the
    // placer that nothing was started, and starts them. The first wakes and would confirm its own start: a paid run
    // would run twice.
    it("confirms no start after another has taken over", async () => {
        const { cell, first, second } = await makeCell();
        await cell.query(first, makeSubmit("j", { repeatable: false }));
        first.store.latencyMs = 100;
        await cell.clock.step(20);
        first.clock.pause();
        await cell.clock.step(30_000);
        await cell.openSliceAt(second);
        await cell.clock.step(1_000);
        first.clock.resume();
        await cell.clock.step(5_000);
        const { counts } = await show(cell, second, "j");
        assert.equal(counts.mayHaveRun, 0);
        assert.deepEqual(listAttempts(cell.getPlacer().confirmed), ["j.0.2.1"]);
    });

    // It still believes the old table and that it may act: its orders leave, and the placers refuse them, since
    // the census of the new home came first.
    it("is refused by placers even if it does not know yet", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        placer.dropsNotes = true;
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        placer.dropsNotes = false;
        const before = cell.homeOwner;
        await cell.openSliceAt(second);
        await cell.clock.step(1_000);
        cell.homeOwner = before;
        await cell.clock.step(4_000);
        assert.deepEqual(listAttempts(placer.orders), ["j.0.2.1"]);
        assert.deepEqual(listAttempts(placer.refused), ["j.0.1.1"]);
    });
});

describe("the census", () => {
    // One worker slice of the dead entry is not covered yet: its worker may still run the task. Until the new
    // owner has heard from it, or its lease has surely ended, nothing of the old home is started again.
    it("waits until every worker slice is covered", async () => {
        const { cell, first, second } = await makeCell(["p1", "p2"]);
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        cell.placers.forEach(placer => placer.known.clear());
        cell.getPlacer("p2").isReady = false;
        await killAndTakeOver(cell, first, second);
        await cell.clock.step(10_000);
        const countOrders = () =>
            [...cell.placers.values()].flatMap(placer => placer.orders)
                .filter(order => order.home.epoch === 2).length;
        assert.equal(countOrders(), 0);
        const explained = await cell.query(second, { kind: "explainJob", jobId: "j", team: undefined });
        assert.match(describeLines(explained), /32 worker slices are not covered/);
        cell.getPlacer("p2").isReady = true;
        await cell.clock.step(2_000);
        assert.equal(countOrders(), 1);
    });

    // The dead home's order waits at an entry that owns no workers at the moment, and may own some again. Its silence
    // says nothing: if the task were started elsewhere now, it could start there later as well.
    it("waits for entries that own no workers", async () => {
        const { cell, first, second } = await makeCell(["p1", "p2"]);
        cell.getPlacer("p1").isReady = false;
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        const waiting = cell.getPlacer("p2");
        assert.equal(waiting.orders.length, 1);
        cell.getPlacer("p1").isReady = true;
        cell.workerOwner = () => ({ memberId: "p1", epoch: 2 });
        waiting.isSilent = true;
        await killAndTakeOver(cell, first, second);
        await cell.clock.step(10_000);
        assert.deepEqual(cell.getPlacer("p1").orders, []);
        waiting.isSilent = false;
        await cell.clock.step(5_000);
        assert.deepEqual(listAttempts(cell.getPlacer("p1").orders), ["j.0.2.1"]);
    });

    // A paid run only waits for room at a placer that dies. It was never allowed to start, so it is not given up.
    it("after a placer is lost: a paid run that waited there starts elsewhere", async () => {
        const { cell, first } = await makeCell(["p1", "p2"]);
        cell.placers.forEach(placer => {
            placer.grants = false;
        });
        await cell.query(first, makeSubmit("j", { repeatable: false }));
        await cell.clock.step(100);
        const lost = [...cell.placers.values()].find(placer => placer.orders.length > 0)?.memberId ?? "";
        const left = lost === "p1" ? "p2" : "p1";
        cell.placers.delete(lost);
        cell.getPlacer(left).grants = true;
        cell.workerOwner = () => ({ memberId: left, epoch: 2 });
        cell.notifyTable();
        await cell.clock.step(3_000);
        assert.equal((await show(cell, first, "j")).counts.mayHaveRun, 0);
        assert.equal(cell.getPlacer(left).confirmed.length, 1);
    });

    // A placer dies with a task that its home believes running. Its slices go to another, which does not find the
    // task on any worker: it is started again, and the one that is not repeatable is never.
    for (const repeatable of [true, false]) {
        it(`after a placer is lost: a ${repeatable ? "" : "not "}repeatable task`, async () => {
            const { cell, first } = await makeCell(["p1", "p2"]);
            cell.handleOrder = (at, order) => at.startTask(order);
            await cell.query(first, makeSubmit("j", { repeatable }));
            await cell.clock.step(100);
            const running = (await show(cell, first, "j")).tasks[0];
            const lost = [...cell.placers.values()].find(placer => placer.started.length > 0)?.memberId ?? "";
            const left = lost === "p1" ? "p2" : "p1";
            assert.equal(running?.state, "running");
            cell.placers.delete(lost);
            cell.workerOwner = () => ({ memberId: left, epoch: 2 });
            cell.notifyTable();
            await cell.clock.step(3_000);
            const { counts } = await show(cell, first, "j");
            assert.equal(cell.getPlacer(left).started.length, repeatable ? 1 : 0);
            assert.deepEqual([counts.running, counts.mayHaveRun], repeatable ? [1, 0] : [0, 1]);
        });
    }

    // An order was lost on its way and the placer knows nothing; or it came, and only the word of it was lost.
    it("settles orders that nobody speaks of", async () => {
        const { cell, first } = await makeCell();
        const placer = cell.getPlacer();
        placer.dropsNotes = true;
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(3_000);
        placer.dropsNotes = false;
        await cell.clock.step(30_000);
        assert.deepEqual(listAttempts(placer.orders), ["j.0.1.1"]);
    });
});

function describeLines(reply: HomeReply): string {
    return reply.kind === "explanation" ? reply.lines.join("\n") : reply.kind;
}
