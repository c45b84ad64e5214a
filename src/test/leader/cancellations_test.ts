/** Runs of cancelled jobs must end, whatever the leader knows of their worker when the job is cancelled. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CORE, LeaderCell, makeJobId, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
/** Longest time from when the worker can be reached until the run must have ended. */
const STOP_LIMIT_MS = 1_500;

interface Moment {
    readonly name: string;
    /** Sets up what the leader knows of the worker when the job is cancelled. */
    readonly prepare: (cell: LeaderCell) => Promise<TestLeader>;
    /** Lets the leader reach the worker again. */
    readonly restore: (cell: LeaderCell, leader: TestLeader) => void;
}

const MOMENTS: readonly Moment[] = [
    {
        name: "the leader has received a report from the worker",
        prepare: async cell => {
            const leader = await cell.startLeader();
            await cell.clock.step(500);
            return leader;
        },
        restore: () => undefined,
    },
    {
        name: "the worker is not in the list yet",
        prepare: cell => {
            cell.removeFromList("w1");
            return cell.startLeader();
        },
        restore: (cell, leader) => {
            cell.restoreToList("w1", ADDRESS);
            cell.refreshWorkers(leader);
        },
    },
    {
        name: "the worker's first report is lost",
        prepare: async cell => {
            const leader = await cell.startLeader();
            leader.workers.getPath(ADDRESS).plan({ kind: "dropRequest" }, { kind: "dropRequest" });
            return leader;
        },
        restore: () => undefined,
    },
    {
        name: "the worker cannot be reached yet",
        prepare: async cell => {
            const leader = await cell.startLeader();
            leader.workers.getPath(ADDRESS).faults.unreachable = true;
            return leader;
        },
        restore: (...[, leader]) => {
            leader.workers.getPath(ADDRESS).faults.unreachable = false;
        },
    },
];

describe("a cancelled job", () => {
    it("keeps its capacity reserved until the last of its tasks has stopped", async () => {
        // A job is cancelled, and the leader is lost before its two tasks are stopped. The next leader finds
        // them running, no longer knows their demand, and stops them. Once the first had ended the worker
        // seemed empty, and new work overloaded it while the second was still stopping.
        const cell = new LeaderCell(1);
        const half = { ...CORE, cpuMillis: 2_000 };
        cell.getBehavior = task => ({
            demand: task.startsWith(makeJobId(1)) ? half : CORE,
            runMs: 60_000,
            end: "done",
        });
        const first = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(first, 1, makeSpec({ taskCount: 2, demand: half }));
        await cell.clock.step(300);
        first.workers.getPath(ADDRESS).faults.unreachable = true;
        assert.deepEqual(await cell.cancel(first, 1), { kind: "cancelled" });
        first.clock.kill();
        const second = await cell.startLeader();
        const none = { kind: "delayAnswer", ms: 0 } as const;
        second.workers.getPath(ADDRESS).plan(none, { kind: "dropRequest" });
        await cell.submit(second, 2, makeSpec({ taskCount: 4 }));
        await cell.clock.step(700);
        assert.equal(
            cell.getModel(ADDRESS).listRunning().filter(task => task.startsWith(makeJobId(1))).length,
            1,
        );
        await cell.clock.step(2_000);
        assert.deepEqual(cell.faults, []);
        assert.equal(cell.countStarts(2), 4);
    });

    for (const { name, prepare, restore } of MOMENTS) {
        it(`stops running when cancelled while ${name}`, async () => {
            // All nodes lose power while a long-running task runs. The next leader acknowledges the job's
            // cancellation before it has received a report from the worker; the task ran on forever, as
            // nothing was left to stop it.
            const cell = new LeaderCell(1);
            cell.getBehavior = () => ({ demand: CORE, runMs: 600_000, end: "done" });
            const first = await cell.startLeader();
            await cell.clock.step(100);
            await cell.submit(first, 1, makeSpec({ isLongRunning: true }));
            await cell.clock.step(300);
            assert.equal(cell.getModel(ADDRESS).listRunning().length, 1);
            first.clock.kill();
            const second = await prepare(cell);
            assert.deepEqual(await cell.cancel(second, 1), { kind: "cancelled" });
            await cell.clock.step(300);
            restore(cell, second);
            await cell.clock.step(STOP_LIMIT_MS);
            assert.deepEqual(cell.getModel(ADDRESS).listRunning(), []);
            assert.equal(cell.countStarts(1), 1);
        });
    }
});
