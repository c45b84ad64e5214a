/** Leadership on small VMs while the leader's processor is saturated. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { ModelCluster } from "./model-cluster.js";
import type { VmSize } from "./model-vm.js";

const STEP_MS: Millis = 100;
/** A job payload of about the size that callers submit. */
const PAYLOAD = "x".repeat(2_000);
const JOBS_PER_SECOND = 10;
const CALM_MS: Millis = 16_000;
const FULL_MS: Millis = 8_000;
const RECOVERY_MS: Millis = 6_000;
const AFTER_MS: Millis = 12_000;

interface FullLeaderCase {
    readonly name: string;
    readonly seed: number;
    readonly nodes: number;
    readonly size: VmSize;
    /** Processor time per second that is taken from the leader while it is saturated. */
    readonly takenMs: Millis;
}

const cases: readonly FullLeaderCase[] = [
    {
        name: "an eighth of a core and 2 Mbit/s",
        seed: 1,
        nodes: 6,
        size: { cores: 0.12, bytesPerMs: 250 },
        takenMs: 900,
    },
    {
        name: "a third of a core and 7 Mbit/s",
        seed: 2,
        nodes: 8,
        size: { cores: 0.32, bytesPerMs: 875 },
        takenMs: 900,
    },
];

/** Advances time under a load of jobs; returns how long no node led. */
async function play(cluster: ModelCluster, duration: Millis, takenMs = 0): Promise<Millis> {
    let vacantMs = 0;
    for (let at = 0; at < duration; at += STEP_MS) {
        if (at % 1_000 === 0) {
            cluster.getLeader()?.vm.occupy(takenMs);
        }
        if (at % (1_000 / JOBS_PER_SECOND) === 0) {
            cluster.submitAndCancel(PAYLOAD);
        }
        await cluster.clock.step(STEP_MS);
        vacantMs += cluster.getLeader() === undefined ? STEP_MS : 0;
    }
    return vacantMs;
}

describe("a leader whose processor is saturated for seconds", () => {
    for (const { name, seed, nodes, size, takenMs } of cases) {
        // Guards against leaders that replace each other before any of them has loaded the journal.
        it(`does not leave the cluster without a leader: VMs of ${name}`, async context => {
            const cluster = new ModelCluster(seed);
            context.after(() => cluster.close());
            for (let node = 0; node < nodes; node++) {
                await cluster.startNode(size);
            }
            await play(cluster, CALM_MS);
            await play(cluster, FULL_MS, takenMs);
            await play(cluster, RECOVERY_MS);
            const vacantMs = await play(cluster, AFTER_MS);
            const claims = cluster.countLines("leadershipClaimed");
            context.diagnostic(`${claims} claims, ${cluster.countLines("leadershipWon")} won`);
            assert.equal(vacantMs, 0);
        });
    }
});
