/** Tests that a worker on which most runs are long overdue counts as stalled. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { makeRunRecord, makeWorkerRecord } from "../leader/leader-cell.js";

const NOW = 10_000;

describe("a worker on which tasks stand still", () => {
    const cases: {
        name: string;
        /** How long each run has run, and its expected run time. */
        runs: readonly (readonly [number, number])[];
        /** Whether all runs are of one step. */
        isOneStep?: boolean;
        isStalled: boolean;
    }[] = [
        {
            name: "is stalled when most runs take far longer than expected",
            runs: [[3_000, 640], [2_900, 700]],
            isStalled: true,
        },
        { name: "is not stalled by a single run", runs: [[9_000, 640]], isStalled: false },
        {
            name: "is not stalled by several runs of one step",
            runs: [[9_000, 640], [9_000, 640], [9_000, 640]],
            isOneStep: true,
            isStalled: false,
        },
        {
            name: "is not stalled while most runs are in time",
            runs: [[9_000, 640], [400, 640], [300, 640]],
            isStalled: false,
        },
        {
            name: "is not stalled by runs without an expected time",
            runs: [[9_000, Infinity], [9_000, Infinity]],
            isStalled: false,
        },
        {
            name: "is not stalled before a report can have come",
            runs: [[700, 320], [700, 320]],
            isStalled: false,
        },
    ];
    for (const { name, runs, isOneStep = false, isStalled } of cases) {
        it(name, () => {
            const worker = new WorkerState(makeWorkerRecord("w1"));
            worker.isReachable = true;
            worker.isAdopted = true;
            runs.forEach(([ranMs, expectedMs], index) =>
                worker.addRun(makeRunRecord(`task-${index}`, {
                    step: isOneStep ? "step" : `step-${index}`,
                    expectedMs,
                    orderedAt: NOW - ranMs,
                }))
            );
            assert.equal(worker.isUsable(NOW), !isStalled);
        });
    }
});
