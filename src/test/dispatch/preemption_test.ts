/** Tests which runs are preempted so that a more urgent gang fits. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Slot } from "../../process/dispatch/pool-view.js";
import { choosePreemptions } from "../../process/dispatch/preemption.js";
import { WorkerState } from "../../process/dispatch/worker-state.js";
import type { RunRecord } from "../../process/dispatch/worker-state.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { StepSpec } from "../../process/jobs/job-spec.js";
import type { Step } from "../../process/jobs/job.js";
import { makeJobId, makeRunRecord, makeSpec, makeWorkerRecord } from "../leader/leader-cell.js";

const GANG_PRIORITY = 1;

/** A run on a worker of 64 cores: its cores, and which queues may preempt it. */
interface RunCase {
    readonly cores: number;
    readonly yieldsBelow?: number;
    readonly phase?: RunRecord["phase"];
}

function makeSlot(number: number, runs: readonly RunCase[]): Slot {
    const capacity = { cpuMillis: 64_000, memoryMib: 65_536, accelerators: 0 };
    const worker = new WorkerState(makeWorkerRecord(`w${number}`, { capacity }));
    runs.forEach(({ cores, yieldsBelow, phase = "running" }, index) =>
        worker.addRun(makeRunRecord(`${number}:${cores}:${index}`, {
            demand: { cpuMillis: cores * 1_000, memoryMib: 0, accelerators: 0 },
            phase,
            preemptibleBelow: yieldsBelow,
        }))
    );
    return new Slot(worker, 0);
}

function makeGang(change: Partial<StepSpec>): Step {
    const registry = new JobRegistry();
    const demand = { cpuMillis: 18_000, memoryMib: 0, accelerators: 0 };
    const spec = makeSpec({ isGang: true, demand, ...change });
    registry.apply({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec, at: 0 });
    const [step] = registry.listRunnable();
    assert(step !== undefined);
    return step;
}

describe("choosePreemptions", () => {
    const cases: {
        name: string;
        workers: readonly (readonly RunCase[])[];
        missing: number;
        gang?: Partial<StepSpec>;
        /** Undefined if stopping runs would not be enough. */
        stopped: readonly string[] | undefined;
    }[] = [
        {
            name: "stops the runs that free enough capacity at the least cost",
            workers: [
                [{ cores: 50 }, { cores: 10, yieldsBelow: 2 }],
                [{ cores: 40 }, { cores: 20, yieldsBelow: 2 }],
                [{ cores: 50 }, { cores: 7, yieldsBelow: 2 }, { cores: 7, yieldsBelow: 2 }],
            ],
            missing: 1,
            // Besides what may be stopped 4, 4 and 0 cores are free, so 14, 24 and 14 can be had.
            stopped: ["2:20:1"],
        },
        {
            name: "stops several small runs of one worker where that is enough",
            workers: [[{ cores: 40 }, { cores: 8, yieldsBelow: 2 }, { cores: 8, yieldsBelow: 2 }]],
            missing: 1,
            stopped: ["1:8:1", "1:8:2"],
        },
        {
            name: "frees capacity for several members on one worker",
            workers: [[{ cores: 32, yieldsBelow: 2 }, { cores: 32, yieldsBelow: 2 }]],
            missing: 3,
            stopped: ["1:32:0", "1:32:1"],
        },
        {
            name: "stops nothing if the gang would still not fit",
            workers: [[{ cores: 40 }, { cores: 20, yieldsBelow: 2 }], [{ cores: 64 }]],
            missing: 2,
            stopped: undefined,
        },
        {
            name: "stops nothing that would lose its progress",
            workers: [[{ cores: 64 }]],
            missing: 1,
            stopped: undefined,
        },
        {
            name: "stops nothing of a queue with an equal or higher priority",
            workers: [[{ cores: 30, yieldsBelow: 0 }, { cores: 30, yieldsBelow: GANG_PRIORITY }]],
            missing: 1,
            stopped: undefined,
        },
        {
            name: "counts capacity that is coming free already",
            workers: [[{ cores: 32, phase: "stopping" }, { cores: 32, yieldsBelow: 2 }]],
            missing: 1,
            stopped: [],
        },
        {
            name: "respects the gang's limit for each worker",
            workers: [[{ cores: 60, yieldsBelow: 2 }]],
            missing: 2,
            gang: { maxPerWorker: 1 },
            stopped: undefined,
        },
    ];
    for (const { name, workers, missing, gang = {}, stopped } of cases) {
        it(name, () => {
            const slots = workers.map((runs, index) => makeSlot(index + 1, runs));
            const chosen = choosePreemptions(
                makeGang({ taskCount: 4, ...gang }),
                missing,
                slots,
                GANG_PRIORITY,
            );
            assert.deepEqual(chosen?.preemptions.map(({ run }) => run.task).sort(), stopped);
        });
    }
});
