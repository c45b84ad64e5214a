/** A configuration whose transfer takes most of a second on the leader's link. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { ModelCluster } from "./model-cluster.js";

const STEP_MS: Millis = 100;
const NODES = 12;
const QUEUES = 900;
/** Delay of the delivery to the leader after the delivery to the other nodes. */
const LEADER_DELAY_MS: Millis = 600;
const BEFORE_MS: Millis = 6_000;
const AFTER_MS: Millis = 12_000;

/** Advances time under a light load of jobs; returns how long no node led. */
async function play(cluster: ModelCluster, duration: Millis): Promise<Millis> {
    let vacantMs = 0;
    for (let at = 0; at < duration; at += STEP_MS) {
        if (at % 500 === 0) {
            cluster.submitAndCancel("work");
        }
        await cluster.clock.step(STEP_MS);
        vacantMs += cluster.getLeader() === undefined ? STEP_MS : 0;
    }
    return vacantMs;
}

describe("a large configuration that all other nodes receive before their leader", () => {
    // Guards against followers that saturate the leader's link with copies until the leader is replaced.
    it("does not cause a change of the leader", async context => {
        const cluster = new ModelCluster(3);
        context.after(() => cluster.close());
        for (let node = 0; node < NODES; node++) {
            await cluster.startNode({ cores: 0.12, bytesPerMs: 250 });
        }
        await play(cluster, BEFORE_MS);
        const wonBefore = cluster.countLines("leadershipWon");
        cluster.publishConfig(QUEUES, LEADER_DELAY_MS);
        const vacantMs = await play(cluster, AFTER_MS);
        assert.equal(cluster.countLines("leadershipWon"), wonBefore);
        assert.equal(vacantMs, 0);
    });
});
