/** Workers that are silent, cut off, restarted, or carry out orders late. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CORE, HOST, LeaderCell, makeJobId, makeSpec, QUEUE } from "./leader-cell.js";

const FIRST_ADDRESS = "10.0.0.1:80";
/** A short job's slack, which a lost answer must not use up. */
const LOSS_LIMIT_MS = 500;

describe("a leader whose workers fail", () => {
    it("waits for the outcome of an unanswered order before it starts the task elsewhere", async () => {
        // The order to start a task reaches its worker, which runs it, but the answer is lost. A leader that
        // assigned the task to another worker at once would cause a double run.
        const cell = new LeaderCell(2);
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST_ADDRESS).planNext({ kind: "dropAnswer" });
        leader.workers.getPath("10.0.0.2:80").planNext({ kind: "dropAnswer" });
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(4_000);
        assert.equal(cell.starts.length, 1);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    for (const lost of [1, 2, 3]) {
        it(`learns of an end soon although ${lost} of its requests in a row are lost`, async () => {
            // Workers leave a few percent of the calls unanswered. A task ends in time, but the answer that
            // would report its end is lost, and its caller reads "completed" 1.5 s later, after the
            // objective.
            const cell = new LeaderCell(1);
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            const path = leader.workers.getPath(FIRST_ADDRESS);
            path.plan({ kind: "dropRequest" });
            await cell.clock.step(3_000);
            await cell.submit(leader, 1, makeSpec({}));
            await cell.clock.step(300);
            path.plan(...Array.from({ length: lost }, () => ({ kind: "dropRequest" }) as const));
            const started = cell.starts[0]?.at ?? NaN;
            const due = started + 1_000 + LOSS_LIMIT_MS * lost;
            await cell.clock.step(due - cell.clock.now());
            assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
            assert.equal(cell.starts.length, 1);
            assert.ok(leader.log.lines.some(line => line.event === "answersGetLost"));
        });
    }

    it("tolerates an order that arrives seconds late", async () => {
        // An order is delayed for three seconds, the leader starts the task elsewhere, and the first worker
        // would then start it too, a double run. The order's deadline on the worker's clock prevents it.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 6_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST_ADDRESS).plan({ kind: "delayRequest", ms: 3_000 }, {
            kind: "delayRequest",
            ms: 3_000,
        });
        leader.workers.getPath("10.0.0.2:80").plan({ kind: "delayRequest", ms: 3_000 });
        await cell.submit(leader, 1, makeSpec({ taskCount: 2 }));
        await cell.clock.step(15_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    it("starts a gang although one worker does not answer an order", async () => {
        // A large job waits although all workers have capacity: one of them does not answer the order for its
        // member, the other members are stopped again, and by then other jobs have taken the capacity.
        const cell = new LeaderCell(4);
        cell.getBehavior = () => ({ demand: { ...CORE, cpuMillis: 4_000 }, runMs: 1_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST_ADDRESS).planNext({ kind: "dropRequest" });
        await cell.submit(
            leader,
            1,
            makeSpec({ demand: { ...CORE, cpuMillis: 4_000 }, taskCount: 4, isGang: true }),
        );
        await cell.clock.step(3_000);
        assert.deepEqual(cell.starts.map(({ run }) => run), [1, 1, 1, 1]);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    it("starts a gang's missing member on another worker, as part of the same run", async () => {
        // A worker becomes unreachable before its member of a gang is ordered. Another worker has capacity;
        // stopping the members that have started would give up theirs.
        const cell = new LeaderCell(5);
        cell.getBehavior = () => ({ demand: { ...CORE, cpuMillis: 4_000 }, runMs: 3_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        const refused = { kind: "refuseConnection" } as const;
        leader.workers.getPath(FIRST_ADDRESS).plan(refused, refused);
        await cell.submit(
            leader,
            1,
            makeSpec({ demand: { ...CORE, cpuMillis: 4_000 }, taskCount: 4, isGang: true }),
        );
        await cell.clock.step(1_000);
        assert.deepEqual(cell.starts.map(({ run }) => run), [1, 1, 1, 1]);
        assert.ok(leader.log.lines.some(line => line.event === "gangMemberMissing"));
        assert.ok(!leader.log.lines.some(line => line.event === "gangStopped"));
        assert.deepEqual(cell.faults, []);
    });

    it("preempts work that saves checkpoints for an urgent gang", async () => {
        // Both workers are full of long tasks of the less urgent queue. A job of the more urgent queue needs
        // two whole workers; it was seconds late because nothing ended in time.
        const cell = new LeaderCell(2);
        const whole = { ...CORE, cpuMillis: 4_000 };
        cell.getBehavior = task => {
            const isUrgent = task.startsWith(makeJobId(2));
            return { demand: isUrgent ? whole : CORE, runMs: isUrgent ? 500 : 30_000, end: "done" };
        };
        const slowQueue = { ...QUEUE, name: "slow", pathPrefix: "/slow/", priority: 2 };
        cell.config = { ...cell.config, queues: [{ ...QUEUE, priority: 0 }, slowQueue] };
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        const filling = makeSpec({ taskCount: 6, savesCheckpoints: true });
        const path = `/slow/${makeJobId(1)}`;
        await cell.clock.wait(
            leader.leader.serve({ kind: "submit", host: HOST, path, spec: filling }),
            1_000,
        );
        await cell.clock.step(500);
        await cell.submit(leader, 2, makeSpec({ taskCount: 2, isGang: true, demand: whole }));
        await cell.clock.step(2_500);
        assert.deepEqual(await cell.show(leader, 2), { kind: "state", phase: "completed" });
        assert.ok(cell.countStarts(1) > 6, "the stopped tasks have not started again");
        assert.deepEqual(cell.faults, []);
    });

    it("stops a gang whose missing member cannot be placed in time", async () => {
        // No other worker is free. Members that waited forever for the missing one would block their
        // capacity; after some time they are stopped, and the whole gang starts later.
        const cell = new LeaderCell(4);
        const demand = { ...CORE, cpuMillis: 4_000 };
        cell.getBehavior = () => ({ demand, runMs: 8_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        const refused = { kind: "refuseConnection" } as const;
        leader.workers.getPath(FIRST_ADDRESS).plan(...Array.from({ length: 60 }, () => refused));
        await cell.submit(leader, 1, makeSpec({ demand, taskCount: 4, isGang: true }));
        await cell.clock.step(4_000);
        assert.ok(leader.log.lines.some(line => line.event === "gangStopped"));
        await cell.clock.step(20_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    it("restarts the tasks of a worker that is cut off only after its lease has expired", async () => {
        // A worker is cut off and keeps running. Its tasks must end there, by the lease, before they start
        // elsewhere, or a caller's paid run would run twice at the same time.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 20_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 8 }));
        await cell.clock.step(500);
        const before = cell.starts.length;
        leader.workers.getPath(FIRST_ADDRESS).faults.unreachable = true;
        await cell.clock.step(3_500);
        assert.equal(cell.starts.length, before);
        cell.addWorker("w3", "10.0.0.3:80");
        cell.refreshWorkers(leader);
        await cell.clock.step(3_500);
        assert.equal(cell.starts.length, before + 4);
        assert.deepEqual(cell.faults, []);
    });

    for (const secondRunMs of [500, 10_000]) {
        // Guards against an end that is read after its run was declared lost, and dropped as the task was started again.
        it(`takes a task as done by a late report although it was started again: ${secondRunMs} ms`, async () => {
            const cell = new LeaderCell(2);
            cell.getBehavior = (...[, run]) => ({
                demand: CORE,
                runMs: run === 1 ? 1_000 : secondRunMs,
                end: "done",
            });
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            await cell.submit(leader, 1, makeSpec({}));
            await cell.clock.step(200);
            const { faults } = leader.workers.getPath(`10.0.0.${cell.starts[0]?.workerId.slice(1)}:80`);
            faults.unreachable = true;
            for (let at = 0; at < 10_000 && cell.starts.length < 2; at += 50) {
                await cell.clock.step(50);
            }
            faults.unreachable = false;
            await cell.clock.step(1_500);
            assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
            await cell.clock.step(1_000);
            assert.equal(cell.starts.length, 2);
            assert.equal(leader.jobs.countOpen(), 0);
        });
    }

    it("treats a new incarnation at a worker's address as the end of the previous one", async () => {
        // A worker's process crashes and restarts within a second. Its tasks are surely gone, so they start
        // again at once and do not wait for the lease.
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: 20_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 3 }));
        await cell.clock.step(500);
        cell.addWorker("w9", FIRST_ADDRESS);
        cell.removeFromList("w1");
        cell.refreshWorkers(leader);
        await cell.clock.step(2_000);
        assert.equal(cell.starts.length, 6);
        assert.deepEqual(cell.faults, []);
    });

    it("avoids a worker that fails everything", async () => {
        // A worker that fails every run within 20 ms always has free capacity and attracts all work, so that
        // jobs fail that would have succeeded elsewhere.
        const cell = new LeaderCell(3);
        const failing = new Set(["w1"]);
        cell.getBehavior = (task, run) => {
            const worker = cell.starts.find(start => start.task === task && start.run === run)?.workerId;
            return {
                demand: CORE,
                runMs: 300,
                end: worker !== undefined && failing.has(worker) ? "failed" : "done",
            };
        };
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        for (let number = 1; number <= 40; number++) {
            await cell.submit(leader, number, makeSpec({}));
        }
        await cell.clock.step(6_000);
        for (let number = 1; number <= 40; number++) {
            assert.deepEqual(await cell.show(leader, number), { kind: "state", phase: "completed" });
        }
    });
});

describe("a leader whose store is slow", () => {
    it("does not poll a worker in a tight loop while an end becomes durable", async () => {
        // The store takes a second to answer. A worker with an end that is not acknowledged yet answers every
        // report request at once, and the leader spent its processor time on hundreds of them a second, which
        // slowed down everything else.
        const cell = new LeaderCell(1);
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(900);
        leader.storePath.faults.slowMs = 500;
        const before = leader.workers.reports;
        await cell.clock.step(1_500);
        assert.ok(leader.workers.reports - before < 12, `${leader.workers.reports - before} requests`);
        assert.equal(leader.log.lines.filter(line => line.event === "runEnded").length, 1);
    });
});

describe("a leader whose orders do not arrive", () => {
    it("stops the other members of a gang if one could not be started", async () => {
        // The running members wait in vain for the one whose worker is unreachable, and block capacity.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 20_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST_ADDRESS).planNext({ kind: "refuseConnection" });
        await cell.submit(leader, 1, makeSpec({ taskCount: 8, isGang: true }));
        await cell.clock.step(3_000);
        const runs = new Set(cell.starts.slice(-8).map(start => start.run));
        assert.equal(runs.size, 1);
        assert.equal(cell.getModel(FIRST_ADDRESS).listRunning().length, 4);
        assert.deepEqual(cell.faults, []);
    });
});
