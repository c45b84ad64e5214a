/** A worker that fails everything is ejected; a task that fails everywhere ejects no worker. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerHealth } from "../../../process/placer/worker-health.js";
import { DEFAULT_CELL } from "../../../version/settings.js";
import { FakeClock } from "../../fakes/fake-clock.js";

const CELL = { ...DEFAULT_CELL, ejectionCap: 0.2, ejectionFailures: 5, ejectionMs: 1_000 };
const WORKERS = Array.from({ length: 10 }, (...[, index]) => `w${index}`);

function makeHealth(clock: FakeClock): WorkerHealth {
    const health = new WorkerHealth(clock, () => CELL);
    WORKERS.forEach(worker => health.add(worker));
    return health;
}

/** Records results of a branch on every worker in turn; the workers in `failing` fail. */
function runRounds(health: WorkerHealth, rounds: number, branch: string, failing: readonly string[]): void {
    for (let round = 0; round < rounds; round++) {
        WORKERS.forEach(worker => health.observe(worker, branch, failing.includes(worker)));
    }
}

function listEjected(health: WorkerHealth): readonly string[] {
    return WORKERS.filter(worker => health.isEjected(worker));
}

describe("ejection", () => {
    const cases = [
        { name: "a worker that fails everything", failing: ["w3"], ejected: ["w3"] },
        { name: "no more workers than the cap", failing: ["w1", "w2", "w3", "w4"], ejected: ["w1", "w2"] },
        { name: "nobody for a task that fails everywhere", failing: WORKERS, ejected: [] },
        { name: "nobody for a task that fails on most", failing: WORKERS.slice(0, 7), ejected: [] },
        { name: "nobody when nothing fails", failing: [], ejected: [] },
    ];
    for (const { name, failing, ejected } of cases) {
        it(`hits ${name}`, () => {
            const health = makeHealth(new FakeClock());
            runRounds(health, 4, "batch", failing);
            runRounds(health, 6, "batch", failing);
            assert.deepEqual(listEjected(health), ejected);
        });
    }

    it("ends, leaves the worker on trial, and lasts longer the second time", async () => {
        const clock = new FakeClock();
        const health = makeHealth(clock);
        runRounds(health, 6, "batch", ["w3"]);
        assert.deepEqual(listEjected(health), ["w3"]);
        await clock.step(1_000);
        assert.deepEqual(health.takeReadmitted(), ["w3"]);
        assert.equal(health.observe("w3", "batch", true), true);
        await clock.step(1_500);
        assert.deepEqual(listEjected(health), ["w3"]);
        await clock.step(500);
        assert.deepEqual(listEjected(health), []);
    });
});
