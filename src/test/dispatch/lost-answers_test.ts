/** Tests report waits and hedge delays while workers' answers get lost. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { ON_TIME } from "../../common/lateness.js";
import { LostAnswers } from "../../process/dispatch/lost-answers.js";

interface Case {
    readonly name: string;
    /** When an answer was lost. */
    readonly lossAt: number | undefined;
    readonly workers: number;
    readonly expected: number;
}

const NOW = 100_000;
const CASES: readonly Case[] = [
    { name: "is long while all calls are answered", lossAt: undefined, workers: 33, expected: 1_000 },
    { name: "is short after a lost answer", lossAt: NOW - 500, workers: 33, expected: 250 },
    { name: "is long again some seconds later", lossAt: NOW - 5_000, workers: 33, expected: 1_000 },
    { name: "bounds the requests of a large fleet", lossAt: NOW - 500, workers: 150, expected: 600 },
    { name: "never exceeds the normal wait", lossAt: NOW - 500, workers: 3_800, expected: 1_000 },
];

describe("the wait for a report", () => {
    for (const { name, lossAt, workers, expected } of CASES) {
        it(name, () => {
            const lost = new LostAnswers(ON_TIME);
            if (lossAt !== undefined) {
                lost.observeLoss(lossAt);
            }
            assert.equal(lost.computeReportWait(NOW, workers), expected);
        });
    }
});

describe("the hedge delay", () => {
    const cases = [
        { name: "leaves a slow leader time", lossAt: undefined, expected: 150 },
        { name: "is short after a lost answer", lossAt: NOW - 500, expected: 60 },
        { name: "is long again some seconds later", lossAt: NOW - 5_000, expected: 150 },
    ];
    for (const { name, lossAt, expected } of cases) {
        it(name, () => {
            const lost = new LostAnswers(ON_TIME);
            if (lossAt !== undefined) {
                lost.observeLoss(lossAt);
            }
            assert.equal(lost.computeHedgeDelay(NOW), expected);
        });
    }
});
