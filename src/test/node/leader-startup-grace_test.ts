/** Startup grace of new leaders, and the order in which nodes claim a vacant leadership. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { computeStaggerDelay } from "../../process/node/claim-order.js";
import { LeaderStartupGrace } from "../../process/node/leader-startup-grace.js";

const EPOCH = 7;

describe("the startup grace of a new leader", () => {
    interface GraceCase {
        readonly name: string;
        readonly failedBefore: number;
        readonly wasSeenReady: boolean;
        readonly seenForMs: Millis;
        readonly expectedMs: Millis;
    }
    const cases: readonly GraceCase[] = [
        {
            name: "the base value at first",
            failedBefore: 0,
            wasSeenReady: false,
            seenForMs: 200,
            expectedMs: 1_300,
        },
        {
            name: "doubled after a failed takeover",
            failedBefore: 1,
            wasSeenReady: false,
            seenForMs: 0,
            expectedMs: 3_000,
        },
        {
            name: "bounded after many failed takeovers",
            failedBefore: 30,
            wasSeenReady: false,
            seenForMs: 0,
            expectedMs: 8_000,
        },
        {
            name: "zero once the leader was observed to be ready",
            failedBefore: 2,
            wasSeenReady: true,
            seenForMs: 0,
            expectedMs: 0,
        },
        {
            name: "zero after it has expired",
            failedBefore: 1,
            wasSeenReady: false,
            seenForMs: 3_000,
            expectedMs: 0,
        },
    ];
    for (const { name, failedBefore, wasSeenReady, seenForMs, expectedMs } of cases) {
        // Guards against leaders that replace each other before any of them has loaded the journal.
        it(`is ${name}`, () => {
            const startupGrace = new LeaderStartupGrace();
            const record = { epoch: EPOCH, nodeName: "n", address: "", life: "l", failedBefore };
            if (wasSeenReady) {
                startupGrace.observeReady(EPOCH);
            }
            assert.equal(startupGrace.computeRemaining(record, 100, 100 + seenForMs), expectedMs);
            assert.equal(startupGrace.countFailedBefore(record), wasSeenReady ? 0 : failedBefore + 1);
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

    // Guards against all nodes claiming at the same time.
    it("gives each large node a delay of its own, and one of them none", () => {
        const delays = large.map(own => computeStaggerDelay(members, own, leader));
        assert.equal(new Set(delays).size, large.length);
        assert.equal(Math.min(...delays.map(turn => turn ?? Infinity)), 0);
    });

    it("differs between epochs", () => {
        const list = (epoch: number): readonly (Millis | undefined)[] =>
            large.map(own => computeStaggerDelay(members, own, { ...leader, epoch }));
        assert.notDeepEqual(list(EPOCH), list(EPOCH + 1));
    });

    it("has no delay for smaller nodes, and is undefined without other nodes", () => {
        const [own] = large;
        assert(own !== undefined);
        assert.equal(computeStaggerDelay([...small, own], own, leader), 0);
        assert.equal(computeStaggerDelay([own], own, leader), undefined);
    });
});
