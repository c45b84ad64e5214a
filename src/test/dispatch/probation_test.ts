/** Tests where one pass starts the tasks of queues whose tasks crash workers. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { QueueRisk } from "../../process/dispatch/crash-risk.js";
import { planStarts } from "../../process/dispatch/planner.js";
import { MAX_WITHHOLD_MS } from "../../process/dispatch/safeguards.js";
import type { SharedCounts } from "../../process/dispatch/shared-starts.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { makeJobId, makeRunRecord, makeSpec, makeWorkerRecord, QUEUE } from "../leader/leader-cell.js";
import { makePlanInput } from "./plan-input.js";

const NOW = 100_000;
const NONE_SHARED: SharedCounts = { unproven: 0, proven: 0 };
const RISK: QueueRisk = {
    starts: 50,
    crashes: 5,
    rate: 0.1,
    recentRate: 0.1,
    startsPerS: 5,
    sinceCrashMs: 0,
};

/**
 * Runs on a worker: `o` of another queue, `p` of a risky queue that has proven harmless, `s` the same after an
 * early loss, and `u` of a risky queue that has just started.
 */
type Load = string;

interface Case {
    readonly name: string;
    readonly workers: readonly Load[];
    /** Steps of one job each, of a risky queue unless `isHarmless`. */
    readonly jobs: readonly (Partial<StepSpec> & {
        readonly isHarmless?: boolean;
        readonly isLate?: boolean;
        readonly wasLost?: boolean;
        /** Whether it has been ready for as long as free capacity may be kept from it. */
        readonly isOverdue?: boolean;
    })[];
    /** Number of workers that are down after a crash. */
    readonly crashed?: number;
    /** Workers with recent starts beside other runs; none by default. */
    readonly shared?: SharedCounts;
    /** Whether no job has arrived for a while. */
    readonly isQuiet?: boolean;
    /** Starts as `job>worker`, one for each task. */
    readonly starts: readonly string[];
}

const OVERDUE_SUSPECT = { wasLost: true, isLongRunning: true, isOverdue: true };

const CASES: readonly Case[] = [
    {
        name: "starts a risky step on a worker of its own, and others elsewhere",
        workers: ["", "", "oo"],
        jobs: [{}, { isHarmless: true, taskCount: 2 }],
        starts: ["0>w1", "1>w3", "1>w3"],
    },
    {
        name: "starts one risky step at a time on each worker",
        workers: ["", "o", "o", "o"],
        jobs: [{ taskCount: 2 }, {}, {}],
        starts: ["0>w1", "0>w1"],
    },
    {
        name: "starts a risky step beside one that has proven harmless, not beside one that has just begun",
        workers: ["u", "o", "p", "o", "o", "o"],
        jobs: [{}],
        starts: ["0>w3"],
    },
    {
        name: "starts no risky step while a third of the pool is down after crashes",
        workers: ["", "", ""],
        jobs: [{}, { isHarmless: true }],
        crashed: 2,
        starts: ["1>w1"],
    },
    {
        name: "starts a step that has probably crashed a worker after all others of its queue",
        workers: ["", "o", "o"],
        jobs: [{ wasLost: true }, {}],
        starts: ["1>w1"],
    },
    {
        name: "starts late work on the workers that timely work of the queue leaves",
        workers: ["", "", "", "", "o", "o", "o", "o", "o", "o", "o", "o"],
        jobs: [{ isLate: true }, { isLate: true }, { isLate: true }, { isLate: true }, {}, {}],
        starts: ["0>w3", "1>w4", "4>w1", "5>w2"],
    },
    {
        name: "starts late work on all dedicated workers if nothing timely waits",
        workers: ["", "", "", "", "o", "o", "o", "o", "o", "o", "o", "o"],
        jobs: [{ isLate: true }, { isLate: true }, { isLate: true }],
        starts: ["0>w1", "1>w2", "2>w3"],
    },
    {
        name: "starts late work beside risky work that has proven harmless, not beside any other",
        workers: ["u", "s", "p", "po", "u", "p", "p", "o", "o", "o", "o", "o"],
        jobs: [{ isLate: true }, { isLate: true }, { isLate: true }],
        starts: ["0>w2", "1>w3"],
    },
    {
        name: "starts what has probably crashed a worker only where nothing else runs",
        workers: ["p", "", "", "o", "o", "o", "o", "o"],
        jobs: [{ wasLost: true }],
        starts: ["0>w2"],
    },
    {
        name: "starts a gang that the dedicated workers cannot hold on others too",
        workers: ["", "", ""],
        jobs: [{ taskCount: 12, isGang: true }],
        starts: ["w1", "w2", "w3"].flatMap(worker => [0, 1, 2, 3].map(() => `0>${worker}`)),
    },
    {
        name:
            "keeps a dedicated worker for what has probably crashed a worker, however much timely work waits",
        workers: ["p", "p", "p", "", "o", "o", "o", "o", "o", "o", "o", "o"],
        jobs: [{ wasLost: true }, {}, {}, {}, {}, {}],
        starts: ["0>w4", "1>w1", "2>w2", "3>w3"],
    },
    {
        name: "uses all workers if no other queue has work",
        workers: ["p", "p", "p", "p", "p", "p"],
        jobs: [{}, {}, {}, {}, {}, {}],
        starts: ["0>w1", "1>w2", "2>w3", "3>w4", "4>w5", "5>w6"],
    },
    {
        name: "uses idle workers beyond those that others need",
        workers: ["", "", "", "", "", ""],
        jobs: [{}, {}, {}, {}],
        starts: ["0>w1", "1>w2", "2>w3", "3>w4"],
    },
    {
        name: "starts an overdue suspect beside the fewest runs",
        workers: ["oo", "o", "oo"],
        jobs: [OVERDUE_SUSPECT],
        starts: ["0>w2"],
    },
    {
        name: "starts overdue suspects beside other runs on one worker of a small pool at a time",
        workers: ["o", "o", "oo"],
        jobs: [OVERDUE_SUSPECT, OVERDUE_SUSPECT],
        starts: ["0>w1"],
    },
    {
        name: "starts no overdue suspect beside other runs while one that started so is unproven",
        workers: ["o", "o", "oo"],
        jobs: [OVERDUE_SUSPECT],
        shared: { unproven: 1, proven: 0 },
        starts: [],
    },
    {
        name: "starts no overdue suspect beside other runs while a worker is down after a crash",
        workers: ["o", "o", "oo"],
        jobs: [OVERDUE_SUSPECT],
        crashed: 1,
        starts: [],
    },
    {
        name: "starts more overdue suspects the more of them have proven harmless lately",
        workers: ["o", "o", "o", "o"],
        jobs: [OVERDUE_SUSPECT, OVERDUE_SUSPECT, OVERDUE_SUSPECT, OVERDUE_SUSPECT],
        shared: { unproven: 0, proven: 2 },
        starts: ["0>w1", "1>w2", "2>w3"],
    },
    {
        name: "starts no overdue suspect beside what has just begun and may crash its worker",
        workers: ["u", "ou"],
        jobs: [OVERDUE_SUSPECT],
        starts: [],
    },
    {
        name: "starts an overdue gang that has probably crashed a worker beside other runs",
        workers: ["o", "o", "oo"],
        jobs: [{ ...OVERDUE_SUSPECT, isLongRunning: false, taskCount: 6, isGang: true }],
        isQuiet: true,
        starts: ["0>w1", "0>w1", "0>w1", "0>w2", "0>w3", "0>w3"],
    },
    {
        name: "starts a suspect that ends by itself beside other runs only when no more jobs arrive",
        workers: ["o", "o", "oo"],
        jobs: [{ ...OVERDUE_SUSPECT, isLongRunning: false }],
        starts: [],
    },
    {
        name: "starts a suspect that ends by itself beside other runs when no more jobs arrive",
        workers: ["o", "o", "o"],
        jobs: [{ ...OVERDUE_SUSPECT, isLongRunning: false }],
        isQuiet: true,
        starts: ["0>w1"],
    },
    {
        name: "starts an overdue task of another queue on a dedicated worker",
        workers: ["p", "oooo", "oooo"],
        jobs: [{ isHarmless: true, isLongRunning: true, isOverdue: true }],
        starts: ["0>w1"],
    },
    {
        name: "starts no overdue task of another queue beside what may crash its worker",
        workers: ["u", "oooo", "oooo"],
        jobs: [{ isHarmless: true, isLongRunning: true, isOverdue: true }],
        starts: [],
    },
    {
        name: "starts an overdue task of a risky queue that fits on none of the dedicated workers",
        workers: ["pppp", "o", "oo"],
        jobs: [{ isLongRunning: true, isOverdue: true }],
        starts: ["0>w2"],
    },
];

function makeWorker(load: Load, index: number): WorkerState {
    const worker = new WorkerState(makeWorkerRecord(`w${index + 1}`));
    [...load].forEach((kind, number) =>
        worker.addRun(makeRunRecord(`${kind === "s" ? "lost" : "other"}-${index}-${number}`, {
            queue: kind === "o" ? "well" : "risky",
            hasEarlyLoss: kind === "s",
            orderedAt: kind === "u" ? NOW - 20 : NOW - 2_000,
        }))
    );
    return worker;
}

function listStarts({ workers, jobs, crashed = 0, shared = NONE_SHARED, isQuiet }: Case): readonly string[] {
    const registry = new JobRegistry();
    const names = jobs.map(({ isHarmless = false }) => isHarmless ? "well" : "risky");
    jobs.forEach(({ isHarmless = false, isLate = false, wasLost = false, ...step }, index) => {
        const jobId = makeJobId(index);
        const at = isLate ? NOW - 60_000 : NOW;
        registry.apply({
            type: "accepted",
            jobId,
            queue: isHarmless ? "well" : "risky",
            spec: makeSpec(step),
            at,
        });
        if (wasLost) {
            const task = registry.findTask(`${jobId}.0.0.0`)?.task;
            assert(task !== undefined);
            task.losses = [{ workerId: "lost", run: 1, isCrash: true, isEarly: true }];
        }
    });
    const nameJob = (task: string): number => Number.parseInt(task.split(".")[0] ?? "", 16);
    const plan = planStarts(makePlanInput({
        waiting: [...registry.listRunnable()].map(step => ({
            ...rankStep(step, { ...QUEUE, name: names[nameJob(step.name)] ?? "" }, NOW),
            readyAt: jobs[nameJob(step.name)]?.isOverdue === true ? NOW - MAX_WITHHOLD_MS : NOW,
        })),
        workersByPool: new Map([["pool", workers.map(makeWorker)]]),
        probation: {
            risky: new Map([["risky", RISK]]),
            countCrashed: (_, isExplained) => isExplained ? 0 : crashed,
            countShared: () => shared,
        },
        sinceSubmitMs: isQuiet === true ? Infinity : 0,
        now: NOW,
    }));
    return plan.starts.map(({ task, worker }) => `${nameJob(task.name)}>${worker.id}`).sort();
}

describe("planStarts, of queues whose tasks crash workers", () => {
    for (const testCase of CASES) {
        it(testCase.name, () => {
            assert.deepEqual(listStarts(testCase), testCase.starts);
        });
    }
});
