/** What callers get under loads that demand nearly the whole capacity. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SCARCE_LOAD } from "./load-profile.js";
import { PlayedLoad } from "./played-load.js";
import type { ClassResult } from "./played-load.js";

/** Least share of the offered worth to be earned per queue, and the most runs that may be preempted. */
interface LoadCase {
    readonly seed: number;
    readonly gangs: number;
    readonly rows: number;
    readonly checks: number;
    readonly maxPreemptions: number;
}

const cases: readonly LoadCase[] = [
    { seed: 1, gangs: 0.85, rows: 0.97, checks: 0.85, maxPreemptions: 1_000 },
    { seed: 2, gangs: 0.88, rows: 0.97, checks: 0.85, maxPreemptions: 1_000 },
];

function computeShare(classes: readonly ClassResult[], name: string): number {
    const found = classes.find(result => result.name === name);
    return found === undefined ? 0 : found.earnedWorth / found.offeredWorth;
}

describe("a load of different queues that demands nine tenths of all processors", () => {
    for (const { seed, maxPreemptions, ...shares } of cases) {
        // Guards against gangs that get capacity only by preempting single tasks that filled every gap before
        // them.
        it(`serves gangs without a loss for the rows behind them: seed ${seed}`, async context => {
            const { classes, faults } = await new PlayedLoad(SCARCE_LOAD, seed).play();
            assert.deepEqual(faults, []);
            for (const [name, least] of Object.entries(shares)) {
                const share = computeShare(classes, name);
                context.diagnostic(`${name}: ${share.toFixed(3)}`);
                assert.ok(share >= least, `${name} got ${share}`);
            }
            const preemptions = classes.reduce((sum, result) => sum + result.preemptions, 0);
            assert.ok(preemptions <= maxPreemptions, `${preemptions} runs were stopped`);
        });
    }
});
