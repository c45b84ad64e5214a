/** From when waiting steps are timed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import { buildJob, buildOccurrence } from "../../process/jobs/build-job.js";
import { makeJobId, makeSpec, QUEUE } from "../leader/leader-cell.js";

const HOUR_MS: Millis = 3_600_000;

describe("rankStep", () => {
    const cases: {
        readonly name: string;
        readonly isLongRunning: boolean;
        readonly waitedMs: Millis;
        readonly lateness: number;
    }[] = [
        {
            // Every restart of a service counted as too late, so that all timely work went before it.
            name: "times a long-running task from when it could start again",
            isLongRunning: true,
            waitedMs: 100,
            lateness: 0,
        },
        {
            name: "ranks a long-running task as late once it has waited for long",
            isLongRunning: true,
            waitedMs: 60_000,
            lateness: 2,
        },
        {
            name: "times a task that ends by itself from its job's acceptance",
            isLongRunning: false,
            waitedMs: 100,
            lateness: 2,
        },
    ];
    for (const { name, isLongRunning, waitedMs, lateness } of cases) {
        it(name, () => {
            const spec = makeSpec({ isLongRunning });
            const job = buildJob({ type: "accepted", jobId: makeJobId(1), queue: QUEUE.name, spec, at: 0 });
            const [step] = buildOccurrence(job, spec, 0).steps;
            assert(step !== undefined);
            assert.equal(rankStep(step, QUEUE, HOUR_MS, undefined, waitedMs).lateness, lateness);
        });
    }
});
