/** How the home handles updates from placers, and what callers are shown meanwhile. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { TaskUpdate } from "../../../connection/messages.js";
import { MAX_ANSWER_CHARACTERS } from "../../../process/home/run/updates.js";
import type { JobSpec } from "../../../request/work.js";
import { HomeCell, makeSettings, makeSubmit, requireJob, SLICE } from "./home-cell.js";

const show = { kind: "showJob", jobId: "j", team: undefined } as const;

async function makeCell() {
    const cell = new HomeCell();
    const entry = cell.addEntry("h1");
    await cell.openSliceAt(entry);
    return { cell, entry, placer: cell.getPlacer() };
}

type UpdateFields = Omit<TaskUpdate, "attempt" | "jobId" | "index">;

describe("the end of an attempt", () => {
    const cases: readonly {
        readonly name: string;
        readonly spec: Partial<JobSpec>;
        readonly updates: readonly UpdateFields[];
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
            name: "failed, repeatable: retried",
            spec: {},
            updates: [{ state: "failed", message: "no" }, { state: "done" }],
            outcome: "done",
            attempts: 2,
        },
        {
            name: "failed each time: ends after the attempts that its branch allows",
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
            name: "lost, repeatable: started again, and not counted as a failure",
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
            name: "preempted with a checkpoint: resumed from it",
            spec: { repeatable: false },
            updates: [{ state: "stopped", checkpoint: "c1" }, { state: "done" }],
            outcome: "done",
            attempts: 2,
        },
        {
            name: "stopped without a checkpoint, not repeatable: may have run",
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
            const remaining = [...updates];
            cell.handleOrder = (at, order) => {
                const next = remaining.shift();
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
        /** How long each attempt runs before its worker is lost. */
        readonly ranMs: number;
        readonly forMs: number;
        readonly mostOrders: number;
        readonly leastOrders: number;
    }[] = [
        {
            name: "is started with growing backoff, as it may crash its workers",
            ranMs: 0,
            forMs: 60_000,
            mostOrders: 9,
            leastOrders: 5,
        },
        {
            name: "is started again at once if it ran for long",
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
    // A task hangs and its branch allows it a minute. It must be stopped and fail without a retry, since it would
    // hang again.
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

describe("an answer that is too long to be stored", () => {
    for (const padding of ["", "a"]) {
        it(`is cut between characters, ${padding.length} after the start`, async () => {
            // Guards against answers that end with a character that no worker sent.
            const { cell, entry } = await makeCell();
            const answer = padding + "🏰".repeat(MAX_ANSWER_CHARACTERS);
            cell.handleOrder = (at, order) => at.report(order, { state: "done", answer });
            await cell.query(entry, makeSubmit("j"));
            await cell.clock.step(100);
            const outcome = requireJob(await cell.query(entry, show)).tasks[0]?.outcome;
            assert(outcome?.kind === "done");
            const stored = new TextDecoder().decode(outcome.answer);
            assert.ok(stored.length >= MAX_ANSWER_CHARACTERS - 1 && answer.startsWith(stored));
        });
    }
});

describe("updates that are late, duplicated or for another attempt", () => {
    // A worker's slice moves, and the old owner's update "running" arrives after the new owner's. If the home then
    // took the old placer for the task's, a withdrawal would go to the wrong placer.
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

    // An attempt that was given up is reported running, and the end of another is reported again. The first must be
    // withdrawn, the second acknowledged, and neither may change the job's state.
    it("have their attempts withdrawn or acknowledged", async () => {
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
    // A job needs more memory than any worker has. The reply to its submission must say so with the largest sizes,
    // and the job must start without another submission once a larger worker joins.
    it("is reported at once, and started when the fleet changes", async () => {
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

describe("the store is unavailable for ten minutes", () => {
    // Running tasks end meanwhile. Their ends must not be acknowledged before they are written, and new jobs must be
    // refused at once; afterwards nothing may be missing or have run twice.
    it("loses and duplicates nothing", async () => {
        const { cell, entry, placer } = await makeCell();
        cell.handleOrder = (at, order) => {
            at.startTask(order);
            cell.clock.schedule(60_000, () => at.report(order, { state: "done", answer: "42" }));
        };
        await cell.query(entry, makeSubmit("j", { tasks: 20 }));
        await cell.clock.step(1_000);
        entry.store.isUnavailable = true;
        for (let minute = 0; minute < 10; minute++) {
            await cell.clock.step(60_000);
            placer.reportAll();
        }
        assert.equal(placer.acknowledged.size, 0);
        const refused = await cell.query(entry, makeSubmit("k"));
        assert.equal(refused.kind, "refused");
        entry.store.isUnavailable = false;
        await cell.clock.step(5_000);
        assert.equal(requireJob(await cell.query(entry, show)).counts.done, 20);
        assert.deepEqual([placer.acknowledged.size, placer.started.length], [20, 20]);
    });
});

describe("tasks that are not repeatable while the store is unavailable", () => {
    // Start markers cannot be written, so none of the tasks may start, and the placers' holds expire again and again.
    // Once the store is back each must start once, and none may be given up as "may have run".
    it("wait, and start once afterwards", async () => {
        const { cell, entry, placer } = await makeCell();
        cell.handleOrder = (at, order) => {
            at.startTask(order);
            at.report(order, { state: "done" });
        };
        placer.isReady = false;
        await cell.query(entry, makeSubmit("j", { tasks: 40, repeatable: false }));
        entry.store.isUnavailable = true;
        placer.isReady = true;
        await cell.clock.step(120_000);
        assert.deepEqual(placer.confirmed, []);
        entry.store.isUnavailable = false;
        await cell.clock.step(20_000);
        const job = requireJob(await cell.query(entry, show));
        assert.deepEqual([job.counts.done, job.counts.mayHaveRun], [40, 0]);
        assert.equal(new Set(placer.started.map(order => order.index)).size, 40);
        assert.equal(placer.started.length, 40);
    });
});

describe("a slice that cannot be recovered", () => {
    // A record was altered by hand. The slice must not open with the remaining records; its refusals name the faulty
    // key, and it opens by itself once the record is repaired.
    it("stays closed, reports the key, and opens once the record is repaired", async () => {
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
