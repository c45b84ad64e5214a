/** Unreadable records of the cluster in the store: they are logged by key, and no process ends. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep, systemClock } from "../../common/clock.js";
import { LEADER_KEY, makeRecordKey, SNAPSHOT_HEAD_KEY } from "../../process/journal/keys.js";
import { waitUntil } from "../fakes/wait-until.js";
import { ClusterFixture } from "./cluster-fixture.js";

interface UnreadableCase {
    readonly name: string;
    readonly key: string;
    readonly value: string;
    readonly event: string;
}

const cases: readonly UnreadableCase[] = [
    { name: "the leader's record", key: LEADER_KEY, value: "{", event: "leaderSearchFailed" },
    { name: "a leader's record without an epoch", key: LEADER_KEY, value: "{}", event: "leaderSearchFailed" },
    { name: "the head of the snapshots", key: SNAPSHOT_HEAD_KEY, value: "?", event: "journalUnreadable" },
    { name: "a record of the journal", key: makeRecordKey(1), value: "[", event: "journalUnreadable" },
];

describe("a node that finds an unreadable record", () => {
    for (const { name, key, value, event } of cases) {
        // Guards against a rejected promise that ends the process unlogged, and against epochs that restart.
        it(`logs the key of ${name} and continues`, async context => {
            const cluster = new ClusterFixture();
            context.after(() => cluster.close());
            cluster.store.putDirectly(key, value);
            const { node, log } = await cluster.startNode("node-1");
            await waitUntil(() => log.lines.some(line => line.event === event), "the log line");
            const line = log.lines.find(found => found.event === event);
            assert.match(String(line?.fields.message), new RegExp(key));
            await sleep(systemClock, 50);
            assert.equal(node.isReady(), false);
            const { value: stored } = cluster.store.read(key) as { value: { value: string; }; };
            assert.equal(stored.value, value);
        });
    }
});
