/** Tasks assigned to a worker that the leader loses, regains or never reached: each must run to its end. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CORE, LeaderCell, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
const TASKS = 6;
const RUN_MS = 2_000;
/** Longer than a worker is kept without a registration. */
const LONG_AWAY_MS = 9_000;

/** Removes the first worker from the leader's worker list and restores it after `ms`. */
async function removeFor(cell: LeaderCell, leader: TestLeader, ms: number): Promise<TestLeader> {
    cell.removeFromList("w1");
    cell.refreshWorkers(leader);
    await cell.clock.step(ms);
    cell.restoreToList("w1", ADDRESS);
    cell.refreshWorkers(leader);
    return leader;
}

interface Case {
    readonly name: string;
    /** Injects the fault while some of the job's tasks run and others wait; returns the leader afterwards. */
    readonly disturb: (cell: LeaderCell, leader: TestLeader) => Promise<TestLeader>;
}

const CASES: readonly Case[] = [
    {
        name: "its worker is removed from the list and added again at once",
        disturb: (cell, leader) => removeFor(cell, leader, 100),
    },
    {
        name: "its worker is removed from the list and added again after a long time",
        disturb: (cell, leader) => removeFor(cell, leader, LONG_AWAY_MS),
    },
    {
        name: "its worker is removed, cannot be reached and comes back",
        disturb: async (cell, leader) => {
            leader.workers.getPath(ADDRESS).faults.unreachable = true;
            await removeFor(cell, leader, LONG_AWAY_MS);
            leader.workers.getPath(ADDRESS).faults.unreachable = false;
            return leader;
        },
    },
    {
        name: "another worker takes its worker's address",
        disturb: async (cell, leader) => {
            cell.removeFromList("w1");
            cell.addWorker("w9", ADDRESS);
            cell.refreshWorkers(leader);
            await cell.clock.step(100);
            return leader;
        },
    },
    {
        name: "its worker restarts under the same name",
        disturb: async (cell, leader) => {
            cell.addWorker("w1", ADDRESS);
            cell.refreshWorkers(leader);
            await cell.clock.step(100);
            return leader;
        },
    },
    {
        name: "its leader's sessions are fenced by a newer leader",
        disturb: cell => cell.startLeader(),
    },
    {
        name: "its leader is lost while its worker is not in the list",
        disturb: async (cell, leader) => {
            leader.clock.kill();
            cell.removeFromList("w1");
            const next = await cell.startLeader();
            await cell.clock.step(LONG_AWAY_MS);
            cell.restoreToList("w1", ADDRESS);
            cell.refreshWorkers(next);
            return next;
        },
    },
];

function createCell(): LeaderCell {
    const cell = new LeaderCell(2);
    cell.getBehavior = () => ({ demand: { ...CORE, cpuMillis: 2_000 }, runMs: RUN_MS, end: "done" });
    return cell;
}

const SPEC = makeSpec({ taskCount: TASKS, demand: { ...CORE, cpuMillis: 2_000 } });

describe("an assigned task", () => {
    for (const { name, disturb } of CASES) {
        it(`is run to its end where ${name}`, async () => {
            // If a task is recorded as assigned but neither a worker session nor the inherited runs contain
            // it, no report and no expired lease would ever end it, and its job would stall with workers
            // free.
            const cell = createCell();
            const first = await cell.startLeader();
            await cell.clock.step(300);
            await cell.submit(first, 1, SPEC);
            await cell.clock.step(500);
            assert.equal(cell.countStarts(1), 4);
            const leader = await disturb(cell, first);
            await cell.clock.step(30_000);
            assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
            assert.deepEqual(cell.faults, []);
        });
    }

    it("is run to its end after its job's first acceptance was withdrawn", async () => {
        // The store is unreachable, so an acceptance is withdrawn together with its planned runs, and the job
        // is submitted again under the same id. The first reservations must not be taken for its runs,
        // neither now nor when the journal is loaded.
        const cell = createCell();
        const first = await cell.startLeader();
        await cell.clock.step(300);
        first.storePath.faults.unreachable = true;
        assert.equal((await cell.submit(first, 1, SPEC)).kind, "refused");
        first.storePath.faults.unreachable = false;
        await cell.clock.step(1_000);
        assert.deepEqual(await cell.submit(first, 1, SPEC), { kind: "accepted" });
        await cell.clock.step(500);
        assert.equal(cell.countStarts(1), 4);
        first.clock.kill();
        const next = await cell.startLeader();
        await cell.clock.step(30_000);
        assert.deepEqual(await cell.show(next, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(cell.faults, []);
    });
});
