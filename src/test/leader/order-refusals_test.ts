/** How long a worker that refused an order of a step is sent no further orders of that step. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import { OrderRefusals } from "../../process/leader/order-refusals.js";
import { makeJobId, makeSpec } from "./leader-cell.js";

const APART_MS: Millis = 600_000;
const SOON_MS: Millis = 400;

describe("OrderRefusals", () => {
    it("pauses a worker as after a first refusal if the previous one was long ago", () => {
        // A service's task waited for ten seconds beside the only worker that fits it. That worker had
        // refused single orders over hours and accepted the next one each time; each refusal doubled the
        // pause for as long as the step existed.
        const jobs = new JobRegistry();
        jobs.apply({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec: makeSpec({}), at: 0 });
        const [step] = jobs.listRunnable();
        assert(step !== undefined);
        const refusals = new OrderRefusals();
        let now: Millis = 0;
        for (let refusal = 0; refusal < 8; refusal++) {
            now += APART_MS;
            refusals.observe(step, "w1", now);
        }
        assert.deepEqual([...refusals.listPaused(step, now + SOON_MS)], []);
    });

    it("pauses a worker for longer after each further refusal soon after the last", () => {
        const jobs = new JobRegistry();
        jobs.apply({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec: makeSpec({}), at: 0 });
        const [step] = jobs.listRunnable();
        assert(step !== undefined);
        const refusals = new OrderRefusals();
        refusals.observe(step, "w1", 0);
        refusals.observe(step, "w1", SOON_MS);
        assert.deepEqual([...refusals.listPaused(step, 2 * SOON_MS)], ["w1"]);
    });
});
