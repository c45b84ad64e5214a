/** Records of the cluster's own that cannot be read: they are named, and no process ends. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep, systemClock } from "../../common/clock.js";
import { LEADER_KEY, makeRecordKey, SNAPSHOT_HEAD_KEY } from "../../process/journal/keys.js";
import { waitUntil } from "../fakes/wait-until.js";
import { NodeCell } from "./node-cell.js";

interface UnreadableCase {
    readonly name: string;
    readonly key: string;
    readonly value: string;
    readonly event: string;
}

const cases: readonly UnreadableCase[] = [
    { name: "the leader's record", key: LEADER_KEY, value: "{", event: "leaderSearchFailed" },
    { name: "a leader's record without an epoch", key: LEADER_KEY, value: "{}", event: "leaderSearchFailed" },
    { name: "the snapshots' head", key: SNAPSHOT_HEAD_KEY, value: "?", event: "journalUnreadable" },
    { name: "a record of the journal", key: makeRecordKey(1), value: "[", event: "journalUnreadable" },
];

describe("a node that finds a record that it cannot read", () => {
    for (const { name, key, value, event } of cases) {
        // Guards against a rejected promise that ends the process without a line, and against epochs that begin anew.
        it(`names ${name} and goes on`, async context => {
            const cell = new NodeCell();
            context.after(() => cell.close());
            cell.store.putDirectly(key, value);
            const { node, log } = await cell.startNode("node-1");
            await waitUntil(() => log.lines.some(line => line.event === event), "the line");
            const line = log.lines.find(found => found.event === event);
            assert.match(String(line?.fields.message), new RegExp(key));
            await sleep(systemClock, 50);
            assert.equal(node.isReady(), false);
            const { value: standing } = cell.store.read(key) as { value: { value: string; }; };
            assert.equal(standing.value, value);
        });
    }
});
