/** Workers whose capacity shrinks and grows while they run tasks. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Resources } from "../../common/resources.js";
import { CORE, LeaderCell, makeSpec, WORKER_CAPACITY } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
/** Time for a scheduling pass and the starts that it orders. */
const PASS_MS = 300;

function setCores(cell: LeaderCell, leader: TestLeader, cores: number): void {
    const capacity: Resources = { ...WORKER_CAPACITY, cpuMillis: cores * CORE.cpuMillis };
    cell.restoreToList("w1", ADDRESS, { capacity });
    cell.refreshWorkers(leader);
}

async function startCell(): Promise<{ cell: LeaderCell; leader: TestLeader; }> {
    const cell = new LeaderCell(1);
    cell.getBehavior = () => ({ demand: CORE, runMs: 5_000, end: "done" });
    const leader = await cell.startLeader();
    await cell.clock.step(100);
    return { cell, leader };
}

describe("a worker whose capacity shrinks", () => {
    it("is not sent a run that was assigned before its capacity shrank", async () => {
        const { cell, leader } = await startCell();
        leader.storePath.faults.slowMs = 400;
        const accepted = cell.send(leader, 1, makeSpec({ taskCount: 4 }));
        await cell.clock.step(200);
        assert.equal(cell.starts.length, 0);
        setCores(cell, leader, 2);
        assert.deepEqual(await cell.clock.wait(accepted, 3_000), { kind: "accepted" });
        await cell.clock.step(2_000);
        assert.equal(cell.starts.length, 2);
    });

    it("receives no new runs until the running ones fit again, and more when it grows", async () => {
        const { cell, leader } = await startCell();
        await cell.submit(leader, 1, makeSpec({ taskCount: 3 }));
        await cell.clock.step(PASS_MS);
        setCores(cell, leader, 3);
        await cell.submit(leader, 2, makeSpec({ taskCount: 2 }));
        await cell.clock.step(PASS_MS);
        assert.equal(cell.countStarts(2), 0);
        setCores(cell, leader, 2);
        await cell.clock.step(PASS_MS);
        assert.equal(cell.countStarts(2), 0);
        setCores(cell, leader, 4);
        await cell.clock.step(PASS_MS);
        assert.equal(cell.countStarts(2), 1);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "running" });
    });

    it("does not fail a job that fits only once the worker has grown again", async () => {
        const { cell, leader } = await startCell();
        setCores(cell, leader, 1);
        const demand = { ...CORE, cpuMillis: 3 * CORE.cpuMillis };
        await cell.submit(leader, 1, makeSpec({ demand }));
        await cell.clock.step(10_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "queued" });
        setCores(cell, leader, 4);
        await cell.clock.step(PASS_MS);
        assert.equal(cell.countStarts(1), 1);
    });
});
