/** Jobs through one leader while nothing fails. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { JobSpec } from "../../process/jobs/job-spec.js";
import { LeaderCell, makeSpec, QUEUE } from "./leader-cell.js";

describe("a leader without faults", () => {
    const cases: { name: string; spec: JobSpec; starts: number; withinMs: number; }[] = [
        { name: "runs one task", spec: makeSpec({}), starts: 1, withinMs: 1_300 },
        {
            name: "runs more tasks than fit at once",
            spec: makeSpec({ taskCount: 20 }),
            starts: 20,
            withinMs: 3_500,
        },
        { name: "runs steps in their order", spec: makeSpec({}, { after: [0] }), starts: 2, withinMs: 2_600 },
        { name: "runs a gang", spec: makeSpec({ taskCount: 6, isGang: true }), starts: 6, withinMs: 1_300 },
        {
            name: "respects the limit of tasks for each worker",
            spec: makeSpec({ taskCount: 4, maxPerWorker: 1 }),
            starts: 4,
            withinMs: 2_600,
        },
    ];
    for (const { name, spec, starts, withinMs } of cases) {
        it("logs a closed job with its objective", async () => {
            const cell = new LeaderCell(1);
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            await cell.submit(leader, 1, makeSpec({ estimateMs: 1_000 }, { estimateMs: 1_000, after: [0] }));
            await cell.clock.step(3_000);
            const closed = leader.log.lines.find(line => line.event === "jobClosed");
            assert.equal(closed?.fields.objectiveMs, QUEUE.stretch * 2_000 + QUEUE.targetMs);
        });

        it(name, async () => {
            const cell = new LeaderCell(2);
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            assert.deepEqual(await cell.submit(leader, 1, spec), { kind: "accepted" });
            await cell.clock.step(withinMs);
            assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
            assert.equal(cell.starts.length, starts);
            assert.deepEqual(cell.faults, []);
        });
    }

    it("starts a later step only when all tasks of the earlier one are done", async () => {
        const cell = new LeaderCell(2);
        cell.getBehavior = task => ({
            demand: { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
            runMs: task.endsWith(".0.1") ? 2_000 : 200,
            end: "done",
        });
        const leader = await cell.startLeader();
        await cell.submit(leader, 1, makeSpec({ taskCount: 2 }, { after: [0] }));
        await cell.clock.step(1_900);
        assert.equal(cell.starts.length, 2);
        await cell.clock.step(1_000);
        assert.equal(cell.starts.length, 3);
    });

    it("treats a job that is submitted again as the same job", async () => {
        const cell = new LeaderCell(1);
        const leader = await cell.startLeader();
        assert.deepEqual(await cell.submit(leader, 1, makeSpec({})), { kind: "accepted" });
        assert.deepEqual(await cell.submit(leader, 1, makeSpec({})), { kind: "accepted" });
        await cell.clock.step(3_000);
        assert.deepEqual(await cell.submit(leader, 1, makeSpec({})), { kind: "accepted" });
        await cell.clock.step(3_000);
        assert.equal(cell.starts.length, 1);
    });

    it("runs a failing task as often as its queue allows and then fails the job", async () => {
        const cell = new LeaderCell(2);
        cell.getBehavior = () => ({
            demand: { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
            runMs: 50,
            end: "failed",
        });
        const leader = await cell.startLeader();
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(10_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "failed" });
        assert.equal(cell.starts.length, 3);
    });

    it("stops what a cancelled job runs and starts nothing of it again", async () => {
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({
            demand: { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
            runMs: 60_000,
            end: "done",
        });
        const leader = await cell.startLeader();
        await cell.submit(leader, 1, makeSpec({ taskCount: 8 }));
        await cell.clock.step(500);
        assert.deepEqual(await cell.cancel(leader, 1), { kind: "cancelled" });
        await cell.clock.step(1_000);
        assert.deepEqual(cell.getModel("10.0.0.1:80").listRunning(), []);
        assert.equal(cell.starts.length, 4);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "cancelled" });
    });

    it("reports unknown jobs, unknown queues and malformed paths", async () => {
        const cell = new LeaderCell(1);
        const { leader } = await cell.startLeader();
        const cases = [
            { host: "jobs.example", path: "/batch/00000000000000ff", kind: "noJob" },
            { host: "jobs.example", path: "/other/00000000000000ff", kind: "noQueue" },
            { host: "other.example", path: "/batch/00000000000000ff", kind: "noQueue" },
            { host: "jobs.example", path: "/batch/what", kind: "malformed" },
            { host: "jobs.example", path: "/batch/", kind: "pending" },
        ];
        for (const { host, path, kind } of cases) {
            const reply = await leader.serve({ kind: "show", host, path });
            assert.equal(reply.kind, kind, path);
        }
    });
});
