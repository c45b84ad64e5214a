/** Tests the capacity claimed by steps with requests in flight. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CapacityClaims } from "../../process/dispatch/capacity-claims.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { Step } from "../../process/jobs/job.js";
import { CORE, makeJobId, makeSpec } from "../leader/leader-cell.js";

function makeSteps(count: number): readonly Step[] {
    const registry = new JobRegistry();
    for (let number = 1; number <= count; number++) {
        const spec = makeSpec({ taskCount: 4, demand: { ...CORE, cpuMillis: 3_000 } });
        registry.apply({ type: "accepted", jobId: makeJobId(number), queue: "batch", spec, at: 0 });
    }
    return [...registry.listRunnable()];
}

describe("CapacityClaims", () => {
    it("spreads a step's demand over the workers that its request names", () => {
        const [first, second] = makeSteps(2);
        assert(first !== undefined && second !== undefined);
        const claims = new CapacityClaims();
        claims.add(first, ["w1", "w2"]);
        claims.add(second, ["w2", "w3", "w4"]);
        assert.deepEqual(["w1", "w2", "w3", "w9"].map(id => claims.getCpu(id)), [6_000, 10_000, 4_000, 0]);
    });

    it("removes the claim of a settled request, and that of one that is replaced", () => {
        const [step] = makeSteps(1);
        assert(step !== undefined);
        const claims = new CapacityClaims();
        claims.add(step, ["w1", "w2", "w3"]);
        claims.add(step, ["w4"]);
        assert.deepEqual(["w1", "w4"].map(id => claims.getCpu(id)), [0, 12_000]);
        claims.remove(step);
        claims.remove(step);
        assert.equal(claims.getCpu("w4"), 0);
    });
});
