/** Tests that a step whose expired permit is not renewed starts on another worker. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { makeWorkerRecord } from "../leader/leader-cell.js";
import { runPasses } from "./plan-passes.js";

const POLICY = { decideMs: 80, perWorkerMs: 1, validMs: 2_500 };
const SPACE = { cpuMillis: 4_000, memoryMib: 8_192, accelerators: 0 };
const NO_SPACE = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };

describe("a renewal that leaves a worker out", () => {
    const cases = [
        { name: "lets the step request workers that were not named yet", rack: undefined, others: ["w2"] },
        { name: "lets the step use a worker farther from its data", rack: "r1", others: ["w2"] },
    ];
    for (const { name, rack, others } of cases) {
        it(name, () => {
            // A task was allowed on w1, which stayed full until that permit had expired, and the renewal left
            // w1 out. The planner still counted w1 as the best place and waited forever for a permit there
            // beside empty workers.
            const first = new WorkerState(makeWorkerRecord("w1", { rack: "r1" }));
            const later = others.map(id => new WorkerState(makeWorkerRecord(id, { rack: "r2" })));
            const start = runPasses({
                step: { dataRack: rack },
                policy: POLICY,
                listWorkers: now => {
                    first.free = now < 3_000 ? NO_SPACE : SPACE;
                    return now < 3_000 ? [first] : [first, ...later];
                },
                answer: (workerIds, now) => workerIds.filter(id => id !== "w1" || now < 2_000),
                forMs: 20_000,
            });
            assert.equal(start?.workerId, "w2");
            assert.ok(start.at < 5_000, `started at ${start.at}`);
        });
    }
});
