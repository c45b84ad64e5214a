/** Nodes that find, follow and replace a leader. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep, systemClock } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import { createTcpNetwork } from "../../connection/link-network.js";
import { ALIVE_KEY } from "../../process/journal/keys.js";
import type { CallerReply } from "../../process/leader/requests.js";
import { PeerBook } from "../../process/node/peer-book.js";
import { waitUntil } from "../fakes/wait-until.js";
import { makeSpec, QUEUE } from "../leader/leader-cell.js";
import { CALL_MS, makeAddress, makeConfig, NodeCell } from "./node-cell.js";
import type { TestNode } from "./node-cell.js";

async function startNodes(cell: NodeCell, count: number): Promise<readonly TestNode[]> {
    const nodes: TestNode[] = [];
    for (let number = 1; number <= count; number++) {
        nodes.push(await cell.startNode(`node-${number}`));
        await waitUntil(() => nodes.at(-1)?.node.isReady() === true, `node ${number} is ready`);
    }
    return nodes;
}

function hasLine(node: TestNode | undefined, event: string): boolean {
    return node?.log.lines.some(line => line.event === event) === true;
}

/** Returns how many nodes a node was last told of. */
function countPeers(node: TestNode | undefined): unknown {
    return node?.log.lines.findLast(line => line.event === "peersChanged")?.fields.nodes;
}

const MAX_TRIES = 200;
const RETRY_MS = 40;

/** Hands a job in until it is not refused, as a caller does that is told when to come back. */
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
    it("answers callers at every node, and each knows every job", async () => {
        const cell = new NodeCell();
        const [first, second] = await startNodes(cell, 2);
        const accepted = await second?.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(accepted, { kind: "accepted" });
        await waitUntil(() => cell.starts.length === 1, "the task has started");
        const shown = await first?.node.serve({ kind: "show", ...makeAddress(1) }, CALL_MS);
        assert.equal(shown?.kind, "state");
        await cell.close();
    });

    it("hands the leadership over when it shuts down, and goes on answering", async () => {
        // Guards against callers of a node that shuts down who get no answer over connections that are open.
        const cell = new NodeCell();
        const [first, second] = await startNodes(cell, 2);
        await first?.node.startDraining();
        assert.equal(first?.node.isReady(), false);
        const reply = await first?.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(reply, { kind: "accepted" });
        assert.ok(hasLine(second, "leadershipWon"));
        await cell.close();
    });

    it("takes over from a leader that can no longer reach the store", async () => {
        // Guards against callers who are refused for as long as the store turns the leader away.
        const cell = new NodeCell();
        const [first, second] = await startNodes(cell, 2);
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
        await waitUntil(() => hasLine(first, "leadershipOver"), "the first node knows");
        await cell.close();
    });

    it("finds the new leader through other nodes while the store turns it away", async () => {
        // Guards against a node that refuses every caller while it cannot read who leads.
        const cell = new NodeCell();
        const [first, second, third] = await startNodes(cell, 3);
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
        await cell.close();
    });

    it("takes over from a leader whose port no longer answers", async () => {
        const cell = new NodeCell();
        const [first, second] = await startNodes(cell, 2);
        first?.node.close();
        const reply = await second?.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(reply, { kind: "accepted" });
        await cell.close();
    });

    it("takes over from a leader that no node hears, though the store still keeps its lease", async () => {
        // Guards against a wait for the lease of a leader whose VM has lost power.
        const cell = new NodeCell();
        const [first, second, third] = await startNodes(cell, 3);
        await waitUntil(
            () => [second, third].every(node => countPeers(node) === 3),
            "the nodes know of each other",
        );
        try {
            cell.store.putDirectly(ALIVE_KEY, "a lease that does not end");
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
                reasons.includes("the leader's link is silent, and no other node hears it"),
                reasons.join(),
            );
        }
        finally {
            first?.clock.resume();
            await cell.close();
        }
    });

    it("leaves a leader alone that another node still hears", async () => {
        // Guards against a change of the leader because one node lost its way to it.
        const book = new PeerBook(createRandom(3), createTcpNetwork(systemClock));
        const cell = new NodeCell();
        const [first, second] = await startNodes(cell, 2);
        const status = second?.node.buildStatus();
        assert(status !== undefined && first !== undefined);
        book.setMembers([{ address: status.address, cores: 1 }]);
        const leader = { epoch: 1, address: first.node.buildStatus().address };
        const own = { ...status, address: "127.0.0.1:1" };
        assert.equal(await book.isUnheard(leader, systemClock, () => own), false);
        assert.equal(await book.isUnheard({ ...leader, epoch: 2 }, systemClock, () => own), true);
        await cell.close();
    });

    it("lets the leader know a newer configuration before a request that needs it", async () => {
        // Guards against "no such queue" from a leader whose watch is late.
        const cell = new NodeCell(makeConfig(1, { queues: [] }));
        const first = await cell.startNode("node-1");
        await waitUntil(() => first.node.isReady(), "the first node is ready");
        const second = await cell.startNode("node-2", makeConfig(2));
        await waitUntil(() => second.node.isReady(), "the second node is ready");
        const reply = await second.node.serve(
            { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
            CALL_MS,
        );
        assert.deepEqual(reply, { kind: "accepted" });
        assert.equal(first.config.get().version, 2);
        await cell.close();
    });

    it("never goes back to an older configuration", async () => {
        const cell = new NodeCell(makeConfig(5));
        const node = await cell.startNode("node-1");
        node.config.accept(makeConfig(4, { queues: [] }), "a copy that lags");
        assert.equal(node.config.get().queues.length, 1);
        await cell.close();
    });

    it("refuses callers while it knows no configuration", async () => {
        const cell = new NodeCell(makeConfig(0));
        const { node } = await cell.startNode("node-1");
        const reply = await node.serve({ kind: "show", ...makeAddress(1) }, CALL_MS);
        assert.equal(reply.kind, "refused");
        assert.equal(node.isReady(), false);
        await cell.close();
    });

    it("refuses a request that no leader was asked about, however little time its caller has", async () => {
        // Guards against "nobody knows" about a request that nobody was asked about.
        const cell = new NodeCell();
        const [node] = await startNodes(cell, 1);
        const reply = await node?.node.serve({ kind: "submit", ...makeAddress(1), spec: makeSpec({}) }, -50);
        assert.equal(reply?.kind, "refused");
        await cell.close();
    });

    it("spreads questions to the advice service over all nodes", async () => {
        // Guards against one caller of a service that serves one call at a time for each VM.
        const advice = { decideMs: 100, perWorkerMs: 1, validMs: 2_000 };
        const cell = new NodeCell(makeConfig(1, { queues: [{ ...QUEUE, advice }] }));
        const nodes = await startNodes(cell, 3);
        const submitted = Array.from({ length: 12 }, (...[, number]) => {
            return nodes[0]?.node.serve(
                { kind: "submit", ...makeAddress(number + 1), spec: makeSpec({}) },
                CALL_MS,
            );
        });
        await Promise.all(submitted);
        await waitUntil(() => cell.starts.length === 12, "all tasks have started");
        assert.ok(nodes.every(node => node.asked.length > 0));
        await cell.close();
    });
});
