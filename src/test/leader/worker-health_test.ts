/** Which workers are avoided because of the outcomes of runs on them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { buildJob } from "../../process/jobs/build-job.js";
import type { Job } from "../../process/jobs/job.js";
import type { LeaderContext } from "../../process/leader/context.js";
import { WorkerHealth } from "../../process/leader/worker-health.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";
import { makeJobId, makeSpec, makeWorkerRecord } from "./leader-cell.js";

/** The end of a run: `d` for done or `f` for failed, its worker, its job and the time of its order. */
type End = readonly [outcome: "d" | "f", worker: number, job: number, orderedAt: number];

function makeWorker(number: number): WorkerState {
    return new WorkerState(makeWorkerRecord(`w${number}`));
}

function makeJob(number: number): Job {
    return buildJob({
        type: "accepted",
        jobId: makeJobId(number),
        queue: "batch",
        spec: makeSpec({}),
        at: 0,
    });
}

async function listAvoided(ends: readonly End[]): Promise<readonly string[]> {
    const clock = new FakeClock();
    const context = { clock, log: createFakeLog(), metrics: createFakeMetrics() };
    const health = new WorkerHealth(context as unknown as LeaderContext);
    const workers = [0, 1, 2, 3].map(makeWorker);
    const jobs = [0, 1, 2, 3, 4].map(makeJob);
    for (const [outcome, worker, job, orderedAt] of ends) {
        await clock.step(100);
        const state = workers[worker];
        const owner = jobs[job];
        assert(state !== undefined && owner !== undefined);
        health.observeEnd(state, { job: owner, end: outcome === "d" ? "done" : "failed", orderedAt });
    }
    return workers.filter(worker => worker.avoidedUntil > clock.now()).map(worker => worker.id);
}

describe("WorkerHealth", () => {
    const cases: { name: string; ends: readonly End[]; avoided: readonly string[]; }[] = [
        {
            name: "avoids a worker on which two jobs failed",
            ends: [["f", 1, 0, 0], ["f", 1, 1, 0]],
            avoided: ["w1"],
        },
        { name: "tolerates a single failure", ends: [["f", 1, 0, 0]], avoided: [] },
        {
            name: "forgets failures before a run that started later and was done",
            ends: [["f", 1, 0, 0], ["d", 1, 1, 150], ["f", 1, 2, 200]],
            avoided: [],
        },
        {
            name: "ignores successful runs that started before the first failure",
            ends: [["f", 1, 0, 0], ["d", 1, 1, 50], ["f", 1, 2, 100]],
            avoided: ["w1"],
        },
        {
            name: "blames no worker for a job that fails everywhere",
            ends: [["f", 1, 0, 0], ["f", 2, 0, 0], ["f", 3, 0, 0], ["f", 2, 1, 0], ["f", 3, 2, 0]],
            avoided: [],
        },
        {
            name: "counts a job of many tasks once",
            ends: [["f", 1, 0, 0], ["f", 1, 0, 0], ["f", 1, 0, 0]],
            avoided: [],
        },
    ];
    for (const { name, ends, avoided } of cases) {
        it(name, async () => assert.deepEqual(await listAvoided(ends), avoided));
    }
});
