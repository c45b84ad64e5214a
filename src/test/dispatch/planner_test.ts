/** Tests which waiting tasks one pass starts on which workers. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Resources } from "../../common/resources.js";
import { StepPermits } from "../../process/dispatch/permits.js";
import type { Plan } from "../../process/dispatch/plan.js";
import { planStarts } from "../../process/dispatch/planner.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { Step } from "../../process/jobs/job.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { makeJobId, makeRunRecord, makeSpec, makeWorkerRecord, QUEUE } from "../leader/leader-cell.js";
import { makePlanInput } from "./plan-input.js";

const ADVICE = { decideMs: 10, perWorkerMs: 1, validMs: 2_000 };
const NOW = 10_000;

interface JobCase {
    readonly step: Partial<StepSpec>;
    readonly queue?: Partial<QueueConfig>;
    /** Wall-clock time of acceptance; now where left out. */
    readonly at?: number;
}

function makeDemand(cores: number): Resources {
    return { cpuMillis: cores * 1_000, memoryMib: 0, accelerators: 0 };
}

function makeWorkers(...cores: readonly number[]): readonly WorkerState[] {
    return cores.map((count, index) =>
        new WorkerState(
            makeWorkerRecord(`w${index + 1}`, {
                capacity: { ...makeDemand(count), memoryMib: 65_536 },
                labels: index % 2 === 0 ? ["even"] : ["odd"],
                rack: `r${index + 1}`,
            }),
        )
    );
}

function planJobs(
    jobs: readonly JobCase[],
    workers: readonly WorkerState[],
    permitsOf: ReadonlyMap<number, StepPermits> = new Map(),
    unreported: readonly WorkerState[] = [],
): Plan {
    const registry = new JobRegistry();
    jobs.forEach(({ step, at }, index) => {
        const spec = makeSpec(step);
        registry.apply({ type: "accepted", jobId: makeJobId(index), queue: "batch", spec, at: at ?? NOW });
    });
    const numbers = new Map<Step, number>();
    const waiting = [...registry.listRunnable()].map((step, index) => {
        numbers.set(step, index);
        return rankStep(step, { ...QUEUE, ...jobs[index]?.queue }, NOW);
    });
    return planStarts(makePlanInput({
        waiting,
        workersByPool: new Map([["pool", workers]]),
        unreportedByPool: new Map([["pool", unreported]]),
        getPermits: step => permitsOf.get(numbers.get(step) ?? -1) ?? new StepPermits(),
        now: NOW,
    }));
}

/** Starts as `job>worker`, jobs by number. */
function listStarts(plan: Plan): readonly string[] {
    return plan.starts.map(({ step, worker }) => `${Number.parseInt(step.job.id, 16)}>${worker.id}`);
}

describe("planStarts", () => {
    const cases: { name: string; jobs: JobCase[]; workers: readonly WorkerState[]; starts: string[]; }[] = [
        {
            name: "uses the fullest worker that fits, so that large gaps remain",
            jobs: [{ step: { demand: makeDemand(2) } }],
            workers: makeWorkers(8, 3),
            starts: ["0>w2"],
        },
        {
            name: "serves the queue that goes first",
            jobs: [
                { step: { demand: makeDemand(4) }, queue: { priority: 2 } },
                { step: { demand: makeDemand(4) }, queue: { priority: 0 } },
            ],
            workers: makeWorkers(4),
            starts: ["1>w1"],
        },
        {
            name: "serves work that can still be in time before work that cannot",
            jobs: [{ step: { demand: makeDemand(4) }, at: NOW - 6_000 }, { step: { demand: makeDemand(4) } }],
            workers: makeWorkers(4),
            starts: ["1>w1"],
        },
        {
            name: "starts all of a gang or none of it",
            jobs: [{ step: { demand: makeDemand(2), taskCount: 3, isGang: true } }],
            workers: makeWorkers(4),
            starts: [],
        },
        {
            name: "reserves what a gang could use",
            jobs: [
                { step: { demand: makeDemand(4), taskCount: 2, isGang: true } },
                { step: { demand: makeDemand(1) }, queue: { priority: 2 } },
            ],
            workers: (() => {
                const workers = makeWorkers(4, 4);
                workers[1]?.addRun(makeRunRecord("x", { demand: makeDemand(4) }));
                return workers;
            })(),
            starts: [],
        },
        {
            name: "reserves nothing for a gang that is larger than all workers",
            jobs: [
                { step: { demand: makeDemand(4), taskCount: 3, isGang: true } },
                { step: { demand: makeDemand(1) }, queue: { priority: 2 } },
            ],
            workers: makeWorkers(4, 4),
            starts: ["1>w1"],
        },
        {
            name: "avoids a worker on which runs take longer",
            jobs: [{ step: { demand: makeDemand(2) } }],
            workers: (() => {
                const workers = makeWorkers(3, 4);
                for (let sample = 0; sample < 10; sample++) {
                    workers[0]?.observeSpeed(Math.log(5), NOW);
                }
                return workers;
            })(),
            starts: ["0>w2"],
        },
        {
            name: "respects the limit of tasks for each worker",
            jobs: [{ step: { demand: makeDemand(1), taskCount: 4, maxPerWorker: 1 } }],
            workers: makeWorkers(4, 4),
            starts: ["0>w1", "0>w2"],
        },
        {
            name: "uses only workers with the label",
            jobs: [{ step: { demand: makeDemand(1), requiredLabel: "odd" } }],
            workers: makeWorkers(1, 4),
            starts: ["0>w2"],
        },
        {
            name: "prefers the rack of the data",
            jobs: [{ step: { demand: makeDemand(1), dataRack: "r2" } }],
            workers: makeWorkers(1, 4),
            starts: ["0>w2"],
        },
    ];
    for (const { name, jobs, workers, starts } of cases) {
        it(name, () => assert.deepEqual(listStarts(planJobs(jobs, workers)), starts));
    }

    it("requests permits before it starts tasks, naming the emptiest workers first", () => {
        const plan = planJobs([{ step: {}, queue: { advice: ADVICE } }], makeWorkers(2, 8, 4));
        assert.deepEqual(plan.starts, []);
        assert.deepEqual(plan.permitRequests.map(request => request.workerIds), [["w2", "w3", "w1"]]);
    });

    it("requests permits for workers that have not reported yet, and starts nothing there", () => {
        // After a loss of all nodes, permits were requested only once the workers had reported and that was
        // durable, so each job waited for both in turn.
        const permits = new StepPermits();
        const jobs = [{ step: { demand: makeDemand(0) }, queue: { advice: ADVICE } }];
        const asked = planJobs(jobs, [], new Map([[0, permits]]), makeWorkers(4, 4));
        assert.deepEqual(asked.permitRequests.map(request => request.workerIds), [["w1", "w2"]]);
        permits.accept(["w1", "w2"], [{ workerId: "w1", token: "t" }], NOW, ADVICE.validMs);
        assert.deepEqual(listStarts(planJobs(jobs, [], new Map([[0, permits]]), makeWorkers(4, 4))), []);
        assert.deepEqual(listStarts(planJobs(jobs, makeWorkers(4, 4), new Map([[0, permits]]))), ["0>w1"]);
    });

    it("starts on allowed workers and renews only expired permits", () => {
        const permits = new StepPermits();
        permits.accept(["w1", "w2"], [{ workerId: "w1", token: "t" }], NOW - 2_000, ADVICE.validMs);
        const jobs = [{ step: {}, queue: { advice: ADVICE } }];
        const late = planJobs(jobs, makeWorkers(4, 4), new Map([[0, permits]]));
        assert.deepEqual(listStarts(late), []);
        assert.deepEqual(late.permitRequests.map(request => request.workerIds), [["w1"]]);
        permits.accept(["w1"], [{ workerId: "w1", token: "t2" }], NOW, ADVICE.validMs);
        const plan = planJobs(jobs, makeWorkers(4, 4), new Map([[0, permits]]));
        assert.deepEqual(listStarts(plan), ["0>w1"]);
        assert.equal(plan.starts[0]?.permit, "t2");
    });

    it("makes no request while one is in flight or has just failed", () => {
        // While the advice service is unavailable every request fails at once. Repeated in each pass,
        // requests took the leader's whole processor time.
        const permits = new StepPermits();
        const jobs = [{ step: {}, queue: { advice: ADVICE } }];
        permits.startRequest(0, 1);
        permits.observeSent("node-1", 0);
        assert.deepEqual(planJobs(jobs, makeWorkers(4), new Map([[0, permits]])).permitRequests, []);
        permits.endRequest();
        permits.observeFailure(NOW - 10);
        assert.deepEqual(planJobs(jobs, makeWorkers(4), new Map([[0, permits]])).permitRequests, []);
        permits.observeFailure(NOW - 1_000);
        assert.equal(planJobs(jobs, makeWorkers(4), new Map([[0, permits]])).permitRequests.length, 1);
    });

    it("never gives a worker more than it has, whatever waits", () => {
        const jobs = Array.from({ length: 60 }, (...[, index]): JobCase => ({
            step: { demand: makeDemand(1 + index % 5), taskCount: 1 + index % 4, isGang: index % 3 === 0 },
        }));
        const workers = makeWorkers(7, 5, 9);
        const used = new Map<string, number>();
        for (const { step, worker } of planJobs(jobs, workers).starts) {
            used.set(worker.id, (used.get(worker.id) ?? 0) + step.spec.demand.cpuMillis);
        }
        for (const worker of workers) {
            assert.ok((used.get(worker.id) ?? 0) <= worker.record.capacity.cpuMillis);
        }
    });
});
