/** How a leader detects through the store that it has been deposed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import { LEADER_KEY } from "../../process/journal/keys.js";
import { LeaderLease } from "../../process/leadership/leader-lease.js";
import { StoreModel } from "../../stand-ins/index.js";
import { CallPath } from "../fakes/call-path.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { FakeStorePort } from "../fakes/fake-store-port.js";
import { PausableClock } from "../fakes/pausable-clock.js";

interface SlownessCase {
    readonly name: string;
    /** Delay added in each direction. */
    readonly slowMs: Millis;
}

const cases: readonly SlownessCase[] = [
    { name: "at once", slowMs: 0 },
    { name: "after most of a second, as over a saturated link", slowMs: 400 },
];

describe("a leader that is deposed while it writes nothing", () => {
    for (const { name, slowMs } of cases) {
        // Guards against a leader that continues loading, and holds callers, long after it was replaced.
        it(`detects it soon if the store answers ${name}`, async () => {
            const clock = new FakeClock();
            const store = new StoreModel(clock);
            const path = new CallPath(clock, new PausableClock(clock), {
                latencyMs: 1,
                random: createRandom(1),
            });
            const leaderRevision = store.putDirectly(LEADER_KEY, "{}");
            const deposed: string[] = [];
            let lastContact = clock.now();
            const lease = new LeaderLease({
                port: new FakeStorePort(store, path),
                clock,
                incarnation: "life",
                leaderRevision,
                getLastContact: () => lastContact,
                observeContact: sentAt => lastContact = sentAt,
                observeAnswer: () => undefined,
                handleDeposed: reason => deposed.push(reason),
            });
            await clock.step(500);
            path.faults.slowMs = slowMs;
            store.putDirectly(LEADER_KEY, '{"epoch":2}');
            await clock.step(3_500);
            assert.notEqual(deposed.length, 0);
            lease.close();
        });
    }
});
