/** Workers that are silent, cut off, reborn, or carry orders out late. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CORE, HOST, LeaderCell, makeJobId, makeSpec, QUEUE } from "./leader-cell.js";

const FIRST = "10.0.0.1:80";
/** A short job's slack: a lost answer must not use it up. */
const LOSS_LIMIT_MS = 500;

describe("a leader whose workers fail", () => {
    it("waits for an order without an answer before it starts the task elsewhere", async () => {
        // A caller's task seems to hang for a second. The order to start it reaches its worker, the answer is lost,
        // and the worker runs it. Cause of a double run: the task is given to another worker at once.
        const cell = new LeaderCell(2);
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST).planNext({ kind: "dropAnswer" });
        leader.workers.getPath("10.0.0.2:80").planNext({ kind: "dropAnswer" });
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(4_000);
        assert.equal(cell.starts.length, 1);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    for (const lost of [1, 2, 3]) {
        it(`knows of an end soon though ${lost} of its requests in a row are lost`, async () => {
            // Workers leave a few in a hundred calls unanswered. A task ends in time, but the request whose answer would
            // say so is one of these: its caller reads "completed" a second and a half later, after the objective.
            const cell = new LeaderCell(1);
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            const path = leader.workers.getPath(FIRST);
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

    it("is not harmed by an order that is carried out seconds late", async () => {
        // A task runs twice at once. Its order is held up for three seconds, the leader starts it elsewhere, and the
        // first worker then begins it too. The order's own deadline on the worker's clock prevents it.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 6_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST).plan({ kind: "delayRequest", ms: 3_000 }, {
            kind: "delayRequest",
            ms: 3_000,
        });
        leader.workers.getPath("10.0.0.2:80").plan({ kind: "delayRequest", ms: 3_000 });
        await cell.submit(leader, 1, makeSpec({ taskCount: 2 }));
        await cell.clock.step(15_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    it("starts a gang although one worker leaves an order unanswered", async () => {
        // A large job waits although all workers have room. One of them does not answer the order for its member, the
        // other members are stopped again, and by then others have taken the room.
        const cell = new LeaderCell(4);
        cell.getBehavior = () => ({ demand: { ...CORE, cpuMillis: 4_000 }, runMs: 1_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST).planNext({ kind: "dropRequest" });
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

    it("starts a gang's missing member elsewhere, in the run of the others", async () => {
        // A worker cannot be reached any more when its member of a gang is ordered. Another worker has room; stopping
        // the members that have started would throw their room away.
        const cell = new LeaderCell(5);
        cell.getBehavior = () => ({ demand: { ...CORE, cpuMillis: 4_000 }, runMs: 3_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        const refused = { kind: "refuseConnection" } as const;
        leader.workers.getPath(FIRST).plan(refused, refused);
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

    it("makes room for an urgent gang by stopping work that saves its progress", async () => {
        // Both workers are full of long tasks of a queue that goes last. A job of the first queue needs all of a worker
        // twice; it came seconds late because nothing ended in time.
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

    it("stops a gang whose missing member finds no place in time", async () => {
        // The only other worker is taken. Members that wait for the missing one for ever would keep their room from all
        // others; after some time they are stopped, and the gang starts as a whole later.
        const cell = new LeaderCell(4);
        const demand = { ...CORE, cpuMillis: 4_000 };
        cell.getBehavior = () => ({ demand, runMs: 8_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        const refused = { kind: "refuseConnection" } as const;
        leader.workers.getPath(FIRST).plan(...Array.from({ length: 60 }, () => refused));
        await cell.submit(leader, 1, makeSpec({ demand, taskCount: 4, isGang: true }));
        await cell.clock.step(4_000);
        assert.ok(leader.log.lines.some(line => line.event === "gangStopped"));
        await cell.clock.step(20_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });

    it("runs the tasks of a worker that is cut off again only when its lease has run out", async () => {
        // A worker is cut off and runs on. Its tasks must end there, by the lease, before they start elsewhere: a
        // caller's paid run would run twice at the same time.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 20_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 8 }));
        await cell.clock.step(500);
        const before = cell.starts.length;
        leader.workers.getPath(FIRST).faults.unreachable = true;
        await cell.clock.step(3_500);
        assert.equal(cell.starts.length, before);
        cell.addWorker("w3", "10.0.0.3:80");
        cell.refreshWorkers(leader);
        await cell.clock.step(3_500);
        assert.equal(cell.starts.length, before + 4);
        assert.deepEqual(cell.faults, []);
    });

    it("takes a new life at a worker's address as the end of the earlier one", async () => {
        // A worker's process crashes and starts again within a second. Its tasks are gone for sure, so they start
        // again at once and do not wait for the lease.
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: 20_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 3 }));
        await cell.clock.step(500);
        cell.addWorker("w9", FIRST);
        cell.removeFromList("w1");
        cell.refreshWorkers(leader);
        await cell.clock.step(2_000);
        assert.equal(cell.starts.length, 6);
        assert.deepEqual(cell.faults, []);
    });

    it("keeps new work from a worker that fails everything", async () => {
        // A worker fails all that it starts within 20 ms, so it always has room, draws all work in, and jobs fail that
        // could have been done.
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
    it("does not ask a worker again and again while an end becomes durable", async () => {
        // The store takes a second to answer. A worker whose end may not be forgotten yet answers every request at
        // once, and the leader used up its processor time with hundreds of them a second; all else became slow.
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

describe("a leader that gets no orders through", () => {
    it("stops the other members of a gang of which one could not be started", async () => {
        // The members that run wait in vain for the one whose worker cannot be reached, and hold their room meanwhile.
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({ demand: CORE, runMs: 20_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        leader.workers.getPath(FIRST).planNext({ kind: "refuseConnection" });
        await cell.submit(leader, 1, makeSpec({ taskCount: 8, isGang: true }));
        await cell.clock.step(3_000);
        const runs = new Set(cell.starts.slice(-8).map(start => start.run));
        assert.equal(runs.size, 1);
        assert.equal(cell.getModel(FIRST).listRunning().length, 4);
        assert.deepEqual(cell.faults, []);
    });
});
