/** Since when the tasks of a step could have started. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ReadyTimes } from "../../process/dispatch/ready-times.js";
import { buildJob, buildOccurrence } from "../../process/jobs/build-job.js";
import type { Step, Task } from "../../process/jobs/job.js";
import { makeJobId, makeSpec } from "../leader/leader-cell.js";

type TaskChange = Partial<Pick<Task, "state" | "run">>;

interface Case {
    readonly name: string;
    /** State of the tasks, by the time of an observation, and the time that it returns. */
    readonly observations: readonly {
        readonly at: number;
        readonly tasks: readonly TaskChange[];
        readonly since: number;
    }[];
}

const CASES: readonly Case[] = [
    {
        name: "from the first observation of tasks that have not run",
        observations: [{ at: 100, tasks: [{}, {}], since: 100 }, { at: 900, tasks: [{}, {}], since: 100 }],
    },
    {
        name: "from the end of its run for a task that has run",
        observations: [
            { at: 100, tasks: [{}], since: 100 },
            { at: 5_000, tasks: [{ run: 1 }], since: 5_000 },
            { at: 6_000, tasks: [{ run: 1 }], since: 5_000 },
        ],
    },
    {
        name: "anew after each run of a task that fails again and again",
        observations: [
            { at: 0, tasks: [{ run: 1 }], since: 0 },
            { at: 1_000, tasks: [{ run: 2 }], since: 1_000 },
            { at: 2_000, tasks: [{ run: 3 }], since: 2_000 },
        ],
    },
    {
        name: "for the task that has waited longest",
        observations: [
            { at: 0, tasks: [{ run: 1 }, { run: 1, state: "assigned" }], since: 0 },
            { at: 800, tasks: [{ run: 1 }, { run: 1 }], since: 0 },
            { at: 900, tasks: [{ run: 2, state: "assigned" }, { run: 1 }], since: 800 },
        ],
    },
];

function makeStep(taskCount: number): Step {
    const spec = makeSpec({ taskCount });
    const job = buildJob({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec, at: 0 });
    const [step] = buildOccurrence(job, spec, 0).steps;
    assert(step !== undefined);
    return step;
}

describe("ReadyTimes counts", () => {
    for (const { name, observations } of CASES) {
        it(name, () => {
            const step = makeStep(observations[0]?.tasks.length ?? 0);
            const times = new ReadyTimes();
            for (const { at, tasks, since } of observations) {
                tasks.forEach((change, index) =>
                    Object.assign(step.tasks.get(index) ?? {}, { state: "waiting", run: 0, ...change })
                );
                assert.equal(times.observe(step, at), since);
            }
        });
    }
});
