/** Nodes that temporarily have two links to the leader. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { systemClock } from "../../common/clock.js";
import { createTcpNetwork } from "../../connection/link-network.js";
import { connectToLeader } from "../../process/node/leader-dialer.js";
import { waitUntil } from "../fakes/wait-until.js";
import { makeSpec, QUEUE } from "../leader/leader-cell.js";
import { CALL_MS, ClusterFixture, makeAddress, makeConfig } from "./cluster-fixture.js";

const JOBS = 12;

describe("a node whose second link to the leader is closed", () => {
    it("is still used to call the advice service", async context => {
        // Guards against a closed second link that the leader still uses for requests to the advice service.
        const advice = { decideMs: 100, perWorkerMs: 1, validMs: 2_000 };
        const cluster = new ClusterFixture(makeConfig(1, { queues: [{ ...QUEUE, advice }] }));
        context.after(() => cluster.close());
        const leader = await cluster.startNode("node-1");
        await waitUntil(() => leader.node.isReady(), "node 1 is ready");
        const follower = await cluster.startNode("node-2");
        await waitUntil(() => follower.node.isReady(), "node 2 is ready");
        const second = await connectToLeader(
            createTcpNetwork(systemClock),
            leader.node.buildStatus().address,
            systemClock,
            {
                buildStatus: () => follower.node.buildStatus(),
                handleCall: () => Promise.resolve({ kind: "notLeading" }),
                handleNotification: () => undefined,
            },
        );
        assert(second.kind === "up");
        await second.link.firstStatus;
        second.link.link.close("the status query has ended");
        await waitUntil(
            () => leader.log.lines.some(line => line.event === "linkClosed"),
            "the link is closed",
        );
        const submitted = Array.from(
            { length: JOBS },
            (...[, number]) =>
                leader.node.serve(
                    { kind: "submit", ...makeAddress(number + 1), spec: makeSpec({}) },
                    CALL_MS,
                ),
        );
        await Promise.all(submitted);
        await waitUntil(() => cluster.starts.length === JOBS, "all tasks have started");
        assert.ok(follower.advisedSteps.length > 0, "the node was not used");
    });
});
