/** Choice of the leader when VMs differ in size. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeSmallNodeDelay, shouldOffer, shouldTakeOver } from "../../process/node/larger-node.js";
import { waitUntil } from "../fakes/wait-until.js";
import { makeSpec } from "../leader/leader-cell.js";
import { CALL_MS, ClusterFixture, makeAddress, makeConfig } from "./cluster-fixture.js";

const SMALL_CORES = 0.32;
const LARGE_CORES = 1.35;

describe("the size of nodes", () => {
    const cases = [
        { name: "a small node that knows a large one", own: SMALL_CORES, most: LARGE_CORES, waits: true },
        { name: "the large node", own: LARGE_CORES, most: LARGE_CORES, waits: false },
        { name: "a node among equals", own: SMALL_CORES, most: SMALL_CORES, waits: false },
        { name: "a node that knows no other", own: SMALL_CORES, most: 0, waits: false },
    ];
    for (const { name, own, most, waits } of cases) {
        it(`lets ${name} ${waits ? "wait" : "claim at once"}`, () => {
            assert.equal(computeSmallNodeDelay(own, most) > 0, waits);
        });
    }

    // Guards against a small VM that claims first after a power failure and takes ten seconds to load the
    // journal over its slow link, while a large follower could have loaded it much sooner. Nobody is served
    // in the meantime.
    const loads = [
        { name: "a large node", own: LARGE_CORES, isLoading: true, followedMs: 400, overtakes: true },
        {
            name: "a large node that has just connected",
            own: LARGE_CORES,
            isLoading: true,
            followedMs: 200,
            overtakes: false,
        },
        {
            name: "a large node once it has loaded",
            own: LARGE_CORES,
            isLoading: false,
            followedMs: 400,
            overtakes: false,
        },
        {
            name: "a node of the same size",
            own: SMALL_CORES,
            isLoading: true,
            followedMs: 9_000,
            overtakes: false,
        },
    ];
    for (const { name, own, isLoading, followedMs, overtakes } of loads) {
        it(`${overtakes ? "lets" : "keeps"} ${name} ${overtakes ? "overtake" : "behind"} a small leader`, () => {
            assert.equal(shouldTakeOver(own, { cores: SMALL_CORES, isLoading }, followedMs), overtakes);
        });
    }

    it("makes no node offer to lead at once, or if it is hardly larger", () => {
        assert.equal(shouldOffer(LARGE_CORES, SMALL_CORES, 2_000), true);
        assert.equal(shouldOffer(LARGE_CORES, SMALL_CORES, 500), false);
        assert.equal(shouldOffer(0.4, SMALL_CORES, 2_000), false);
    });

    it("hands the leadership of a small node over to a large one", async () => {
        // Guards against a small node, without enough processor time to lead, that took over when all large
        // VMs lost power and keeps the leadership after a large one is back.
        const cluster = new ClusterFixture();
        const small = await cluster.startNode("small", makeConfig(1), SMALL_CORES);
        await waitUntil(() => small.node.isReady(), "the small node leads");
        const large = await cluster.startNode("large", makeConfig(1), LARGE_CORES);
        await waitUntil(
            () => large.log.lines.some(line => line.event === "leadershipReady"),
            "the large node leads",
        );
        for (const { node } of [small, large]) {
            const reply = await node.serve(
                { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
                CALL_MS,
            );
            assert.deepEqual(reply, { kind: "accepted" });
        }
        await cluster.close();
    });

    it("keeps the leadership with a small node while the large one cannot reach the store", async () => {
        // Guards against a handover to a large node that follows but cannot reach the store. It could not
        // claim, and nobody would lead until the small node claims the leadership back.
        const cluster = new ClusterFixture();
        const small = await cluster.startNode("small", makeConfig(1), SMALL_CORES);
        await waitUntil(() => small.node.isReady(), "the small node leads");
        const large = await cluster.startNode("large", makeConfig(1), LARGE_CORES);
        await waitUntil(() => large.node.isReady(), "the large node follows");
        large.storePath.faults.unreachable = true;
        const begin = Date.now();
        await waitUntil(() => Date.now() - begin > 2_000, "the time for an offer has passed");
        assert.ok(!small.log.lines.some(line => line.event === "leadershipOver"));
        await cluster.close();
    });
});
