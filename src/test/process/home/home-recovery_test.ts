/** Jobs whose home dies, is suspended or is taken over: no task runs twice, and none is lost. */
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
    // The home dies after the start marker of a task that is not repeatable was written and before the start was
    // confirmed, or the confirmation is lost. If the placer knows that it did not start, the new home must start it
    // once. If the placer has forgotten it, it may have run and must not be started.
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
                    placer.knownAttempts.clear();
                }
                await killAndTakeOver(cell, first, second);
                const job = await show(cell, second, "j");
                assert.equal(job.counts.mayHaveRun, knows ? 0 : 1);
                assert.deepEqual(listAttempts(placer.confirmed), knows ? ["j.0.2.1"] : []);
            });
        }
    }

    // A placer reports again, much later, that the first attempt did not start. The second attempt was confirmed and
    // its placer has forgotten it, so the old report must not be taken as proof about the second attempt.
    it("with a marker, and a late report of an older attempt: the task may have run", async () => {
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
        placer.knownAttempts.clear();
        placer.knownAttempts.set("j.0.1.1", {
            attempt: "j.0.1.1",
            jobId: "j",
            index: 0,
            state: "notStarted",
        });
        await killAndTakeOver(cell, first, second);
        const job = await show(cell, second, "j");
        assert.equal(job.counts.mayHaveRun, 1);
        assert.deepEqual(listAttempts(placer.confirmed), attempts);
    });

    // The first attempt had a marker and did not start; the second waits for capacity when the home dies. A second
    // attempt proves that the first never ran, so the task must not be given up.
    it("with a marker, and a newer attempt that waits: the new home starts the task", async () => {
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

    // As above, but the task is repeatable and its order was lost, so that no placer knows it.
    it("before a repeatable task started: the new home starts it once", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        placer.dropsNotifications = true;
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        placer.dropsNotifications = false;
        await killAndTakeOver(cell, first, second);
        assert.deepEqual(listAttempts(placer.orders), ["j.0.2.1"]);
    });

    // A task runs when its home dies. The new home must learn of it by the census and wait for its end, or the task
    // would run twice.
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

    // The home dies after it received an end and before it was written. The placer has no acknowledgement and reports
    // the end to the new home, so the result must not be lost and the task not run again.
    it("between the end of a task and its commit: the end is reported again", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        cell.handleOrder = (at, order) => {
            at.startTask(order);
            first.store.isUnavailable = true;
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

    // The end of a failed attempt was never acknowledged, and its placer reports it again after a newer attempt began
    // elsewhere. If the new home acted on it, the task would run a second time beside the newer attempt.
    it("with the end of an old attempt reported beside a running one: the running one is adopted", async () => {
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

describe("the home is suspended past its lease and resumes", () => {
    // The owner is suspended while it writes a start marker. Another takes over, learns from the placer that the task
    // did not start, and starts it. If the first owner then confirmed its own start, the task would run twice.
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

    // The previous owner has an outdated ownership table and still sends orders. The placers must refuse them, since
    // they have answered the census of the new home.
    it("has its orders refused by placers while it does not know of the takeover", async () => {
        const { cell, first, second } = await makeCell();
        const placer = cell.getPlacer();
        placer.dropsNotifications = true;
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        placer.dropsNotifications = false;
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
    // A worker slice that is not covered may have a worker that still runs the task. Until its owner has answered, or
    // the worker's lease has certainly ended, nothing of the previous home may be started again.
    it("waits until every worker slice is covered", async () => {
        const { cell, first, second } = await makeCell(["p1", "p2"]);
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(100);
        cell.placers.forEach(placer => placer.knownAttempts.clear());
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

    // An order of the dead home waits at an entry that owns no workers now and may own some later. Without its answer
    // the task must not be started elsewhere, as it could later start there as well.
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

    // A task that is not repeatable waits for capacity at a placer that dies. It was never allowed to start, so it
    // must not be given up.
    it("after a placer is lost: a task that waited there and is not repeatable starts elsewhere", async () => {
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
        cell.notifyOwnershipChange();
        await cell.clock.step(3_000);
        assert.equal((await show(cell, first, "j")).counts.mayHaveRun, 0);
        assert.equal(cell.getPlacer(left).confirmed.length, 1);
    });

    // A placer dies with a task that its home takes for running, and the new owner of its slices finds the task on no
    // worker. It must be started again if it is repeatable, and never otherwise.
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
            cell.notifyOwnershipChange();
            await cell.clock.step(3_000);
            const { counts } = await show(cell, first, "j");
            assert.equal(cell.getPlacer(left).started.length, repeatable ? 1 : 0);
            assert.deepEqual([counts.running, counts.mayHaveRun], repeatable ? [1, 0] : [0, 1]);
        });
    }

    // An order was lost in transit, or it arrived and only the update about it was lost.
    it("settles orders that no placer reports", async () => {
        const { cell, first } = await makeCell();
        const placer = cell.getPlacer();
        placer.dropsNotifications = true;
        await cell.query(first, makeSubmit("j"));
        await cell.clock.step(3_000);
        placer.dropsNotifications = false;
        await cell.clock.step(30_000);
        assert.deepEqual(listAttempts(placer.orders), ["j.0.1.1"]);
    });
});

function describeLines(reply: HomeReply): string {
    return reply.kind === "explanation" ? reply.lines.join("\n") : reply.kind;
}
