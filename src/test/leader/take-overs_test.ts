/** Leaders that die, stand still or lose the store, and those that follow them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EpochHistory } from "../../process/leadership/epoch-history.js";
import { CORE, LeaderCell, makeSpec } from "./leader-cell.js";

const FIRST = "10.0.0.1:80";

describe("a take-over", () => {
    it("lets what runs go on and finishes the job", async () => {
        // The leader's process is killed while a job runs. Its caller asks the next leader, which must know the job,
        // must not start its task again, and must see its end.
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

    it("refuses the writes and orders of a leader that stood still", async () => {
        // A leader is suspended, another takes over and starts the waiting task; the first wakes up and goes on as if
        // nothing had happened. Neither the store nor any worker may follow it.
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

    it("starts work of a worker that it cannot reach only after the earlier leader's right has ended", async () => {
        // The earlier leader is cut off from the store but still renews the lease of a worker that only it can reach.
        // The later leader must not start that worker's task elsewhere while it may run.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 60_000, end: "done" });
        const first = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(first, 1, makeSpec({ taskCount: 8 }));
        await cell.clock.step(300);
        first.storePath.faults.unreachable = true;
        first.workers.getPath("10.0.0.2:80").faults.unreachable = true;
        const second = await cell.startLeader();
        second.workers.getPath(FIRST).faults.unreachable = true;
        await cell.clock.step(10_000);
        assert.equal(cell.starts.length, 8);
        cell.addWorker("w3", "10.0.0.3:80");
        cell.refreshWorkers(second);
        await cell.clock.step(12_000);
        assert.equal(cell.starts.length, 12);
        assert.deepEqual(cell.faults, []);
    });

    it("counts the wait for a lost worker from when its last leader lost its place", async () => {
        // A worker is gone for good and leaders change every five seconds. Each new leader waited for the worker's leases
        // from its own claim, so the worker's tasks stood still for as long as the changes went on.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 30_000, end: "done" });
        const epochs = new EpochHistory();
        let leader = await cell.startLeader(false, epochs);
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 2, maxPerWorker: 1 }));
        await cell.clock.step(300);
        assert.equal(cell.starts.length, 2);
        cell.getModel(FIRST).kill();
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

    it("calls no job unknown that was accepted while it stood still", async () => {
        // A caller hands a job in and a moment later is told that it is unknown. The node that was asked had led, stood
        // still while another took over and accepted the job, and answered before it learnt of that.
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

    it("shows a job's end only when no later leader can take it back", async () => {
        // A caller reads "completed", the leader dies before that is stored, and the next one runs the task again.
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
            name: "refuses a job that surely does not stand in the store",
            isFirstLost: false,
            early: "refused",
            starts: 0,
        },
        { name: "keeps a job that may stand in the store", isFirstLost: true, early: "accepted", starts: 1 },
    ];
    for (const { name, isFirstLost, early, starts } of outages) {
        it(`${name}, and refuses those that come later at once`, async () => {
            // The store is down. Callers must learn within a moment that their jobs have not been taken, and a job that
            // was refused must never start, also when the store comes back.
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

    it("starts each job once that was refused and is handed in again", async () => {
        // The store is away; jobs are refused after room was reserved for them. Their callers come again as the store
        // returns. The end of the first reservation was taken for the end of the new run, and tasks ran twice at once
        // (day `store`, seed 235791680809 on one deployment, 553265937142 on the other).
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

    it("keeps what runs alive through an outage", async () => {
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

    it("does not take a write whose answer was lost for a write of another leader", async () => {
        // Each lost answer would end the leadership, and every job would wait for a take-over.
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
