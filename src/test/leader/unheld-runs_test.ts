/** Tasks that the job registry records as assigned although no worker or leader state contains their run. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { JobEvent } from "../../process/jobs/job-events.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { LeaderContext } from "../../process/leader/context.js";
import { UnheldRuns } from "../../process/leader/unheld-runs.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { makeJobId, makeSpec } from "./leader-cell.js";

const JOB_ID = makeJobId(1);

function makeTaskName(index: number): string {
    return `${JOB_ID}.0.0.${index}`;
}

function makeAssigned(index: number, run = 1): JobEvent {
    return { type: "assigned", task: makeTaskName(index), run, workerId: "w1" };
}

function makeEnded(index: number, run = 1): JobEvent {
    return { type: "ended", task: makeTaskName(index), run, end: "stopped", checkpoint: "" };
}

const CANCELLED: JobEvent = { type: "cancelled", jobId: JOB_ID, at: 0 };

describe("UnheldRuns", () => {
    // A task's run vanishes from its worker's state without a recorded end. The task stays assigned, no pass
    // starts it again, and its job stalls while most workers have free capacity.
    const cases: {
        name: string;
        /** Events applied before each check. */
        rounds: readonly (readonly JobEvent[])[];
        /** Indices of the tasks whose run is accounted for. */
        held: readonly number[];
        /** Reported runs, as `index#run`. */
        named: readonly string[];
        /** Number of steps that wait for such a run after the last check. */
        steps: number;
    }[] = [
        {
            name: "does not report runs that are accounted for",
            rounds: [[makeAssigned(0)]],
            held: [0],
            named: [],
            steps: 0,
        },
        { name: "does not report waiting tasks", rounds: [[]], held: [], named: [], steps: 0 },
        {
            name: "reports a run once",
            rounds: [[makeAssigned(0), makeAssigned(1)], [], []],
            held: [0],
            named: ["1#1"],
            steps: 1,
        },
        {
            name: "reports a later run of the same task",
            rounds: [[makeAssigned(1)], [makeEnded(1), makeAssigned(1, 2)]],
            held: [],
            named: ["1#1", "1#2"],
            steps: 1,
        },
        {
            name: "drops a run that ended after all",
            rounds: [[makeAssigned(1)], [makeEnded(1)]],
            held: [],
            named: ["1#1"],
            steps: 0,
        },
        {
            name: "does not report jobs that have ended",
            rounds: [[makeAssigned(0), CANCELLED]],
            held: [],
            named: [],
            steps: 0,
        },
    ];
    for (const { name, rounds, held, named, steps } of cases) {
        it(name, () => {
            const registry = new JobRegistry();
            const spec = makeSpec({ taskCount: 3 });
            registry.apply({ type: "accepted", jobId: JOB_ID, queue: "batch", spec, at: 0 });
            const log = createFakeLog();
            const context = { jobs: registry, log };
            const runs = new UnheldRuns(context as unknown as LeaderContext, {
                hasRun: task => held.includes(task.index),
            });
            for (const events of rounds) {
                events.forEach(event => registry.apply(event));
                runs.check();
            }
            const lines = log.lines.filter(line => line.code === "CR1617");
            const seen = lines.map(({ fields }) =>
                `${String(fields.task).split(".").at(-1)}#${String(fields.run)}`
            );
            assert.deepEqual(seen, named);
            assert.equal([...runs.listSteps()].length, steps);
        });
    }
});
