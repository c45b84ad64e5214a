/** What callers get while gangs, wide steps and quick checks compete for too little room. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CROWDED_LOAD } from "./crowded-load.js";
import { PlayedLoad } from "./played-load.js";

/** Least share of the worth that each queue's callers are to get. */
const LEAST_SHARE = 0.61;

describe("a load that leaves no room for gangs", () => {
    for (const seed of [1, 4]) {
        it(`serves each queue: seed ${seed}`, async context => {
            // Guards against gangs that stop others again and again without ever starting.
            const { classes, faults } = await new PlayedLoad(CROWDED_LOAD, seed).play();
            assert.deepEqual(faults, []);
            const shares = classes.map(({ name, earnedWorth, offeredWorth }) => ({
                name,
                share: earnedWorth / offeredWorth,
            }));
            shares.forEach(({ name, share }) => context.diagnostic(`${name}: ${share.toFixed(3)}`));
            assert.deepEqual(shares.filter(({ share }) => share < LEAST_SHARE), []);
        });
    }
});
