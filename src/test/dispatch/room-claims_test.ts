/** Room that steps with questions under way will probably take. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RoomClaims } from "../../process/dispatch/room-claims.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import type { Step } from "../../process/jobs/job.js";
import { CORE, makeJobId, makeSpec } from "../leader/leader-cell.js";

function makeSteps(count: number): readonly Step[] {
    const book = new JobRegistry();
    for (let number = 1; number <= count; number++) {
        const spec = makeSpec({ taskCount: 4, demand: { ...CORE, cpuMillis: 3_000 } });
        book.apply({ type: "accepted", jobId: makeJobId(number), queue: "batch", spec, at: 0 });
    }
    return [...book.listRunnable()];
}

describe("RoomClaims", () => {
    it("spreads what a step needs over the workers that its question names", () => {
        const [first, second] = makeSteps(2);
        assert(first !== undefined && second !== undefined);
        const claims = new RoomClaims();
        claims.add(first, ["w1", "w2"]);
        claims.add(second, ["w2", "w3", "w4"]);
        assert.deepEqual(["w1", "w2", "w3", "w9"].map(id => claims.getCpu(id)), [6_000, 10_000, 4_000, 0]);
    });

    it("forgets a step whose question is settled, and one that asks anew", () => {
        const [step] = makeSteps(1);
        assert(step !== undefined);
        const claims = new RoomClaims();
        claims.add(step, ["w1", "w2", "w3"]);
        claims.add(step, ["w4"]);
        assert.deepEqual(["w1", "w4"].map(id => claims.getCpu(id)), [0, 12_000]);
        claims.remove(step);
        claims.remove(step);
        assert.equal(claims.getCpu("w4"), 0);
    });
});
