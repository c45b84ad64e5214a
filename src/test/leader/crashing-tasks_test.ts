/** Tasks that crash every worker that starts them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { CrashCell } from "./crash-cell.js";
import { CORE, makeJobId, makeSpec } from "./leader-cell.js";

/** Two more starts are allowed after the third crash. */
const MAX_STARTS = 5;
const CRASHING_JOB = 1;
const CRASHING_TASK = `${makeJobId(CRASHING_JOB)}.0.0.0`;
const INNOCENT_JOBS = [2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13];

interface Case {
    readonly name: string;
    readonly downMs: Millis;
    readonly step?: Partial<StepSpec>;
    /** Numbers of crashes after each of which the leader is lost. */
    readonly leadersLostAfter?: readonly number[];
    /** Whether other jobs keep all workers busy throughout. */
    readonly isFull?: boolean;
}

const CASES: readonly Case[] = [
    { name: "workers restart at once", downMs: 50 },
    { name: "workers restart after some seconds", downMs: 3_000 },
    { name: "workers restart after their leases have expired", downMs: 9_000 },
    { name: "the leader is lost after each crash", downMs: 3_000, leadersLostAfter: [1, 2, 3, 4] },
    { name: "a member of a gang crashes its worker", downMs: 3_000, step: { taskCount: 3, isGang: true } },
    { name: "the task is long-running", downMs: 3_000, step: { isLongRunning: true } },
    { name: "no worker ever becomes idle", downMs: 3_000, isFull: true },
];

describe("a task that crashes the workers that start it", () => {
    for (const { name, downMs, step = {}, leadersLostAfter = [], isFull = false } of CASES) {
        it(`is given up before it crashes one worker after another, where ${name}`, async () => {
            const crashCell = new CrashCell({
                workers: 6,
                downMs,
                isCrashing: task => task === CRASHING_TASK,
            });
            const { cell, crashes } = crashCell;
            const waitsForGang = (task: string): boolean =>
                step.isGang === true && task.startsWith(makeJobId(CRASHING_JOB));
            cell.getBehavior = task => ({
                demand: CORE,
                runMs: 1_500,
                end: "done",
                waitsForGang: waitsForGang(task),
            });
            await crashCell.startLeader();
            for (const job of INNOCENT_JOBS) {
                await cell.submit(crashCell.leader, job, makeSpec({ taskCount: 2 }));
            }
            await cell.submit(crashCell.leader, CRASHING_JOB, makeSpec(step));
            let filler = 100;
            const losses = [...leadersLostAfter];
            for (let second = 0; second < 60; second++) {
                await cell.clock.step(1_000);
                if (crashes.length === losses[0]) {
                    losses.shift();
                    await crashCell.startLeader();
                }
                if (isFull) {
                    filler += 1;
                    await cell.submit(crashCell.leader, filler, makeSpec({ taskCount: 14 }));
                }
            }
            assert.ok(
                crashes.length <= MAX_STARTS,
                `${crashes.length} starts, each of which crashed its worker`,
            );
            const shown = await cell.show(crashCell.leader, CRASHING_JOB);
            assert.deepEqual(shown, { kind: "state", phase: "failed" });
            for (const job of INNOCENT_JOBS) {
                const innocent = await cell.show(crashCell.leader, job);
                assert.deepEqual(innocent, { kind: "state", phase: "completed" });
            }
            assert.deepEqual(cell.faults, []);
        });
    }
});
