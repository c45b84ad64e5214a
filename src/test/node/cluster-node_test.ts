/** Nodes that find, follow and replace a leader, connected by TCP. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep, systemClock } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import { createTcpNetwork } from "../../connection/link-network.js";
import { ALIVE_KEY } from "../../process/journal/keys.js";
import type { CallerReply } from "../../process/leader/requests.js";
import { PeerRegistry } from "../../process/node/peer-registry.js";
import { waitUntil } from "../fakes/wait-until.js";
import { makeSpec, QUEUE } from "../leader/leader-cell.js";
import { CALL_MS, ClusterFixture, makeAddress, makeConfig } from "./cluster-fixture.js";
import type { TestNode } from "./cluster-fixture.js";

async function startNodes(cluster: ClusterFixture, count: number): Promise<readonly TestNode[]> {
    const nodes: TestNode[] = [];
    for (let number = 1; number <= count; number++) {
        nodes.push(await cluster.startNode(`node-${number}`));
        await waitUntil(() => nodes.at(-1)?.node.isReady() === true, `node ${number} is ready`);
    }
    return nodes;
}

function hasLine(node: TestNode | undefined, event: string): boolean {
    return node?.log.lines.some(line => line.event === event) === true;
}

/** Returns the length of the list of members that a node last received. */
function countPeers(node: TestNode | undefined): unknown {
    return node?.log.lines.findLast(line => line.event === "peersChanged")?.fields.nodes;
}

const MAX_TRIES = 200;
const RETRY_MS = 40;

/** Submits a job until it is not refused, like a caller that retries. */
async function waitForAnswer(node: TestNode | undefined, number: number): Promise<CallerReply | undefined> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
        const reply = await node?.node.serve(
            { kind: "submit", ...makeAddress(number), spec: makeSpec({}) },
            CALL_MS,
        );
        if (reply?.kind !== "refused") {
            return reply;
        }
        await sleep(systemClock, RETRY_MS);
    }
    return undefined;
}

describe("ClusterNode", () => {
    it("serves callers at every node, and each node shows every job", async () => {
        const cluster = new ClusterFixture();
        const [first, second] = await startNodes(cluster, 2);
        const accepted = await second?.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(accepted, { kind: "accepted" });
        await waitUntil(() => cluster.starts.length === 1, "the task has started");
        const shown = await first?.node.serve({ kind: "show", ...makeAddress(1) }, CALL_MS);
        assert.equal(shown?.kind, "state");
        await cluster.close();
    });

    it("hands the leadership over when it shuts down, and still serves callers", async () => {
        // Guards against a node that shuts down and no longer answers callers on open connections.
        const cluster = new ClusterFixture();
        const [first, second] = await startNodes(cluster, 2);
        await first?.node.startDraining();
        assert.equal(first?.node.isReady(), false);
        const reply = await first?.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(reply, { kind: "accepted" });
        assert.ok(hasLine(second, "leadershipWon"));
        await cluster.close();
    });

    it("takes over from a leader that can no longer reach the store", async () => {
        // Guards against callers that are refused for as long as the store refuses the leader.
        const cluster = new ClusterFixture();
        const [first, second] = await startNodes(cluster, 2);
        if (first !== undefined) {
            first.storePath.faults.unreachable = true;
        }
        void first?.node.serve({ kind: "submit", ...makeAddress(1), spec: makeSpec({}) }, CALL_MS);
        await waitUntil(() => hasLine(second, "leadershipReady"), "the second node leads");
        const reply = await second?.node.serve(
            { kind: "submit", ...makeAddress(2), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(reply, { kind: "accepted" });
        await waitUntil(() => hasLine(first, "leadershipOver"), "the first node has noticed");
        await cluster.close();
    });

    it("finds the new leader through other nodes while the store refuses it", async () => {
        // Guards against a node that refuses every caller while it cannot read the leader record.
        const cluster = new ClusterFixture();
        const [first, second, third] = await startNodes(cluster, 3);
        for (const node of [first, second]) {
            if (node !== undefined) {
                node.storePath.faults.unreachable = true;
            }
        }
        void first?.node.serve({ kind: "submit", ...makeAddress(1), spec: makeSpec({}) }, CALL_MS);
        await waitUntil(() => hasLine(third, "leadershipReady"), "the third node leads");
        for (const node of [first, second]) {
            const reply = await waitForAnswer(node, 2);
            assert.deepEqual(reply, { kind: "accepted" });
        }
        await cluster.close();
    });

    it("takes over from a leader whose port no longer answers", async () => {
        const cluster = new ClusterFixture();
        const [first, second] = await startNodes(cluster, 2);
        first?.node.close();
        const reply = await second?.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(reply, { kind: "accepted" });
        await cluster.close();
    });

    it("takes over from a leader that no node can reach, though its lease is still live", async () => {
        // Guards against waiting for the lease of a leader whose VM has lost power.
        const cluster = new ClusterFixture();
        const [first, second, third] = await startNodes(cluster, 3);
        await waitUntil(
            () => [second, third].every(node => countPeers(node) === 3),
            "the nodes know each other",
        );
        try {
            cluster.store.putDirectly(ALIVE_KEY, "a lease that does not end");
            first?.clock.pause();
            const claims = [second, third];
            await waitUntil(
                () => claims.some(node => hasLine(node, "leadershipReady")),
                "another node leads",
            );
            const reasons = claims.flatMap(node => node?.log.lines ?? [])
                .filter(line => line.event === "leadershipClaimed")
                .map(line => line.fields?.reason);
            assert.ok(
                reasons.includes("the leader's link is silent and no other node can reach it"),
                reasons.join(),
            );
        }
        finally {
            first?.clock.resume();
            await cluster.close();
        }
    });

    it("does not replace a leader that another node can still reach", async () => {
        // Guards against a change of leader because a single node lost its link to the leader.
        const registry = new PeerRegistry(createRandom(3), createTcpNetwork(systemClock));
        const cluster = new ClusterFixture();
        const [first, second] = await startNodes(cluster, 2);
        const status = second?.node.buildStatus();
        assert(status !== undefined && first !== undefined);
        registry.setMembers([{ address: status.address, cores: 1 }]);
        const leader = { epoch: 1, address: first.node.buildStatus().address };
        const own = { ...status, address: "127.0.0.1:1" };
        assert.equal(await registry.isUnreachable(leader, systemClock, () => own), false);
        assert.equal(
            await registry.isUnreachable({ ...leader, epoch: 2 }, systemClock, () => own),
            true,
        );
        await cluster.close();
    });

    it("sends the leader a newer configuration before a request that needs it", async () => {
        // Guards against "no such queue" from a leader whose configuration watch is late.
        const cluster = new ClusterFixture(makeConfig(1, { queues: [] }));
        const first = await cluster.startNode("node-1");
        await waitUntil(() => first.node.isReady(), "the first node is ready");
        const second = await cluster.startNode("node-2", makeConfig(2));
        await waitUntil(() => second.node.isReady(), "the second node is ready");
        const reply = await second.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(reply, { kind: "accepted" });
        assert.equal(first.config.get().version, 2);
        await cluster.close();
    });

    it("never goes back to an older configuration", async () => {
        const cluster = new ClusterFixture(makeConfig(5));
        const node = await cluster.startNode("node-1");
        node.config.accept(makeConfig(4, { queues: [] }), "a stale copy");
        assert.equal(node.config.get().queues.length, 1);
        await cluster.close();
    });

    it("refuses callers while it has no configuration", async () => {
        const cluster = new ClusterFixture(makeConfig(0));
        const { node } = await cluster.startNode("node-1");
        const reply = await node.serve({ kind: "show", ...makeAddress(1) }, CALL_MS);
        assert.equal(reply.kind, "refused");
        assert.equal(node.isReady(), false);
        await cluster.close();
    });

    it("refuses a request that was sent to no leader, however short the caller's timeout", async () => {
        // Guards against an unknown outcome of a request that was sent to no leader.
        const cluster = new ClusterFixture();
        const [node] = await startNodes(cluster, 1);
        const reply = await node?.node.serve({ kind: "submit", ...makeAddress(1), spec: makeSpec({}) }, -50);
        assert.equal(reply?.kind, "refused");
        await cluster.close();
    });

    it("spreads requests to the advice service over all nodes", async () => {
        // Guards against a single caller of a service that serves only one call at a time for each VM.
        const advice = { decideMs: 100, perWorkerMs: 1, validMs: 2_000 };
        const cluster = new ClusterFixture(makeConfig(1, { queues: [{ ...QUEUE, advice }] }));
        const nodes = await startNodes(cluster, 3);
        const submitted = Array.from({ length: 12 }, (...[, number]) => {
            return nodes[0]?.node.serve(
                { kind: "submit", ...makeAddress(number + 1), spec: makeSpec({}) },
                CALL_MS,
            );
        });
        await Promise.all(submitted);
        await waitUntil(() => cluster.starts.length === 12, "all tasks have started");
        assert.ok(nodes.every(node => node.advisedSteps.length > 0));
        await cluster.close();
    });
});
