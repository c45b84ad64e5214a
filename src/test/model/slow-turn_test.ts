/** A long turn of the leader's event loop, for VMs of several speeds. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { computeTimeoutFactor } from "../../process/leadership/timeout-factor.js";
import { ModelCluster } from "./model-cluster.js";

const STEP_MS: Millis = 100;
const NODES = 6;
const CALM_MS: Millis = 6_000;
/** Length of a turn in which a new leader handles the reports of all its workers, on an eighth of a core. */
const LONG_TURN_MS: Millis = 1_700;
const AFTER_MS: Millis = 6_000;
/** Longest time from a loss of power to the next leader on the smallest VMs. */
const TAKE_OVER_MS: Millis = 8_000;

async function startCluster(cores: number): Promise<ModelCluster> {
    const cluster = new ModelCluster(4);
    for (let node = 0; node < NODES; node++) {
        await cluster.startNode({ cores, bytesPerMs: 250 });
    }
    await cluster.clock.step(CALM_MS);
    return cluster;
}

describe("a leader on a VM of an eighth of a core", () => {
    // Guards against a series of new leaders, each of which is replaced during its first long turn.
    it("is not replaced during a long turn", async context => {
        const cluster = await startCluster(0.12);
        context.after(() => cluster.close());
        const wonBefore = cluster.countLines("leadershipWon");
        cluster.getLeader()?.vm.occupy(LONG_TURN_MS);
        await cluster.clock.step(AFTER_MS);
        assert.equal(cluster.countLines("leadershipWon"), wonBefore);
    });

    it("is replaced soon after its VM has lost power", async context => {
        const cluster = await startCluster(0.12);
        context.after(() => cluster.close());
        cluster.getLeader()?.vm.losePower();
        let vacantMs = 0;
        while (cluster.getLeader() === undefined && vacantMs < TAKE_OVER_MS) {
            await cluster.clock.step(STEP_MS);
            vacantMs += STEP_MS;
        }
        assert.ok(vacantMs < TAKE_OVER_MS, "no node leads");
    });
});

describe("computeTimeoutFactor", () => {
    const cases = [
        { name: "a VM of the usual size", cores: 0.32, factor: 1 },
        { name: "a large VM", cores: 2, factor: 1 },
        { name: "a VM of half the usual size", cores: 0.16, factor: 2 },
        { name: "the smallest VM", cores: 0.02, factor: 3 },
        { name: "a leader of an older version, which does not report its size", cores: undefined, factor: 1 },
    ];
    for (const { name, cores, factor } of cases) {
        it(`allows ${name} ${factor} times the usual time`, () => {
            assert.equal(computeTimeoutFactor(cores), factor);
        });
    }
});
