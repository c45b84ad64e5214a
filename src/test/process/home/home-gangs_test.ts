/** Gangs at the home: either all tasks start together, or none starts. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FakeCell } from "../../fakes/fake-cell.js";
import { HomeCell, makeSpec, makeSubmit, requireJob } from "./home-cell.js";

/** CPU capacity of a worker of the fake cell. */
const WORKER_CPU_MILLIS = 4_000;
const show = { kind: "showJob", jobId: "g", team: undefined } as const;

async function makeCell() {
    const cell = new HomeCell(["p1", "p2"]);
    const entry = cell.addEntry("h1");
    await cell.openSliceAt(entry);
    const [left, right] = [cell.getPlacer("p1"), cell.getPlacer("p2")];
    return { cell, entry, left, right };
}

describe("the start of a gang", () => {
    it("commits at all placers once capacity is held for every task", async () => {
        const { cell, entry, left, right } = await makeCell();
        left.capacity = 3;
        cell.handleOrder = (placer, order) => placer.startTask(order);
        await cell.query(entry, makeSubmit("g", { kind: "gang", tasks: 5 }));
        await cell.clock.step(500);
        assert.deepEqual([left.started.length, right.started.length], [3, 2]);
        assert.equal(requireJob(await cell.query(entry, show)).counts.running, 5);
    });

    // The gang needs more capacity than there is. Starting the tasks that fit would occupy workers to no purpose, and
    // the gang might never complete. The job's view must say why it waits.
    it("starts nothing while one task does not fit, and releases its holds", async () => {
        const { cell, entry, left, right } = await makeCell();
        left.capacity = 3;
        right.capacity = 1;
        await cell.query(entry, makeSubmit("g", { kind: "gang", tasks: 5 }));
        await cell.clock.step(400);
        assert.deepEqual([left.orders, right.orders], [[], []]);
        assert.deepEqual([left.withdrawn.length, right.withdrawn.length], [3, 1]);
        const waiting = requireJob(await cell.query(entry, show)).tasks[0]?.waitsFor;
        assert.match(waiting ?? "", /5 tasks must start together; there is room for 4/);
        right.capacity = 2;
        cell.handleOrder = (placer, order) => placer.startTask(order);
        await cell.clock.step(20_000);
        assert.equal(requireJob(await cell.query(entry, show)).counts.running, 5);
    });

    // One placer's hold expired before its commit arrived, so its tasks do not start. The others run already and
    // would wait for them forever.
    it("stops the others when a task does not start, and starts all again together", async () => {
        const { cell, entry, left, right } = await makeCell();
        left.capacity = 3;
        let refusals = 1;
        cell.handleOrder = (placer, order) => {
            if (placer === right && refusals > 0) {
                refusals--;
                placer.report(order, { state: "notStarted", reason: "the reservation had ended" });
                return;
            }
            placer.startTask(order);
        };
        await cell.query(entry, makeSubmit("g", { kind: "gang", tasks: 5 }));
        await cell.clock.step(300);
        assert.equal(requireJob(await cell.query(entry, show)).counts.running, 0);
        await cell.clock.step(20_000);
        const job = requireJob(await cell.query(entry, show));
        assert.deepEqual([job.counts.running, job.counts.waiting], [5, 0]);
    });

    // As above, but the tasks must not run twice: those that had started end as "may have run" and are not started
    // again.
    it("ends the started tasks of a gang that is not repeatable", async () => {
        const { cell, entry, left, right } = await makeCell();
        left.capacity = 3;
        cell.handleOrder = (placer, order) =>
            placer === right ?
                placer.report(order, { state: "lost", workerId: "w9" }) :
                placer.startTask(order);
        await cell.query(entry, makeSubmit("g", { kind: "gang", tasks: 5, repeatable: false }));
        await cell.clock.step(20_000);
        const job = requireJob(await cell.query(entry, show));
        assert.equal(job.counts.mayHaveRun, 2);
        assert.deepEqual([left.started.length, right.orders.length], [3, 2]);
    });

    // The home dies when only a part of the gang has started. The new home finds some tasks running and some
    // unknown; it must stop the running ones and start all together.
    it("is repeated for all tasks after the home died in the middle of it", async () => {
        const { cell, entry, left, right } = await makeCell();
        const second = cell.addEntry("h2");
        left.capacity = 3;
        right.dropsNotifications = true;
        cell.handleOrder = (placer, order) => placer.startTask(order);
        await cell.query(entry, makeSubmit("g", { kind: "gang", tasks: 5 }));
        await cell.clock.step(100);
        entry.clock.kill();
        right.dropsNotifications = false;
        await cell.openSliceAt(second);
        await cell.clock.step(20_000);
        const job = requireJob(await cell.query(second, show));
        assert.equal(job.counts.running, 5);
        assert.equal(left.withdrawn.length, 3);
    });
});

describe("competing gangs", () => {
    // Three gangs of different teams each need most of the cell and reserve at the same time. If each kept the part
    // that it holds, none could ever start. Meanwhile no worker may be given more than it has.
    it("all end", async () => {
        const cell = new FakeCell({ entries: 3, workers: 8 });
        await cell.start();
        const spec = makeSpec({
            kind: "gang",
            branch: "gangs",
            tasks: 6,
            resources: { cpuMillis: WORKER_CPU_MILLIS, memoryMib: 64, accelerators: 0 },
            estimateMs: 500,
            payload: JSON.stringify({ runMs: 500, answer: "reach" }),
        });
        const callers = ["hooghly", "verona", "milano"].map(team => ({ callerId: team, team }));
        const work = callers.map(async (caller, index) => {
            const { callers: gateway } = (cell.members[index] ?? cell.requireMember()).entry;
            const jobId = gateway.makeJobId(caller, spec);
            await gateway.callHome(jobId, { kind: "submitJob", jobId, caller, spec }, 10_000);
            const wait = { kind: "waitJob", jobId, team: undefined, waitMs: 10_000 } as const;
            for (;;) {
                // A wait returns early when the job's home slice moves.
                const reply = await gateway.callHome(jobId, wait, 20_000);
                if (requireJob(reply).state === "ended") {
                    return reply;
                }
            }
        });
        const ends = await cell.clock.wait(Promise.all(work), 200_000);
        assert.deepEqual(ends.map(reply => requireJob(reply).counts.done), [6, 6, 6]);
    });
});
