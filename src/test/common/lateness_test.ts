/** How a process distinguishes its own delay from the silence of a peer. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { LatenessMeter } from "../../common/lateness.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { PausableClock } from "../fakes/pausable-clock.js";

describe("LatenessMeter", () => {
    interface LatenessCase {
        readonly name: string;
        /** Time for which the process is suspended. */
        readonly suspendedMs: Millis;
        readonly expectsLate: boolean;
    }
    const cases: readonly LatenessCase[] = [
        { name: "counts all time of a process that is responsive", suspendedMs: 0, expectsLate: false },
        { name: "counts little of the time of a suspended process", suspendedMs: 900, expectsLate: true },
    ];
    for (const { name, suspendedMs, expectsLate } of cases) {
        // Guards against a leader that mistakes its own overload for an unavailable store.
        it(name, async () => {
            const base = new FakeClock();
            const clock = new PausableClock(base);
            const meter = new LatenessMeter(clock);
            await base.step(1_000);
            const begin = meter.getResponsiveMs();
            clock.pause();
            await base.step(suspendedMs);
            clock.resume();
            await base.step(500);
            assert.equal(meter.getLatenessMs() > 500, expectsLate);
            await base.step(500);
            const responsive = meter.getResponsiveMs() - begin;
            assert.ok(responsive >= 1_000 && responsive <= 1_150, `${responsive} ms`);
            await base.step(1_200);
            assert.equal(meter.getLatenessMs(), 0);
            meter.close();
        });
    }
});
