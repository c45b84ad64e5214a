/** Leaders that are killed, suspended or cut off from the store, and their successors. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { computeLeaseBound } from "../../process/dispatch/lease-bound.js";
import { EpochHistory } from "../../process/leadership/epoch-history.js";
import { CORE, LeaderCell, LEASE_MS, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const FIRST_ADDRESS = "10.0.0.1:80";
/** Time in which a leader notices an expired lease and starts the task elsewhere. */
const SWEEP_SLACK_MS = 500;

/** Starts a leader, and a task of a job on each of two workers. */
async function startOnBoth(
    runMs: Millis,
): Promise<{ readonly cell: LeaderCell; readonly leader: TestLeader; }> {
    const cell = new LeaderCell(2);
    cell.getBehavior = () => ({ demand: CORE, runMs, end: "done" });
    const leader = await cell.startLeader();
    await cell.clock.step(100);
    await cell.submit(leader, 1, makeSpec({ taskCount: 2, maxPerWorker: 1 }));
    await cell.clock.step(1_000);
    return { cell, leader };
}

describe("a takeover", () => {
    it("keeps running tasks and completes the job", async () => {
        // The leader's process is killed while a job runs. The next leader must know the job, must not start
        // its task again, and must learn of its end.
        const cell = new LeaderCell(2);
        const first = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(first, 1, makeSpec({}));
        await cell.clock.step(300);
        first.clock.kill();
        const second = await cell.startLeader();
        await cell.clock.step(2_000);
        assert.deepEqual(await cell.show(second, 1), { kind: "state", phase: "completed" });
        assert.equal(cell.starts.length, 1);
    });

    it("fences the writes and orders of a leader that was suspended", async () => {
        // A leader is suspended, and another takes over and starts the waiting tasks. The first resumes and
        // continues as if it still led: neither the store nor any worker may accept its writes and orders.
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: 2_000, end: "done" });
        const first = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(first, 1, makeSpec({ taskCount: 8 }));
        await cell.clock.step(200);
        first.clock.pause();
        const second = await cell.startLeader();
        await cell.clock.step(2_500);
        first.clock.resume();
        await cell.clock.step(3_000);
        assert.notDeepEqual(first.deposed, []);
        assert.deepEqual(await cell.show(second, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    it("restarts the tasks of an unreachable worker only after the earlier leader can no longer extend its lease", async () => {
        // The earlier leader is cut off from the store but still renews the lease of a worker that only it
        // can reach. The later leader must not start that worker's tasks elsewhere while they may be running.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 60_000, end: "done" });
        const first = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(first, 1, makeSpec({ taskCount: 8 }));
        await cell.clock.step(300);
        first.storePath.faults.unreachable = true;
        first.workers.getPath("10.0.0.2:80").faults.unreachable = true;
        const second = await cell.startLeader();
        second.workers.getPath(FIRST_ADDRESS).faults.unreachable = true;
        await cell.clock.step(10_000);
        assert.equal(cell.starts.length, 8);
        cell.addWorker("w3", "10.0.0.3:80");
        cell.refreshWorkers(second);
        await cell.clock.step(12_000);
        assert.equal(cell.starts.length, 12);
        assert.deepEqual(cell.faults, []);
    });

    it("counts the wait for a lost worker from when its last leader was replaced", async () => {
        // A worker is gone and leaders change every five seconds. Each new leader waited for the worker's
        // leases from its own claim, so the worker's tasks stalled for as long as the changes continued.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 30_000, end: "done" });
        const epochs = new EpochHistory();
        let leader = await cell.startLeader(false, epochs);
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 2, maxPerWorker: 1 }));
        await cell.clock.step(300);
        assert.equal(cell.starts.length, 2);
        cell.getModel(FIRST_ADDRESS).kill();
        cell.removeFromList("w1");
        cell.addWorker("w3", "10.0.0.3:80");
        for (let change = 0; change < 3; change++) {
            leader.clock.kill();
            leader = await cell.startLeader(false, epochs);
            await cell.clock.step(5_000);
        }
        assert.equal(cell.starts.length, 3);
        assert.deepEqual(cell.faults, []);
    });

    it("restarts the tasks of a worker that the earlier leader released after one lease", async () => {
        // Guards against tasks that stood still for as long as the earlier leader might have extended leases without
        // the store, although their worker had been gone for seconds when it was lost itself.
        const { cell, leader: first } = await startOnBoth(60_000);
        cell.killWorker(FIRST_ADDRESS);
        await cell.clock.step(3_000);
        first.clock.kill();
        const second = await cell.startLeader();
        cell.addWorker("w3", "10.0.0.3:80");
        cell.refreshWorkers(second);
        await cell.clock.step(computeLeaseBound(LEASE_MS) + SWEEP_SLACK_MS);
        assert.equal(cell.starts.length, 3);
        assert.equal(cell.starts[2]?.run, 2);
        assert.deepEqual(cell.faults, []);
    });

    it("extends no lease on a worker that was released until it is adopted again", async () => {
        // Guards against a released worker that the earlier leader reaches again after it has lost the store.
        const { cell, leader: first } = await startOnBoth(60_000);
        const { faults } = first.workers.getPath(FIRST_ADDRESS);
        faults.unreachable = true;
        await cell.clock.step(2_500);
        assert.equal(first.jobs.adoptions.get("w1")?.isReleased, true);
        first.storePath.faults.unreachable = true;
        faults.unreachable = false;
        const second = await cell.startLeader();
        second.workers.getPath(FIRST_ADDRESS).faults.unreachable = true;
        cell.addWorker("w3", "10.0.0.3:80");
        cell.refreshWorkers(second);
        await cell.clock.step(15_000);
        assert.equal(cell.starts.length, 3);
        assert.deepEqual(cell.faults, []);
    });

    it("keeps the runs of a worker that answers again after it was released", async () => {
        const { cell, leader } = await startOnBoth(30_000);
        const { faults } = leader.workers.getPath(FIRST_ADDRESS);
        faults.unreachable = true;
        await cell.clock.step(2_500);
        assert.equal(leader.jobs.adoptions.get("w1")?.isReleased, true);
        faults.unreachable = false;
        await cell.clock.step(30_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.equal(cell.starts.length, 2);
    });

    it("releases no worker while the store is away", async () => {
        const { cell, leader } = await startOnBoth(20_000);
        const { faults } = leader.workers.getPath(FIRST_ADDRESS);
        leader.storePath.faults.unreachable = true;
        faults.unreachable = true;
        await cell.clock.step(2_000);
        faults.unreachable = false;
        await cell.clock.step(3_000);
        leader.storePath.faults.unreachable = false;
        await cell.clock.step(20_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.equal(cell.starts.length, 2);
    });

    it("does not report a job as unknown that was accepted during a suspension", async () => {
        // A caller submits a job and is then told that it does not exist: the node that answered had led, was
        // suspended while another took over and accepted the job, and answered before it learned of that.
        const cell = new LeaderCell(1);
        const first = await cell.startLeader();
        await cell.clock.step(100);
        first.clock.pause();
        const second = await cell.startLeader();
        await cell.submit(second, 1, makeSpec({}));
        await cell.clock.step(2_000);
        first.clock.resume();
        const reply = await cell.show(first, 1);
        assert.equal(reply.kind, "unknown");
        assert.deepEqual(await cell.show(second, 2), { kind: "noJob" });
    });

    it("shows a job's outcome only once no later leader can revoke it", async () => {
        // A caller reads "completed", the leader is killed before that is stored, and the next one runs the
        // task again.
        const cell = new LeaderCell(1);
        const first = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(first, 1, makeSpec({}));
        await cell.clock.step(500);
        first.storePath.faults.unreachable = true;
        await cell.clock.step(1_500);
        assert.deepEqual(await cell.show(first, 1), { kind: "state", phase: "running" });
        first.clock.kill();
        const second = await cell.startLeader();
        await cell.clock.step(2_000);
        assert.deepEqual(await cell.show(second, 1), { kind: "state", phase: "completed" });
        assert.equal(cell.starts.length, 1);
    });
});

describe("a leader without its store", () => {
    const outages = [
        {
            name: "refuses a job that is surely not in the store",
            isFirstLost: false,
            early: "refused",
            starts: 0,
        },
        { name: "keeps a job that may be in the store", isFirstLost: true, early: "accepted", starts: 1 },
    ];
    for (const { name, isFirstLost, early, starts } of outages) {
        it(`${name}, and refuses later ones at once`, async () => {
            // The store is down. Callers must learn quickly that their jobs are not accepted, and a refused
            // job must never start, not even after the store is back.
            const cell = new LeaderCell(1);
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            if (isFirstLost) {
                leader.storePath.planNext({ kind: "dropRequest" });
            }
            leader.storePath.faults.unreachable = !isFirstLost;
            const submitted = cell.send(leader, 1, makeSpec({}));
            await cell.clock.step(20);
            leader.storePath.faults.unreachable = true;
            await cell.clock.step(1_500);
            const late = await cell.submit(leader, 2, makeSpec({}));
            assert.equal(late.kind, "refused");
            leader.storePath.faults.unreachable = false;
            await cell.clock.step(5_000);
            assert.equal((await submitted).kind, early);
            assert.equal(cell.countStarts(2), 0);
            assert.equal(cell.starts.length, starts);
        });
    }

    it("starts each job once that was refused and is submitted again", async () => {
        // The store is unavailable, so jobs are refused after capacity was reserved for them, and are
        // submitted again once it is back. The end of the first reservation was taken for the end of the new
        // run, and tasks ran twice at once (day `store`, seed 235791680809 on one deployment, 553265937142 on
        // the other).
        const cell = new LeaderCell(12);
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.storePath.faults.unreachable = true;
        const numbers = Array.from({ length: 40 }, (...[, index]) => index + 1);
        const replies = new Map<number, string>();
        const submit = (number: number): void => {
            void cell.send(leader, number, makeSpec({})).then(reply => replies.set(number, reply.kind));
        };
        for (const number of numbers) {
            submit(number);
            await cell.clock.step(20);
        }
        await cell.clock.step(500);
        leader.storePath.faults.unreachable = false;
        leader.storePath.faults.slowMs = 150;
        for (let tries = 0; tries < 400; tries++) {
            numbers.filter(number => replies.get(number) === "refused").forEach(submit);
            await cell.clock.step(5);
        }
        await cell.clock.step(4_000);
        assert.deepEqual(cell.faults, []);
        assert.deepEqual(numbers.filter(number => replies.get(number) !== "accepted"), []);
        assert.equal(cell.starts.length, numbers.length);
    });

    it("keeps runs alive through an outage", async () => {
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: 9_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(500);
        leader.storePath.faults.unreachable = true;
        await cell.clock.step(8_000);
        leader.storePath.faults.unreachable = false;
        await cell.clock.step(3_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.equal(cell.starts.length, 1);
    });

    it("does not mistake a write whose answer was lost for a write of another leader", async () => {
        // Otherwise each lost answer would end the leadership, and every job would wait for a takeover.
        const cell = new LeaderCell(1);
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.storePath.planNext({ kind: "dropAnswer" });
        assert.deepEqual(await cell.submit(leader, 1, makeSpec({})), { kind: "accepted" });
        await cell.clock.step(2_500);
        assert.deepEqual(leader.deposed, []);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
    });
});
