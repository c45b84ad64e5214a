/** Tests for which workers a step renews expired permits. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { makeRunRecord, makeWorkerRecord } from "../leader/leader-cell.js";
import { runPasses } from "./plan-passes.js";

const POLICY = { decideMs: 410, perWorkerMs: 6, validMs: 2_500 };
const OTHERS = 160;
const CAPACITY = { cpuMillis: 8_000, memoryMib: 65_536, accelerators: 0 };
const MOST = { cpuMillis: 7_000, memoryMib: 0, accelerators: 0 };

describe("a renewal", () => {
    const cases = [
        { name: "names the worker near the data that a task was given", step: { dataRack: "near" } },
        {
            name: "names the workers near the data that a gang was given",
            step: { dataRack: "near", isGang: true, taskCount: 2 },
        },
    ];
    for (const { name, step } of cases) {
        it(name, () => {
            // A task's best place is the nearly full worker near its data, where its permit has expired.
            // Renewals named the emptiest workers first, and by the time all others had been named the first
            // of them had expired again, so the task waited forever.
            const near = new WorkerState(makeWorkerRecord("near", { rack: "near", capacity: CAPACITY }));
            near.addRun(makeRunRecord("x", { demand: MOST }));
            const others = Array.from(
                { length: OTHERS },
                (...[, index]) =>
                    new WorkerState(makeWorkerRecord(`far${index}`, { rack: "far", capacity: CAPACITY })),
            );
            const workers = [near, ...others];
            const start = runPasses({
                step,
                policy: POLICY,
                allowedBefore: workers.map(({ id }) => id),
                listWorkers: () => workers,
                answer: workerIds => workerIds,
                forMs: 60_000,
            });
            assert.equal(start?.workerId, "near");
            assert.ok(start.at < 2_000, `started at ${start.at}`);
        });
    }
});
