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

describe("a leader whose calls are late", () => {
    const cases = [
        { name: "takes one late call in ten for lost answers", lateEvery: 10, isFull: false },
        { name: "takes its link for full when every second call is late", lateEvery: 2, isFull: true },
        { name: "takes its link for full when all calls are late", lateEvery: 1, isFull: true },
    ];
    for (const { name, lateEvery, isFull } of cases) {
        it(name, () => {
            const lost = new LostAnswers(ON_TIME);
            for (let call = 1; call <= 200; call++) {
                lost.observeCall(call % lateEvery === 0);
            }
            assert.equal(lost.observeLoss(NOW), !isFull);
            assert.equal(lost.computeReportWait(NOW, 33), isFull ? 1_000 : 250);
            // A call ends before it would be made again.
            assert.equal(lost.computeHedgeDelay(NOW) > 600, isFull);
            assert.equal(lost.computeAnswerMargin(), isFull ? 1_500 : 500);
        });
    }

    it("takes its link for free once calls are answered in time", () => {
        const lost = new LostAnswers(ON_TIME);
        for (let call = 0; call < 100; call++) {
            lost.observeCall(true);
        }
        for (let call = 0; call < 60; call++) {
            lost.observeCall(false);
        }
        assert.equal(lost.isLinkFull(), false);
    });
});
