/** The fake clock orders timers by due time, then by creation, so that a seed reproduces its run. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sleep } from "../../common/clock.js";
import { FakeClock } from "../fakes/fake-clock.js";

describe("FakeClock", () => {
    const cases = [
        { name: "by due time", delays: [30, 10, 20], expected: [1, 2, 0] },
        { name: "by creation when due together", delays: [5, 5, 5], expected: [0, 1, 2] },
    ];
    for (const { name, delays, expected } of cases) {
        it(`runs timers ${name}`, async () => {
            const clock = new FakeClock();
            const ran: number[] = [];
            delays.forEach((delay, index) => clock.schedule(delay, () => ran.push(index)));
            await clock.step(100);
            assert.deepEqual(ran, expected);
        });
    }

    it("does not run a cancelled timer", async () => {
        const clock = new FakeClock();
        let ran = false;
        const timer = clock.schedule(5, () => {
            ran = true;
        });
        timer.cancel();
        await clock.step(10);
        assert.equal(ran, false);
    });

    it("advances time until a promise settles", async () => {
        const clock = new FakeClock();
        await clock.wait(sleep(clock, 40), 100);
        assert.equal(clock.now(), 40);
    });
});
