/** Which node leads where VMs differ in size. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeClaimDelay, shouldOffer, shouldOvertake } from "../../process/node/larger-node.js";
import { waitUntil } from "../fakes/wait-until.js";
import { makeSpec } from "../leader/leader-cell.js";
import { CALL_MS, makeAddress, makeConfig, NodeCell } from "./node-cell.js";

const SMALL_CORES = 0.32;
const LARGE_CORES = 1.35;

describe("the size of nodes", () => {
    const cases = [
        { name: "a small node that knows a large one", own: SMALL_CORES, most: LARGE_CORES, waits: true },
        { name: "the large node", own: LARGE_CORES, most: LARGE_CORES, waits: false },
        { name: "a node of equals", own: SMALL_CORES, most: SMALL_CORES, waits: false },
        { name: "a node that knows nobody", own: SMALL_CORES, most: 0, waits: false },
    ];
    for (const { name, own, most, waits } of cases) {
        it(`lets ${name} ${waits ? "wait" : "claim at once"}`, () => {
            assert.equal(computeClaimDelay(own, most) > 0, waits);
        });
    }

    // A small VM leads first after a loss of power and reads the journal for ten seconds over its narrow link; nobody is
    // served until it has, although a large node that follows would have read it long since.
    const loads = [
        { name: "a large node", own: LARGE_CORES, isLoading: true, followedMs: 400, overtakes: true },
        {
            name: "a large node that has just come",
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
            assert.equal(shouldOvertake(own, { cores: SMALL_CORES, isLoading }, followedMs), overtakes);
        });
    }

    it("makes nobody offer to lead who is hardly larger, or at once", () => {
        assert.equal(shouldOffer(LARGE_CORES, SMALL_CORES, 2_000), true);
        assert.equal(shouldOffer(LARGE_CORES, SMALL_CORES, 500), false);
        assert.equal(shouldOffer(0.4, SMALL_CORES, 2_000), false);
    });

    it("gives the leadership of a small node to a large one", async () => {
        // The large VMs lose power together and a small one takes over. It has not the processor time to lead; when a
        // large one is back, callers must not wait for the small one until it dies.
        const cell = new NodeCell();
        const small = await cell.startNode("small", makeConfig(1), SMALL_CORES);
        await waitUntil(() => small.node.isReady(), "the small node leads");
        const large = await cell.startNode("large", makeConfig(1), LARGE_CORES);
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
        await cell.close();
    });

    it("leaves the leadership with a small node while the store does not hear the large one", async () => {
        // A large node follows well but cannot reach the store. Given the leadership, it could not claim it, and nobody
        // would lead until the small one takes it back.
        const cell = new NodeCell();
        const small = await cell.startNode("small", makeConfig(1), SMALL_CORES);
        await waitUntil(() => small.node.isReady(), "the small node leads");
        const large = await cell.startNode("large", makeConfig(1), LARGE_CORES);
        await waitUntil(() => large.node.isReady(), "the large node follows");
        large.storePath.faults.unreachable = true;
        const begin = Date.now();
        await waitUntil(() => Date.now() - begin > 2_000, "the time for an offer has passed");
        assert.ok(!small.log.lines.some(line => line.event === "leadershipOver"));
        await cell.close();
    });
});
