/** Tasks that are assigned to a worker which the leader loses, gets back or never had: each is run to its end. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CORE, LeaderCell, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
const TASKS = 6;
const RUN_MS = 2_000;
/** Longer than a worker without a registration is kept. */
const LONG_AWAY_MS = 9_000;

/** Shows the leader a list without the first worker, and later one with it. */
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
    /** Happens while some of the job's tasks run and others wait; tells who leads afterwards. */
    readonly disturb: (cell: LeaderCell, leader: TestLeader) => Promise<TestLeader>;
}

const CASES: readonly Case[] = [
    {
        name: "its worker is removed from the list and added again at once",
        disturb: (cell, leader) => removeFor(cell, leader, 100),
    },
    {
        name: "its worker is removed from the list and added again after long",
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
        name: "its worker begins another life under the same name",
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
            // The state holds a task as assigned, and neither a session nor the runs of earlier leaders have it: no report
            // and no lease that runs out would ever end it, and its job would stand still with workers free.
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

    it("is run to its end where its job's first acceptance was withdrawn", async () => {
        // The store is away, so an acceptance is withdrawn together with what was planned for it, and the job is handed in
        // again under the same name. What was reserved the first time must not be taken for its runs, now or read back.
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
