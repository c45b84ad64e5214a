/** Which safeguard a pass reports for a step that may not use free capacity. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { Headroom } from "../../process/dispatch/headroom.js";
import { planStarts } from "../../process/dispatch/planner.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import { makeJobId, makeRunRecord, makeSpec, makeWorkerRecord, QUEUE } from "../leader/leader-cell.js";
import { makePlanInput } from "./plan-input.js";

const NOW = 100_000;
const READY_MS = 1_000;
const RISK = { starts: 50, crashes: 5, rate: 0.1, recentRate: 0.1, startsPerS: 5, sinceCrashMs: 0 };

/** Runs on a worker: `o` of another queue, `a` exclusive, `u` of a risky queue that has just started. */
type Load = string;

interface JobCase {
    readonly step?: Partial<StepSpec>;
    readonly queue?: string;
    /** Workers lost with its first task just after the start of a run. */
    readonly losses?: number;
    readonly priority?: number;
}

interface Case {
    readonly name: string;
    readonly workers: readonly Load[];
    readonly jobs: readonly JobCase[];
    readonly isPaused?: boolean;
    readonly isRisky?: boolean;
    readonly hasUrgentQueue?: boolean;
    /** How long the steps have been ready; a second by default. */
    readonly readyMs?: Millis;
    /** Safeguard for each job that is withheld, as `job:safeguard`. */
    readonly withheld: readonly string[];
}

const CASES: readonly Case[] = [
    { name: "nothing of a step that starts", workers: ["o"], jobs: [{}], withheld: [] },
    { name: "nothing of a step without capacity", workers: ["oooo"], jobs: [{}], withheld: [] },
    {
        name: "probation of a suspect that finds no idle worker",
        workers: ["o", "o"],
        jobs: [{ queue: "risky", losses: 1 }],
        isRisky: true,
        withheld: ["0:probation"],
    },
    {
        name: "probation of another queue whose dedicated workers alone have capacity",
        workers: ["u", "oooo", "oooo"],
        jobs: [{}],
        isRisky: true,
        withheld: ["0:probation"],
    },
    {
        name: "isolation beside a task that must run exclusively",
        workers: ["a"],
        jobs: [{}],
        withheld: ["0:isolation"],
    },
    {
        name: "isolation of a suspect whose worker is being drained",
        workers: ["o"],
        jobs: [{ losses: 2 }],
        withheld: ["0:isolation"],
    },
    {
        name: "the capacity that a gang keeps",
        workers: ["", "oooo"],
        jobs: [{ step: { taskCount: 8, isGang: true } }, {}],
        withheld: ["1:gangReservation"],
    },
    {
        name: "the gap for an urgent queue",
        workers: ["ooo"],
        jobs: [{ priority: 2 }],
        hasUrgentQueue: true,
        withheld: ["0:urgentGap"],
    },
    {
        name: "no gap for an urgent queue that is kept from an overdue task",
        workers: ["ooo"],
        jobs: [{ priority: 2, step: { isLongRunning: true } }],
        hasUrgentQueue: true,
        readyMs: 2_000,
        withheld: [],
    },
    {
        name: "the backoff of a task that was lost repeatedly",
        workers: [""],
        jobs: [{ losses: 3 }],
        isPaused: true,
        withheld: ["0:lossBackoff"],
    },
    {
        name: "the deferral of a step that has time to spare",
        workers: ["", "oooo"],
        jobs: [{ step: { taskCount: 8, isGang: true, estimateMs: 60_000 } }, {
            step: { estimateMs: 60_000 },
            priority: 2,
        }],
        withheld: ["1:deferral"],
    },
];

function makeWorker(load: Load, index: number): WorkerState {
    // The hash of this name selects it to keep a gap.
    const worker = new WorkerState(makeWorkerRecord(`w${index + 2}`));
    [...load].forEach((kind, number) =>
        worker.addRun(makeRunRecord(`other-${index}-${number}`, {
            queue: kind === "u" ? "risky" : "batch",
            isExclusive: kind === "a",
            orderedAt: kind === "u" ? NOW - 20 : NOW - 2_000,
        }))
    );
    return worker;
}

function listWithheld(
    { workers, jobs, isPaused, isRisky, hasUrgentQueue, readyMs }: Case,
): readonly string[] {
    const registry = new JobRegistry();
    jobs.forEach(({ step, queue = "batch", losses = 0 }, index) => {
        const jobId = makeJobId(index);
        registry.apply({ type: "accepted", jobId, queue, spec: makeSpec(step ?? {}), at: NOW });
        const task = registry.findTask(`${jobId}.0.0.0`)?.task;
        assert(task !== undefined);
        for (let run = 1; run <= losses; run++) {
            task.losses = [...task.losses, { workerId: `lost-${run}`, run, isCrash: true, isEarly: true }];
        }
    });
    const headroom = new Headroom();
    const steps = [...registry.listRunnable()];
    if (hasUrgentQueue === true) {
        steps.slice(0, 1).forEach(step => headroom.observeStart(step, { ...QUEUE, priority: 0 }, NOW));
    }
    const plan = planStarts(makePlanInput({
        waiting: steps.map((step, index) => ({
            ...rankStep(
                step,
                { ...QUEUE, name: step.job.queue, priority: jobs[index]?.priority ?? 1 },
                NOW,
            ),
            readyAt: NOW - (readyMs ?? READY_MS),
        })),
        workersByPool: new Map([["pool", workers.map(makeWorker)]]),
        headroom,
        probation: {
            risky: isRisky === true ? new Map([["risky", RISK]]) : new Map(),
            countCrashed: () => 0,
            countShared: () => ({ unproven: 0, proven: 0 }),
        },
        isPaused: () => isPaused === true,
        now: NOW,
    }));
    return [...plan.withheld].map(([{ job }, safeguard]) => `${Number.parseInt(job.id, 16)}:${safeguard}`);
}

describe("planStarts reports", () => {
    for (const testCase of CASES) {
        it(testCase.name, () => {
            assert.deepEqual(listWithheld(testCase), testCase.withheld);
        });
    }
});
