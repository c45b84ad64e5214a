/** Tests which losses of workers are attributed to a common cause outside of their tasks. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { LossCauses } from "../../process/dispatch/loss-causes.js";

const NOW: Millis = 20_000;

interface Case {
    readonly name: string;
    /** Workers on which a task had just started, and others, that are lost now. */
    readonly withSuspect: number;
    readonly withoutSuspect: number;
    /** When the workers without a suspect were lost; now if omitted. */
    readonly othersLostAt?: Millis;
    readonly withdrawn?: number;
    readonly isCommon: boolean;
}

const CASES: readonly Case[] = [
    { name: "one worker", withSuspect: 1, withoutSuspect: 0, isCommon: false },
    { name: "workers that each had just started a task", withSuspect: 8, withoutSuspect: 0, isCommon: false },
    { name: "workers of which one had not", withSuspect: 3, withoutSuspect: 1, isCommon: false },
    { name: "workers of which few had not", withSuspect: 12, withoutSuspect: 5, isCommon: false },
    { name: "workers of which most had not", withSuspect: 3, withoutSuspect: 13, isCommon: true },
    { name: "workers of which half had not", withSuspect: 4, withoutSuspect: 4, isCommon: true },
    {
        name: "workers that were lost later than others",
        withSuspect: 3,
        withoutSuspect: 13,
        othersLostAt: NOW - 2_000,
        isCommon: false,
    },
    {
        name: "workers lost with such as answer again",
        withSuspect: 3,
        withoutSuspect: 5,
        withdrawn: 2,
        isCommon: false,
    },
];

describe("LossCauses", () => {
    for (const testCase of CASES) {
        const { name, withSuspect, withoutSuspect, othersLostAt = NOW, withdrawn = 0, isCommon } = testCase;
        it(`${isCommon ? "finds" : "does not find"} a common cause for ${name}`, () => {
            const causes = new LossCauses();
            const add = (workerId: string, lostAt: Millis, hasSuspect: boolean): void =>
                causes.observe({
                    workerId,
                    aliveAt: lostAt - 150,
                    lostAt,
                    lastOrderedAt: lostAt - (hasSuspect ? 50 : 2_000),
                });
            for (let index = 0; index < withoutSuspect; index++) {
                add(`other-${index}`, othersLostAt, false);
            }
            for (let index = 0; index < withSuspect; index++) {
                add(`suspect-${index}`, NOW, true);
            }
            for (let index = 0; index < withdrawn; index++) {
                causes.withdraw(`other-${index}`);
            }
            assert.equal(causes.findCommonLoss("suspect-0") !== undefined, isCommon);
        });
    }

    it("forgets losses of long ago", () => {
        const causes = new LossCauses();
        for (let index = 0; index < 4; index++) {
            causes.observe({ workerId: `w${index}`, aliveAt: NOW, lostAt: NOW, lastOrderedAt: -Infinity });
        }
        causes.observe({ workerId: "later", aliveAt: NOW, lostAt: NOW + 60_000, lastOrderedAt: NOW });
        assert.equal(causes.findCommonLoss("w0"), undefined);
        assert.equal(causes.findCommonLoss("later"), undefined);
    });
});
