/** How long new leaders are left alone, and in which order nodes claim a free place. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { computeClaimTurn } from "../../process/node/claim-order.js";
import { ClaimPatience } from "../../process/node/claim-patience.js";

const EPOCH = 7;

describe("the patience with a new leader", () => {
    interface PatienceCase {
        readonly name: string;
        readonly failedBefore: number;
        readonly wasSeenReady: boolean;
        readonly seenForMs: Millis;
        readonly expectedMs: Millis;
    }
    const cases: readonly PatienceCase[] = [
        { name: "a while at first", failedBefore: 0, wasSeenReady: false, seenForMs: 200, expectedMs: 1_300 },
        {
            name: "doubled by a failure",
            failedBefore: 1,
            wasSeenReady: false,
            seenForMs: 0,
            expectedMs: 3_000,
        },
        {
            name: "bounded after many",
            failedBefore: 30,
            wasSeenReady: false,
            seenForMs: 0,
            expectedMs: 8_000,
        },
        {
            name: "none once it was seen to lead",
            failedBefore: 2,
            wasSeenReady: true,
            seenForMs: 0,
            expectedMs: 0,
        },
        {
            name: "over after its time",
            failedBefore: 1,
            wasSeenReady: false,
            seenForMs: 3_000,
            expectedMs: 0,
        },
    ];
    for (const { name, failedBefore, wasSeenReady, seenForMs, expectedMs } of cases) {
        // Guards against take-overs that replace each other before any of them has loaded the journal.
        it(`is ${name}`, () => {
            const patience = new ClaimPatience();
            const record = { epoch: EPOCH, nodeName: "n", address: "", life: "l", failedBefore };
            if (wasSeenReady) {
                patience.observeReady(EPOCH);
            }
            assert.equal(patience.computeRemaining(record, 100, 100 + seenForMs), expectedMs);
            assert.equal(patience.countFailedBefore(record), wasSeenReady ? 0 : failedBefore + 1);
        });
    }
});

describe("the order of claims", () => {
    const leader = { address: "10.0.0.9:1", epoch: EPOCH };
    const large = Array.from(
        { length: 8 },
        (...[, index]) => ({ address: `10.0.0.${index}:1`, cores: 1.35 }),
    );
    const small = [{ address: "10.0.1.1:1", cores: 0.32 }];
    const members = [...large, ...small, { address: leader.address, cores: 1.35 }];

    // Guards against all nodes claiming within the same moment.
    it("gives each of the large nodes a turn of its own, and one of them the first", () => {
        const turns = large.map(own => computeClaimTurn(members, own, leader));
        assert.equal(new Set(turns).size, large.length);
        assert.equal(Math.min(...turns.map(turn => turn ?? Infinity)), 0);
    });

    it("differs with each epoch", () => {
        const list = (epoch: number): readonly (Millis | undefined)[] =>
            large.map(own => computeClaimTurn(members, own, { ...leader, epoch }));
        assert.notDeepEqual(list(EPOCH), list(EPOCH + 1));
    });

    it("does not wait for smaller nodes, and is not known without other nodes", () => {
        const [own] = large;
        assert(own !== undefined);
        assert.equal(computeClaimTurn([...small, own], own, leader), 0);
        assert.equal(computeClaimTurn([own], own, leader), undefined);
    });
});
