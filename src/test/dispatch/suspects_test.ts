/** Tests where one pass starts tasks that must run exclusively. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { planStarts } from "../../process/dispatch/planner.js";
import { NO_PROBATION } from "../../process/dispatch/probation.js";
import { MAX_WITHHOLD_MS } from "../../process/dispatch/safeguards.js";
import type { SharedCounts } from "../../process/dispatch/shared-starts.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { makeJobId, makeRunRecord, makeSpec, makeWorkerRecord, QUEUE } from "../leader/leader-cell.js";
import { makePlanInput } from "./plan-input.js";

const NOW = 10_000;

/** Runs on a worker: `a` exclusive, `n` exclusive and just begun, `l` open-ended, `r` any other. */
type Load = string;

interface Case {
    readonly name: string;
    readonly workers: readonly Load[];
    /**
     * Steps of one job each; `losses` counts the workers lost with the first task of the step. An overdue one lasts, and has
     * been ready for as long as free capacity may be kept from it.
     */
    readonly jobs:
        readonly (Partial<StepSpec> & { readonly losses?: number; readonly isOverdue?: boolean; })[];
    /** Workers with recent starts beside other runs; none by default. */
    readonly shared?: SharedCounts;
    /** Tasks that are paused, as `job.index`. */
    readonly paused?: readonly string[];
    /** Starts as `job.index>worker`. */
    readonly starts: readonly string[];
}

const CASES: readonly Case[] = [
    {
        name: "starts a suspect on an idle worker, and nothing beside it",
        workers: ["r", ""],
        jobs: [{ losses: 2 }, { taskCount: 4 }],
        starts: ["0.0>w2", "1.0>w1", "1.1>w1", "1.2>w1"],
    },
    {
        name: "starts nothing beside a suspect that runs",
        workers: ["a", "r"],
        jobs: [{ taskCount: 4 }],
        starts: ["0.0>w2", "0.1>w2", "0.2>w2"],
    },
    {
        name: "drains the worker with the fewest runs for a suspect",
        workers: ["rr", "r", "rrr"],
        jobs: [{ losses: 2 }, { taskCount: 8 }],
        starts: ["1.0>w3", "1.1>w1", "1.2>w1"],
    },
    {
        name:
            "starts a suspect beside the fewest runs if all workers have open-ended runs, and nothing after it",
        workers: ["lrr", "l"],
        jobs: [{ losses: 2 }, { taskCount: 3 }],
        starts: ["0.0>w2", "1.0>w1"],
    },
    {
        name: "reserves the only worker for a suspect's step until nothing else runs there",
        workers: ["r"],
        jobs: [{ taskCount: 2, losses: 2 }, { taskCount: 2 }],
        starts: ["0.1>w1"],
    },
    {
        name: "starts each of two suspects on a worker of its own",
        workers: ["", "", ""],
        jobs: [{ losses: 2 }, { losses: 3 }, {}],
        starts: ["0.0>w1", "1.0>w2", "2.0>w3"],
    },
    {
        name: "starts a gang whose suspect member has no tasks of other steps beside it",
        workers: ["r", ""],
        jobs: [{ taskCount: 5, isGang: true, losses: 2 }, { taskCount: 2 }],
        starts: ["0.0>w2", "0.1>w1", "0.2>w1", "0.3>w1", "0.4>w2"],
    },
    {
        name: "starts a gang that fits only if its suspect member shares a worker with others of it",
        workers: [""],
        jobs: [{ taskCount: 4, isGang: true, losses: 2 }],
        starts: ["0.0>w1", "0.1>w1", "0.2>w1", "0.3>w1"],
    },
    {
        name: "reserves no worker for a gang that can never start",
        workers: [""],
        jobs: [{ taskCount: 5, isGang: true, losses: 2 }, {}],
        starts: ["1.0>w1"],
    },
    {
        name: "reserves no worker for a gang with a suspect behind another gang",
        workers: ["", ""],
        jobs: [{ taskCount: 8, isGang: true }, { taskCount: 4, isGang: true, losses: 2 }],
        starts: ["w1", "w2"].flatMap((worker, half) =>
            [0, 1, 2, 3].map(index => `0.${half * 4 + index}>${worker}`)
        ),
    },
    {
        name: "reserves workers for one gang with a suspect at a time",
        workers: ["", ""],
        jobs: [{ taskCount: 8, isGang: true, losses: 2 }, { taskCount: 8, isGang: true, losses: 2 }],
        starts: ["w1", "w2"].flatMap((worker, half) =>
            [0, 1, 2, 3].map(index => `0.${half * 4 + index}>${worker}`)
        ),
    },
    {
        name: "does not start a paused task, but starts the others",
        workers: [""],
        jobs: [{ taskCount: 2, losses: 3 }],
        paused: ["0.0"],
        starts: ["0.1>w1"],
    },
    {
        name: "starts no member of a gang while one is paused, and reserves nothing for it",
        workers: [""],
        jobs: [{ taskCount: 2, isGang: true, losses: 3 }, {}],
        paused: ["0.0"],
        starts: ["1.0>w1"],
    },
    {
        name: "starts a task that was lost once like any other",
        workers: ["r", ""],
        jobs: [{ losses: 1 }],
        starts: ["0.0>w1"],
    },
    {
        name: "starts an overdue suspect beside the fewest runs, although all runs of a worker end soon",
        workers: ["rr", "l"],
        jobs: [{ losses: 2, isOverdue: true }],
        starts: ["0.0>w2"],
    },
    {
        name: "starts an overdue suspect on an idle worker if there is one",
        workers: ["l", "", "l"],
        jobs: [{ losses: 2, isOverdue: true }],
        starts: ["0.0>w2"],
    },
    {
        name: "starts suspects beside other runs on one worker of a small pool at a time",
        workers: ["l", "l", "l"],
        jobs: [{ losses: 2 }, { losses: 2, isOverdue: true }],
        starts: ["0.0>w1"],
    },
    {
        name: "starts no suspect beside other runs while another one that started so is unproven",
        workers: ["l", "l"],
        jobs: [{ losses: 2, isOverdue: true }],
        shared: { unproven: 1, proven: 0 },
        starts: [],
    },
    {
        name: "starts an overdue task beside a suspect that has run for a while",
        workers: ["a"],
        jobs: [{ isOverdue: true }],
        starts: ["0.0>w1"],
    },
    {
        name: "starts no overdue task beside a suspect that has just begun",
        workers: ["n"],
        jobs: [{ isOverdue: true }],
        starts: [],
    },
    {
        name: "starts an overdue task on a worker that is drained for a suspect",
        workers: ["r"],
        jobs: [{ losses: 2 }, { isOverdue: true }],
        starts: ["1.0>w1"],
    },
];

function makeWorker(load: Load, index: number): WorkerState {
    const worker = new WorkerState(makeWorkerRecord(`w${index + 1}`));
    [...load].forEach((kind, number) =>
        worker.addRun(makeRunRecord(`other-${index}-${number}`, {
            isOpenEnded: kind === "l",
            isExclusive: kind === "a" || kind === "n",
            orderedAt: kind === "n" ? NOW - 20 : 0,
        }))
    );
    return worker;
}

function listStarts(
    { workers, jobs, paused = [], shared = { unproven: 0, proven: 0 } }: Case,
): readonly string[] {
    const registry = new JobRegistry();
    jobs.forEach(({ losses = 0, isOverdue = false, ...change }, index) => {
        const jobId = makeJobId(index);
        const step = { ...change, isLongRunning: isOverdue };
        registry.apply({ type: "accepted", jobId, queue: "batch", spec: makeSpec(step), at: NOW });
        const task = registry.findTask(`${jobId}.0.0.0`)?.task;
        assert(task !== undefined);
        for (let run = 1; run <= losses; run++) {
            task.losses = [...task.losses, { workerId: `lost-${run}`, run, isCrash: true, isEarly: true }];
        }
    });
    const nameTask = (name: string): string => {
        const [jobId = "", , , taskIndex = ""] = name.split(".");
        return `${Number.parseInt(jobId, 16)}.${taskIndex}`;
    };
    const plan = planStarts(makePlanInput({
        waiting: [...registry.listRunnable()].map((step, index) => ({
            ...rankStep(step, QUEUE, NOW),
            readyAt: jobs[index]?.isOverdue === true ? NOW - MAX_WITHHOLD_MS : NOW,
        })),
        probation: { ...NO_PROBATION, countShared: () => shared },
        workersByPool: new Map([["pool", workers.map(makeWorker)]]),
        isPaused: task => paused.includes(nameTask(task.name)),
        now: NOW,
    }));
    return plan.starts.map(({ task, worker }) => `${nameTask(task.name)}>${worker.id}`).sort();
}

describe("planStarts, of tasks that may crash their workers", () => {
    for (const testCase of CASES) {
        it(testCase.name, () => {
            assert.deepEqual(listStarts(testCase), testCase.starts);
        });
    }
});
