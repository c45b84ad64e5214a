/** What the home makes of the words of placers, and what callers are told meanwhile. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { TaskUpdate } from "../../../connection/messages.js";
import type { JobSpec } from "../../../request/work.js";
import { HomeCell, makeSettings, makeSubmit, requireJob, SLICE } from "./home-cell.js";

const show = { kind: "showJob", jobId: "j", team: undefined } as const;

async function makeCell() {
    const cell = new HomeCell();
    const entry = cell.addEntry("h1");
    await cell.openSliceAt(entry);
    return { cell, entry, placer: cell.getPlacer() };
}

type Told = Omit<TaskUpdate, "attempt" | "jobId" | "index">;

describe("the end of an attempt", () => {
    const cases: readonly {
        readonly name: string;
        readonly spec: Partial<JobSpec>;
        readonly updates: readonly Told[];
        /** Outcome of the task; undefined while it waits or runs. */
        readonly outcome: string | undefined;
        readonly attempts: number;
    }[] = [
        {
            name: "done",
            spec: {},
            updates: [{ state: "done" }],
            outcome: "done",
            attempts: 1,
        },
        {
            name: "failed, repeatable: tried again",
            spec: {},
            updates: [{ state: "failed", message: "no" }, { state: "done" }],
            outcome: "done",
            attempts: 2,
        },
        {
            name: "failed each time: ends after the tries of its branch",
            spec: {},
            updates: [{ state: "failed" }, { state: "failed" }, { state: "failed" }],
            outcome: "failed",
            attempts: 3,
        },
        {
            name: "failed, not repeatable: ends",
            spec: { repeatable: false },
            updates: [{ state: "failed" }],
            outcome: "failed",
            attempts: 1,
        },
        {
            name: "lost, repeatable: started again, and a loss is no failure",
            spec: {},
            updates: [{ state: "lost" }, { state: "lost" }, { state: "lost" }, { state: "done" }],
            outcome: "done",
            attempts: 4,
        },
        {
            name: "lost, not repeatable: may have run",
            spec: { repeatable: false },
            updates: [{ state: "lost" }],
            outcome: "mayHaveRun",
            attempts: 1,
        },
        {
            name: "preempted with a checkpoint: goes on from it",
            spec: { repeatable: false },
            updates: [{ state: "stopped", checkpoint: "c1" }, { state: "done" }],
            outcome: "done",
            attempts: 2,
        },
        {
            name: "stopped without one, not repeatable: may have run",
            spec: { repeatable: false },
            updates: [{ state: "stopped" }],
            outcome: "mayHaveRun",
            attempts: 1,
        },
        {
            name: "not started: offered again",
            spec: { repeatable: false },
            updates: [{ state: "notStarted", retryAfterMs: 500 }, { state: "done" }],
            outcome: "done",
            attempts: 2,
        },
    ];
    for (const { name, spec, updates, outcome, attempts } of cases) {
        it(name, async () => {
            const { cell, entry, placer } = await makeCell();
            const left = [...updates];
            cell.handleOrder = (at, order) => {
                const next = left.shift();
                if (next?.state !== "notStarted") {
                    at.startTask(order);
                }
                if (next !== undefined) {
                    at.report(order, next);
                }
            };
            await cell.query(entry, makeSubmit("j", spec));
            await cell.clock.step(20_000);
            const task = requireJob(await cell.query(entry, show)).tasks[0];
            assert.equal(task?.outcome?.kind, outcome);
            assert.equal(placer.orders.length, attempts);
            const ids = new Set(placer.orders.map(order => order.attempt));
            assert.equal(ids.size, attempts);
            assert.equal(placer.acknowledged.size, attempts);
            const checkpoint = updates.find(update => update.checkpoint !== undefined)?.checkpoint;
            assert.equal(placer.orders.at(-1)?.checkpoint, checkpoint);
        });
    }
});

describe("a task whose worker is lost each time", () => {
    const cases: readonly {
        readonly name: string;
        /** How long each run goes on before its worker is lost. */
        readonly ranMs: number;
        readonly forMs: number;
        readonly mostOrders: number;
        readonly leastOrders: number;
    }[] = [
        {
            name: "is started ever less often, as it may crash its workers",
            ranMs: 0,
            forMs: 60_000,
            mostOrders: 9,
            leastOrders: 5,
        },
        {
            name: "is started again at once where it ran for long",
            ranMs: 90_000,
            forMs: 500_000,
            mostOrders: 6,
            leastOrders: 6,
        },
    ];
    for (const { name, ranMs, forMs, mostOrders, leastOrders } of cases) {
        it(name, async () => {
            const { cell, entry, placer } = await makeCell();
            cell.handleOrder = (at, order) => {
                at.startTask(order);
                at.report(order, { state: "running", workerId: "w1" });
                cell.clock.schedule(ranMs, () => at.report(order, { state: "lost", workerId: "w1" }));
            };
            await cell.query(entry, makeSubmit("j"));
            await cell.clock.step(forMs);
            const { length } = placer.orders;
            assert.ok(length <= mostOrders && length >= leastOrders, `${length} orders`);
        });
    }
});

describe("a task that runs too long", () => {
    // A sweep's task hangs. Its branch allows a minute: it is stopped and ends as failed, and is not tried again,
    // since it would hang again.
    it("is stopped and fails", async () => {
        const { cell, entry, placer } = await makeCell();
        cell.settings = makeSettings({ maxRunMs: 60_000 });
        cell.handleOrder = (at, order) => at.startTask(order);
        await cell.query(entry, makeSubmit("j"));
        await cell.clock.step(59_000);
        assert.equal(requireJob(await cell.query(entry, show)).counts.running, 1);
        await cell.clock.step(3_000);
        const job = requireJob(await cell.query(entry, show));
        assert.equal(job.counts.failed, 1);
        assert.equal(placer.orders.length, 1);
    });
});

describe("updates that come late, doubled or for another attempt", () => {
    // A worker's slice moves: the old owner's word "running" arrives after the new owner's. The task's place must
    // stay the new one, or its withdrawal would go to the wrong placer.
    it("keep the owner with the higher epoch", async () => {
        const { cell, entry, placer } = await makeCell();
        cell.handleOrder = (at, order) => {
            at.report(order, { state: "running", workerId: "w1", sliceEpoch: 7 });
            at.report(order, { state: "running", workerId: "w0", sliceEpoch: 6 });
        };
        await cell.query(entry, makeSubmit("j"));
        await cell.clock.step(100);
        assert.equal(requireJob(await cell.query(entry, show)).tasks[0]?.workerId, "w1");
        assert.equal(placer.withdrawn.length, 0);
    });

    // An attempt that was given up turns up running after all, or its end is told again: the first is stopped, the
    // second acknowledged, and neither changes what the caller was told.
    it("are stopped or acknowledged", async () => {
        const { cell, entry, placer } = await makeCell();
        await cell.query(entry, makeSubmit("j"));
        await cell.clock.step(100);
        const [order] = placer.orders;
        assert.ok(order !== undefined);
        placer.report({ ...order, attempt: "j.0.0.9" }, { state: "done", answer: "stale" });
        placer.report({ ...order, attempt: "j.0.0.8" }, { state: "running", workerId: "w9" });
        await cell.clock.step(100);
        assert.ok(placer.acknowledged.has("j.0.0.9"));
        assert.ok(placer.withdrawn.includes("j.0.0.8"));
        assert.equal(requireJob(await cell.query(entry, show)).counts.done, 0);
    });
});

describe("work that can never fit", () => {
    // A designer asks for more memory than any worker has. The answer to the very submission says so, with what
    // there is; when a larger worker comes, the job starts without being handed in again.
    it("is told at once and looked at again when the fleet changes", async () => {
        const { cell, entry, placer } = await makeCell();
        const resources = { cpuMillis: 1_000, memoryMib: 500_000, accelerators: 0 };
        const reply = await cell.query(entry, makeSubmit("j", { resources }));
        const waitsFor = requireJob(reply).tasks[0]?.waitsFor ?? "";
        assert.match(waitsFor, /can never fit.*500000 MiB.*130000MiB/);
        const explained = await cell.query(entry, { kind: "explainJob", jobId: "j", team: undefined });
        assert.ok(explained.kind === "explanation" && explained.lines.join().includes("can never fit"));
        placer.largestWorker = { cpuMillis: 64_000, memoryMib: 600_000, accelerators: 0 };
        await cell.clock.step(200);
        assert.equal(placer.orders.length, 1);
    });
});

describe("the store is down for ten minutes", () => {
    // Tasks that run go on and end. Their ends are not acknowledged before they are written, new jobs are refused
    // at once, and when the store is back nothing is missing and nothing has run twice.
    it("loses and doubles nothing", async () => {
        const { cell, entry, placer } = await makeCell();
        cell.handleOrder = (at, order) => {
            at.startTask(order);
            cell.clock.schedule(60_000, () => at.report(order, { state: "done", answer: "42" }));
        };
        await cell.query(entry, makeSubmit("j", { tasks: 20 }));
        await cell.clock.step(1_000);
        entry.store.isAway = true;
        for (let minute = 0; minute < 10; minute++) {
            await cell.clock.step(60_000);
            placer.reportAll();
        }
        assert.equal(placer.acknowledged.size, 0);
        const refused = await cell.query(entry, makeSubmit("k"));
        assert.equal(refused.kind, "refused");
        entry.store.isAway = false;
        await cell.clock.step(5_000);
        assert.equal(requireJob(await cell.query(entry, show)).counts.done, 20);
        assert.deepEqual([placer.acknowledged.size, placer.started.length], [20, 20]);
    });
});

describe("paid runs while the store is down", () => {
    // Start markers cannot be written, so none of the paid runs may start; placers give the room to others and offer
    // it again later. When the store is back each starts once, and none is given up as "may have run".
    it("wait, and start once afterwards", async () => {
        const { cell, entry, placer } = await makeCell();
        cell.handleOrder = (at, order) => {
            at.startTask(order);
            at.report(order, { state: "done" });
        };
        placer.isReady = false;
        await cell.query(entry, makeSubmit("j", { tasks: 40, repeatable: false }));
        entry.store.isAway = true;
        placer.isReady = true;
        await cell.clock.step(120_000);
        assert.deepEqual(placer.confirmed, []);
        entry.store.isAway = false;
        await cell.clock.step(20_000);
        const job = requireJob(await cell.query(entry, show));
        assert.deepEqual([job.counts.done, job.counts.mayHaveRun], [40, 0]);
        assert.equal(new Set(placer.started.map(order => order.index)).size, 40);
        assert.equal(placer.started.length, 40);
    });
});

describe("a slice that cannot be read back", () => {
    // A record was altered by hand. The slice must not start with what is left of it; it says which key is wrong,
    // and serves by itself once the record is put right.
    it("stays closed, says so, and opens once it is mended", async () => {
        const { cell, entry } = await makeCell();
        await cell.query(entry, makeSubmit("j"));
        const key = `home/${SLICE}/slot/2`;
        const found = cell.model.read(key);
        assert.ok(found.kind === "done" && found.value !== undefined);
        const { value, revision } = found.value;
        cell.model.swap({ key, value: value.replace("impeller", "impellor"), expectedRevision: revision });
        const second = cell.addEntry("h2");
        await cell.openSliceAt(second);
        const refused = await cell.query(second, show);
        assert.ok(refused.kind === "refused" && refused.outcome.kind === "notRun");
        assert.match(refused.outcome.remedy, /home\/3\/slot\/2.*RECOVERY.md/);
        assert.deepEqual(second.home.listReady(), []);
        assert.deepEqual(second.log.lines.map(line => line.code), ["CR1701"]);
        const altered = cell.model.read(key);
        assert.ok(altered.kind === "done" && altered.value !== undefined);
        cell.model.swap({ key, value, expectedRevision: altered.value.revision });
        await cell.clock.step(31_000);
        assert.equal(requireJob(await cell.query(second, show)).jobId, "j");
    });
});
