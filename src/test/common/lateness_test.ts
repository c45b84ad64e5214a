/** How a process tells its own lateness from the silence of others. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { LatenessMeter } from "../../common/lateness.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { PausableClock } from "../fakes/pausable-clock.js";

describe("LatenessMeter", () => {
    interface LatenessCase {
        readonly name: string;
        /** For how long the process does nothing of its own. */
        readonly stoodMs: Millis;
        readonly expectsLate: boolean;
    }
    const cases: readonly LatenessCase[] = [
        { name: "counts all time of a process that is on time", stoodMs: 0, expectsLate: false },
        { name: "counts little of the time of one that stood still", stoodMs: 900, expectsLate: true },
    ];
    for (const { name, stoodMs, expectsLate } of cases) {
        // Guards against a leader that takes its own full processor for a store that is away.
        it(name, async () => {
            const base = new FakeClock();
            const clock = new PausableClock(base);
            const meter = new LatenessMeter(clock);
            await base.step(1_000);
            const begin = meter.getAttentiveMs();
            clock.pause();
            await base.step(stoodMs);
            clock.resume();
            await base.step(500);
            assert.equal(meter.getLatenessMs() > 500, expectsLate);
            await base.step(500);
            const attentive = meter.getAttentiveMs() - begin;
            assert.ok(attentive >= 1_000 && attentive <= 1_150, `${attentive} ms`);
            await base.step(1_200);
            assert.equal(meter.getLatenessMs(), 0);
            meter.close();
        });
    }
});
