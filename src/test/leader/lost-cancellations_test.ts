/** Cancellations that are not durable when their leader is lost: the job continues as if never cancelled. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CORE, LeaderCell, makeJobId, makeSpec } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
const RUN_MS = 8_000;

function request(number: number): { kind: "cancel"; host: string; path: string; } {
    return { kind: "cancel", host: "jobs.example", path: `/batch/${makeJobId(number)}` };
}

describe("a job whose cancellation is not durable yet", () => {
    it("keeps running and is completed by the next leader", async () => {
        // A job is cancelled while the store does not answer, and the leader is lost before the cancellation
        // is stored. The caller gets an unknown result. The job is not cancelled, but its run had already
        // been stopped: its progress was lost, and the job took twice as long.
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: RUN_MS, end: "done" });
        const first = await cell.startLeader();
        await cell.submit(first, 1, makeSpec({}));
        await cell.clock.step(500);
        assert.equal(cell.getModel(ADDRESS).listRunning().length, 1);
        first.storePath.faults.dropRequestShare = 1;
        const cancelled = first.leader.serve(request(1));
        await cell.clock.step(300);
        first.leader.close();
        first.clock.kill();
        assert.equal((await cancelled).kind, "unknown");
        const second = await cell.startLeader();
        await cell.clock.step(RUN_MS + 1_000);
        assert.deepEqual(await cell.show(second, 1), { kind: "state", phase: "completed" });
        assert.equal(cell.countStarts(1), 1);
    });

    it("starts no further runs, and is stopped once the cancellation is durable", async () => {
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: 1_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.submit(leader, 1, makeSpec({ taskCount: 8 }));
        await cell.clock.step(300);
        assert.equal(cell.countStarts(1), 4);
        leader.storePath.faults.dropRequestShare = 1;
        const cancelled = leader.leader.serve(request(1));
        await cell.clock.step(600);
        leader.storePath.faults.dropRequestShare = 0;
        assert.deepEqual(await cell.clock.wait(cancelled, 4_000), { kind: "cancelled" });
        await cell.clock.step(2_000);
        assert.deepEqual(cell.getModel(ADDRESS).listRunning(), []);
        assert.equal(cell.countStarts(1), 4);
        assert.deepEqual(cell.faults, []);
    });
});
