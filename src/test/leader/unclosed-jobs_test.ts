/** Jobs whose last run has ended and whose closing was lost with the leader that decided it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { JobEvent, RunEnd } from "../../process/jobs/job-events.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { makeRecordKey } from "../../process/journal/keys.js";
import { encodeJournalRecord } from "../../process/journal/records.js";
import { CORE, LeaderCell, makeJobId, makeSpec, QUEUE } from "./leader-cell.js";

const TASK = `${makeJobId(1)}.0.0.0`;

interface Case {
    readonly name: string;
    readonly step: Partial<StepSpec>;
    /** Outcomes of the first task's runs, in order. */
    readonly ends: readonly RunEnd[];
    readonly phase: string;
    /** Number of runs that start under the next leader. */
    readonly starts: number;
}

const CASES: readonly Case[] = [
    { name: "whose only task is done", step: {}, ends: ["done"], phase: "completed", starts: 0 },
    {
        name: "whose gang is done",
        step: { taskCount: 3, isGang: true },
        ends: ["failed", "done"],
        phase: "completed",
        starts: 0,
    },
    {
        name: "whose attempts are used up",
        step: { taskCount: 2 },
        ends: ["failed", "failed", "failed"],
        phase: "failed",
        starts: 0,
    },
    { name: "that has an attempt left", step: {}, ends: ["failed", "failed"], phase: "completed", starts: 1 },
];

describe("a job", () => {
    for (const { name, step, ends, phase, starts } of CASES) {
        it(`${name} ends as ${phase} under the next leader`, async () => {
            // The last end of a job and its closing are decided together, but a record holds a limited number
            // of events: the end is in the last record written, and the leader is lost before the closing. As
            // no further end arrived, the job was shown as running forever, or got one attempt more than its
            // queue allows.
            const events: JobEvent[] = [
                { type: "queueConfigured", version: 1, queue: QUEUE },
                { type: "accepted", jobId: makeJobId(1), queue: QUEUE.name, spec: makeSpec(step), at: 0 },
            ];
            ends.forEach((end, index) => {
                const run = index + 1;
                const members = step.isGang === true ? [0, 1, 2] : [0];
                const names = members.map(member => TASK.replace(/0$/, `${member}`));
                names.forEach(task => events.push({ type: "assigned", task, run, workerId: "w1" }));
                const ending = end === "done" ? names.slice(0, 1) : names;
                ending.forEach(task => events.push({ type: "ended", task, run, end, checkpoint: "" }));
            });
            const cell = new LeaderCell(1);
            const record = encodeJournalRecord({ epoch: 1, sequence: 1, events });
            cell.store.putDirectly(makeRecordKey(1), record);
            const leader = await cell.startLeader();
            await cell.clock.step(10_000);
            assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase });
            assert.equal(cell.countStarts(1), starts);
            const next = await cell.startLeader();
            assert.deepEqual(await cell.show(next, 1), { kind: "state", phase });
        });
    }

    for (
        const { name, step } of [{ name: "a task", step: {} }, {
            name: "a gang",
            step: { taskCount: 2, isGang: true },
        }]
    ) {
        it(`keeps the running attempt of ${name} under a leader that allows fewer attempts`, async () => {
            const cell = new LeaderCell(1);
            cell.config = { ...cell.config, queues: [{ ...QUEUE, maxAttempts: 5 }] };
            cell.getBehavior = (...[, run]) => ({
                demand: CORE,
                runMs: run <= QUEUE.maxAttempts ? 100 : 8_000,
                end: run <= QUEUE.maxAttempts ? "failed" : "done",
            });
            const first = await cell.startLeader();
            await cell.submit(first, 1, makeSpec(step));
            await cell.clock.step(3_000);
            const lastRun = QUEUE.maxAttempts + 1;
            assert.equal(cell.starts.at(-1)?.run, lastRun);
            const starts = cell.countStarts(1);
            first.clock.kill();
            cell.config = { ...cell.config, version: cell.config.version + 1, queues: [QUEUE] };
            const next = await cell.startLeader();
            await cell.clock.step(10_000);
            assert.deepEqual(await cell.show(next, 1), { kind: "state", phase: "completed" });
            assert.equal(cell.countStarts(1), starts);
        });
    }
});
