/** Consequences for a task of the workers that it was lost with. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { buildJob, buildOccurrence } from "../../process/jobs/build-job.js";
import type { Task } from "../../process/jobs/job.js";
import { computeLossBackoff, isCrasher, isSuspect } from "../../process/jobs/worker-losses.js";
import { makeJobId, makeSpec } from "./leader-cell.js";

/**
 * Makes a task with losses: `c` for each worker that surely crashed, `s` for each that was only silent; upper
 * case if the loss was not early.
 */
function makeTask(losses: string): Task {
    const spec = makeSpec({});
    const job = buildJob({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec, at: 0 });
    const task = buildOccurrence(job, spec, 0).steps[0]?.tasks.get(0);
    assert(task !== undefined);
    task.losses = [...losses].map((kind, index) => ({
        workerId: `w${index}`,
        run: index + 1,
        isCrash: kind.toLowerCase() === "c",
        isEarly: kind === kind.toLowerCase(),
    }));
    return task;
}

describe("losses of workers", () => {
    const cases: {
        readonly losses: string;
        readonly runsAlone: boolean;
        readonly isGivenUp: boolean;
        readonly pauseMs: Millis;
    }[] = [
        { losses: "", runsAlone: false, isGivenUp: false, pauseMs: 0 },
        { losses: "c", runsAlone: false, isGivenUp: false, pauseMs: 0 },
        { losses: "ss", runsAlone: true, isGivenUp: false, pauseMs: 0 },
        { losses: "cc", runsAlone: true, isGivenUp: false, pauseMs: 0 },
        { losses: "sss", runsAlone: true, isGivenUp: false, pauseMs: 5_000 },
        { losses: "ssc", runsAlone: true, isGivenUp: false, pauseMs: 5_000 },
        { losses: "csc", runsAlone: true, isGivenUp: true, pauseMs: 5_000 },
        { losses: "CCC", runsAlone: true, isGivenUp: false, pauseMs: 5_000 },
        { losses: "ccCC", runsAlone: true, isGivenUp: false, pauseMs: 10_000 },
        { losses: "cCCc", runsAlone: true, isGivenUp: false, pauseMs: 10_000 },
        { losses: "cCCcc", runsAlone: true, isGivenUp: true, pauseMs: 20_000 },
        { losses: "SSSCC", runsAlone: true, isGivenUp: true, pauseMs: 20_000 },
        { losses: "sssss", runsAlone: true, isGivenUp: false, pauseMs: 20_000 },
        { losses: "sssssssss", runsAlone: true, isGivenUp: false, pauseMs: 60_000 },
    ];
    for (const { losses, runsAlone, isGivenUp, pauseMs } of cases) {
        it(`of kinds "${losses}" ${isGivenUp ? "make" : "do not make"} the leader give up the task`, () => {
            const task = makeTask(losses);
            assert.equal(isSuspect(task), runsAlone);
            assert.equal(isCrasher(task), isGivenUp);
            assert.equal(computeLossBackoff(task), pauseMs);
        });
    }
});
