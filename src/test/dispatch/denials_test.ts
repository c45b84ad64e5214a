/** Tests workers that an answer of the advice service left out. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { makeWorkerRecord } from "../leader/leader-cell.js";
import { runPasses } from "./plan-passes.js";

const POLICY = { decideMs: 80, perWorkerMs: 1, validMs: 2_500 };

function makeWorkers(...ids: readonly string[]): readonly WorkerState[] {
    return ids.map(id => new WorkerState(makeWorkerRecord(id)));
}

describe("a worker that an answer left out", () => {
    it("is named again once no other worker is left", () => {
        // The first answer was given before the service knew of w2, so w2 counted as denied. Then the only
        // allowed worker left, and the task waited forever beside empty workers that may run it.
        const both = makeWorkers("w1", "w2");
        const start = runPasses({
            step: {},
            policy: POLICY,
            listWorkers: now => now < 1_000 ? both.map(makeFull) : both.slice(1).map(makeEmpty),
            answer: (workerIds, now) => workerIds.filter(id => id === "w1" || now > 900),
            forMs: 20_000,
        });
        assert.equal(start?.workerId, "w2");
        assert.ok(start.at < 2_000, `started at ${start.at}`);
    });

    it("is named less and less often while it stays denied", () => {
        // Without growing pauses, the requests of a step that no worker may run would take the service's time
        // from all others.
        const asked: number[] = [];
        const workers = makeWorkers("w1", "w2");
        runPasses({
            step: {},
            policy: POLICY,
            listWorkers: () => workers,
            answer: (...[, now]) => {
                asked.push(now);
                return [];
            },
            forMs: 60_000,
        });
        const gaps = asked.slice(1).map((at, index) => at - (asked[index] ?? 0));
        assert.ok(asked.length >= 5, `asked ${asked.length} times`);
        assert.ok(asked.length <= 15, `asked ${asked.length} times`);
        assert.ok(gaps.every((gap, index) => gap >= (gaps[index - 1] ?? 0) * 0.9), `gaps ${gaps.join(" ")}`);
    });
});

function makeFull(worker: WorkerState): WorkerState {
    worker.free = { cpuMillis: 0, memoryMib: 0, accelerators: 0 };
    return worker;
}

function makeEmpty(worker: WorkerState): WorkerState {
    worker.free = worker.record.capacity;
    return worker;
}
