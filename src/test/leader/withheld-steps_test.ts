/** Log lines about steps from which safeguards keep free capacity. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Safeguard } from "../../process/dispatch/safeguards.js";
import { buildJob, buildOccurrence } from "../../process/jobs/build-job.js";
import type { Step } from "../../process/jobs/job.js";
import { WithheldSteps } from "../../process/leader/withheld-steps.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";
import { makeJobId, makeSpec } from "./leader-cell.js";

function makeStep(number: number): Step {
    const spec = makeSpec({});
    const job = buildJob({ type: "accepted", jobId: makeJobId(number), queue: "batch", spec, at: 0 });
    const [step] = buildOccurrence(job, spec, 0).steps;
    assert(step !== undefined);
    return step;
}

describe("WithheldSteps", () => {
    const { probation, isolation } = Safeguard;
    const step = makeStep(1);
    const cases: {
        readonly name: string;
        /** Safeguard that each pass reports for the step, by the time of the pass. */
        readonly passes: readonly (readonly [number, Safeguard | undefined])[];
        /** Lines as `event safeguard withheldMs`. */
        readonly lines: readonly string[];
    }[] = [
        {
            name: "a step that is withheld for less than a second",
            passes: [[0, probation], [900, probation]],
            lines: [],
        },
        {
            name: "a step that is withheld for a second, once, and its release",
            passes: [[0, probation], [1_000, probation], [2_000, probation], [2_500, undefined]],
            lines: ["stepWithheld probation 1000", "stepReleased probation 2500"],
        },
        {
            name: "a change of the safeguard as the end of the first",
            passes: [[0, probation], [1_000, probation], [1_500, isolation], [2_000, isolation]],
            lines: ["stepWithheld probation 1000", "stepReleased probation 1500"],
        },
    ];
    for (const { name, passes, lines } of cases) {
        it(`logs ${name}`, () => {
            const log = createFakeLog(true);
            const steps = new WithheldSteps(log, createFakeMetrics());
            passes.forEach(([now, safeguard]) =>
                steps.observe(new Map(safeguard === undefined ? [] : [[step, safeguard]]), now)
            );
            assert.deepEqual(
                log.lines.map(({ event, fields }) =>
                    `${event} ${String(fields.safeguard)} ${String(fields.withheldMs)}`
                ),
                lines,
            );
        });
    }

    it("logs a bounded number of steps at a time", () => {
        const log = createFakeLog(true);
        const steps = new WithheldSteps(log, createFakeMetrics());
        const withheld = new Map(Array.from({ length: 50 }, (_, number) => [makeStep(number), probation]));
        [0, 1_000, 2_000].forEach(now => steps.observe(withheld, now));
        assert.equal(log.lines.length, 20);
    });
});
