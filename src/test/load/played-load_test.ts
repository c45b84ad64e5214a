/** What callers get under loads that want nearly everything. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SCARCE_LOAD } from "./load-profile.js";
import { PlayedLoad } from "./played-load.js";
import type { ClassResult } from "./played-load.js";

/** Shares of what was owed that hold, and stopped runs at most. */
interface LoadCase {
    readonly seed: number;
    readonly gangs: number;
    readonly rows: number;
    readonly checks: number;
    readonly stops: number;
}

const cases: readonly LoadCase[] = [
    { seed: 1, gangs: 0.85, rows: 0.97, checks: 0.85, stops: 1_000 },
    { seed: 2, gangs: 0.88, rows: 0.97, checks: 0.85, stops: 1_000 },
];

function computeShare(classes: readonly ClassResult[], name: string): number {
    const found = classes.find(result => result.name === name);
    return found === undefined ? 0 : found.earned / found.owed;
}

describe("a load of unlike queues that wants nine tenths of all processors", () => {
    for (const { seed, stops, ...shares } of cases) {
        // Guards against gangs that find room only by stopping single tasks that filled every hole before them.
        it(`serves gangs without a loss for the rows behind them: seed ${seed}`, async context => {
            const { classes, faults } = await new PlayedLoad(SCARCE_LOAD, seed).play();
            assert.deepEqual(faults, []);
            for (const [name, least] of Object.entries(shares)) {
                const share = computeShare(classes, name);
                context.diagnostic(`${name}: ${share.toFixed(3)}`);
                assert.ok(share >= least, `${name} got ${share}`);
            }
            const stopped = classes.reduce((sum, result) => sum + result.stops, 0);
            assert.ok(stopped <= stops, `${stopped} runs were stopped`);
        });
    }
});
