/** Tasks that are lost with their workers although they did not crash them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { CrashCell } from "./crash-cell.js";
import { CORE, LeaderCell, makeJobId, makeSpec } from "./leader-cell.js";

const JOB = 1;
const TASK = `${makeJobId(JOB)}.0.0.0`;

interface Case {
    readonly name: string;
    readonly step?: Partial<StepSpec>;
    readonly runMs: Millis;
    readonly downMs: Millis;
    /** Makes the worker of the task's run unavailable. */
    readonly lose: (cell: CrashCell, workerId: string) => void;
    readonly losses: number;
    /** Time from the start of each run to its loss. */
    readonly afterMs: Millis;
    /** Phase that the caller is shown at the end of the test. */
    readonly phase: "completed" | "running";
}

/** Cuts a worker off until its lease has expired and ended its runs. */
function cutOff({ cell, leader }: CrashCell, workerId: string): void {
    const address = cell.records.get(workerId)?.address ?? "";
    const { faults } = leader.workers.getPath(address);
    faults.unreachable = true;
    cell.clock.schedule(6_500, () => faults.unreachable = false);
}

const CASES: readonly Case[] = [
    {
        name: "whose workers are cut off and keep running",
        runMs: 6_000,
        downMs: 0,
        lose: cutOff,
        losses: 5,
        afterMs: 200,
        phase: "completed",
    },
    {
        name: "whose workers crash after it has run for a long time",
        runMs: 20_000,
        downMs: 2_000,
        lose: (cell, workerId) => cell.killWorker(workerId),
        losses: 4,
        afterMs: 14_000,
        phase: "completed",
    },
    {
        name: "that is long-running, on workers that crash occasionally",
        step: { isLongRunning: true },
        runMs: 3_600_000,
        downMs: 2_000,
        lose: (cell, workerId) => cell.killWorker(workerId),
        losses: 6,
        afterMs: 14_000,
        phase: "running",
    },
    {
        name: "that has lost its worker to two crashes",
        runMs: 2_000,
        downMs: 2_000,
        lose: (cell, workerId) => cell.killWorker(workerId),
        losses: 2,
        afterMs: 200,
        phase: "completed",
    },
];

describe("a task that did not crash its workers", () => {
    for (const { name, step = {}, runMs, downMs, lose, losses, afterMs, phase } of CASES) {
        it(`is not given up, where it is one ${name}`, async () => {
            const crashCell = new CrashCell({ workers: 6, downMs, isCrashing: () => false });
            const { cell } = crashCell;
            let left = losses;
            cell.getBehavior = () => ({ demand: CORE, runMs, end: "done" });
            cell.handleStarted = ({ task, workerId }) => {
                if (task === TASK && left > 0) {
                    left -= 1;
                    cell.clock.schedule(afterMs, () => lose(crashCell, workerId));
                }
            };
            await crashCell.startLeader();
            await cell.submit(crashCell.leader, JOB, makeSpec(step));
            await cell.clock.step(150_000);
            assert.equal(left, 0);
            assert.deepEqual(await cell.show(crashCell.leader, JOB), { kind: "state", phase });
            assert.deepEqual(cell.faults, []);
        });
    }

    it("is looked for only once on each worker that is gone, however long the worker stays listed", async () => {
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: 60_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, JOB, makeSpec({}));
        await cell.clock.step(500);
        cell.addWorker("w9", cell.records.get("w1")?.address ?? "");
        for (let list = 0; list < 6; list++) {
            cell.refreshWorkers(leader);
            await cell.clock.step(300);
        }
        const added = leader.log.lines.filter(({ event, fields }) =>
            event === "workerAdded" && fields.workerId === "w1"
        );
        assert.equal(added.length, 1);
    });

    it("runs in isolation after two losses, and shares its worker once it has run for a long time", async () => {
        const crashCell = new CrashCell({ workers: 2, downMs: 500, isCrashing: () => false });
        const { cell } = crashCell;
        cell.getBehavior = task => ({ demand: CORE, runMs: task === TASK ? 25_000 : 1_000, end: "done" });
        let left = 2;
        cell.handleStarted = ({ task, workerId }) => {
            if (task === TASK && left > 0) {
                left -= 1;
                cell.clock.schedule(200, () => crashCell.killWorker(workerId));
            }
        };
        await crashCell.startLeader();
        await cell.submit(crashCell.leader, JOB, makeSpec({}));
        await cell.clock.step(8_000);
        const own = cell.starts.filter(start => start.task === TASK).at(-1)?.workerId;
        const submitOthers = async (from: number): Promise<number> => {
            for (let job = from; job < from + 4; job++) {
                await cell.submit(crashCell.leader, job, makeSpec({ taskCount: 4 }));
            }
            const before = cell.starts.length;
            await cell.clock.step(5_000);
            return cell.starts.slice(before - 16).filter(({ task, workerId }) =>
                task !== TASK && workerId === own
            ).length;
        };
        assert.equal(await submitOthers(10), 0);
        assert.ok(await submitOthers(20) > 0);
        assert.deepEqual(await cell.show(crashCell.leader, JOB), { kind: "state", phase: "running" });
        assert.deepEqual(cell.faults, []);
    });
});
