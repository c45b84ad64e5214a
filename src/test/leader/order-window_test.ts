/** How many orders to start runs a leader has under way at once. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { ON_TIME } from "../../common/lateness.js";
import type { Lateness } from "../../common/lateness.js";
import { OrderWindow } from "../../process/leader/order-window.js";
import { FakeClock } from "../fakes/fake-clock.js";

const LATE: Lateness = { getLatenessMs: () => 300, getMeanLatenessMs: () => 200 };

interface Case {
    readonly name: string;
    readonly lateness: Lateness;
    /** How long each order takes. */
    readonly tookMs: Millis;
    readonly rounds: number;
    readonly expected: number;
}

const CASES: readonly Case[] = [
    {
        name: "grows with each round of timely orders",
        lateness: ON_TIME,
        tookMs: 5,
        rounds: 3,
        expected: 384,
    },
    {
        name: "shrinks with each round of slow orders",
        lateness: ON_TIME,
        tookMs: 400,
        rounds: 2,
        expected: 23,
    },
    { name: "has a lower bound", lateness: ON_TIME, tookMs: 400, rounds: 20, expected: 16 },
    {
        name: "does not shrink while the process is late",
        lateness: LATE,
        tookMs: 700,
        rounds: 2,
        expected: 192,
    },
];

describe("the order window", () => {
    for (const { name, lateness, tookMs, rounds, expected } of CASES) {
        it(name, async () => {
            const clock = new FakeClock();
            const window = new OrderWindow(clock, lateness);
            for (let round = 0; round < rounds; round++) {
                const orders = window.countFree();
                const sentAt = clock.now();
                for (let order = 0; order < orders; order++) {
                    window.open();
                }
                assert.equal(window.countFree(), 0);
                await clock.step(tookMs);
                for (let order = 0; order < orders; order++) {
                    window.observeOrder(sentAt);
                }
                for (let order = 0; order < orders; order++) {
                    window.close();
                }
            }
            assert.equal(window.countFree(), expected);
        });
    }
});
