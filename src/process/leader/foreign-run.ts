/** Records of foreign runs: runs that a worker reports though no task is assigned to them. */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import { buildRunRecord, RunPhase } from "../dispatch/worker-state.js";
import type { RunRecord } from "../dispatch/worker-state.js";
import type { Job, Step } from "../jobs/job.js";
import type { RunningRun } from "../ports/task-worker-port.js";

/** What is known about a foreign run. */
export interface ForeignRun {
    readonly running: RunningRun;
    /** Undefined if its job has ended or was never known. */
    readonly step: Step | undefined;
    /** Undefined if its job was never known, or was forgotten. */
    readonly job: Job | undefined;
    /** Free resources of its worker. */
    readonly free: Resources;
    /** When the run was reported, on the worker's clock. */
    readonly workerNow: Millis;
    readonly now: Millis;
}

/**
 * Builds the record that reserves the run's resources until it has ended. A run of unknown demand
 * is charged with everything that seems free.
 */
export function buildForeignRun({ running, step, job, free, workerNow, now }: ForeignRun): RunRecord {
    const demand = step?.spec.demand ?? job?.leftRuns.find(({ task }) => task === running.task)?.demand;
    return buildRunRecord({
        task: running.task,
        run: running.run,
        step: step?.name ?? "",
        queue: job?.queue ?? "",
        account: job?.account,
        demand: demand ?? computeAvailable(free),
        isDemandKnown: demand !== undefined,
        phase: RunPhase.running,
        settledAfter: workerNow,
        wasReported: true,
        isInherited: true,
        checkpoint: running.checkpoint,
        orderedAt: now,
    });
}

/** Returns all free resources, and 0 in a dimension that is overcommitted. */
function computeAvailable(free: Resources): Resources {
    return {
        cpuMillis: Math.max(0, free.cpuMillis),
        memoryMib: Math.max(0, free.memoryMib),
        accelerators: Math.max(0, free.accelerators),
    };
}
