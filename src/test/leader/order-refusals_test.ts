/** For how long a worker that refused an order of a step gets no other one of it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import { OrderRefusals } from "../../process/leader/order-refusals.js";
import { makeJobId, makeSpec } from "./leader-cell.js";

const APART_MS: Millis = 600_000;
const SOON_MS: Millis = 400;

describe("OrderRefusals", () => {
    it("pauses a worker as after a first refusal if the last one is long past", () => {
        // A service's task stood still for ten seconds beside the only worker that fits it. That worker had refused single
        // orders over hours and had taken the next one each time; each refusal doubled the pause for the rest of the step's life.
        const book = new JobRegistry();
        book.apply({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec: makeSpec({}), at: 0 });
        const [step] = book.listRunnable();
        assert(step !== undefined);
        const refusals = new OrderRefusals();
        let now: Millis = 0;
        for (let refusal = 0; refusal < 8; refusal++) {
            now += APART_MS;
            refusals.observe(step, "w1", now);
        }
        assert.deepEqual([...refusals.listPaused(step, now + SOON_MS)], []);
    });

    it("pauses it for longer with each refusal that follows soon", () => {
        const book = new JobRegistry();
        book.apply({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec: makeSpec({}), at: 0 });
        const [step] = book.listRunnable();
        assert(step !== undefined);
        const refusals = new OrderRefusals();
        refusals.observe(step, "w1", 0);
        refusals.observe(step, "w1", SOON_MS);
        assert.deepEqual([...refusals.listPaused(step, 2 * SOON_MS)], ["w1"]);
    });
});
