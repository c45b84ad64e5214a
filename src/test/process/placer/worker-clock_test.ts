/** The fences of orders, and the bound on a worker's leases. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerClock } from "../../../process/placer/worker-clock.js";

describe("the fence of an order", () => {
    // A start order waits in a queue while its worker restarts and loses its epochs. Without the boot id in
    // the order the worker would accept it although another owner has declared the task lost.
    it("contains the boot id and the epoch that it is for", () => {
        const clock = new WorkerClock(0);
        clock.observe("boot-1", 500, 1_000);
        assert.deepEqual(clock.buildFence(7, 1_200), { epoch: 7, bootId: "boot-1", notAfter: 700 });
    });

    it("is not built before the first reading of the worker's clock", () => {
        assert.equal(new WorkerClock(0).buildFence(7, 1_200), undefined);
    });

    const drifts = [
        { drift: 0, latest: 3_000, notAfter: 2_500 },
        { drift: 0.01, latest: 3_000, notAfter: 2_480 },
    ];
    for (const { drift, latest, notAfter } of drifts) {
        it(`ends no later than the owner's deadline, with a drift of ${drift}`, () => {
            const clock = new WorkerClock(drift);
            clock.observe("boot-1", 500, 1_000);
            assert.equal(clock.buildFence(1, latest)?.notAfter, notAfter);
        });
    }
});

describe("the bound on a worker's leases", () => {
    it("only rises", () => {
        const clock = new WorkerClock(0.01);
        assert.equal(clock.getLeaseBound(), Number.NEGATIVE_INFINITY);
        clock.extendLeaseBound(1_000, 20_000);
        clock.extendLeaseBound(500, 20_000);
        assert.equal(clock.getLeaseBound(), 21_200);
    });
});
