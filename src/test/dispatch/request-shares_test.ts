/** Tests which requests to the advice service go first while the nodes cannot send all of them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { RequestShares } from "../../process/dispatch/request-shares.js";
import type { AdviceRequest } from "../../process/dispatch/request-shares.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { buildRequest } from "./request-queue.js";

const NODES = 2;
const REQUEST_MS: Millis = 500;
const POLICY = { decideMs: REQUEST_MS, perWorkerMs: 0, validMs: 2_500 };

function makeRequest(fields: Partial<AdviceRequest>): AdviceRequest {
    return buildRequest({ step: "step", workerIds: ["w1"], policy: POLICY, priority: 1, ...fields });
}

describe("the requests that go before all others", () => {
    const old = makeRequest({ step: "old", since: 1_000, lateness: 1, dueAt: 2_000 });
    const cases: {
        name: string;
        waiting: readonly AdviceRequest[];
        now: Millis;
        chosen: readonly string[];
    }[] = [
        {
            name: "are none while none has waited long",
            waiting: [makeRequest({ since: 500 })],
            now: 1_000,
            chosen: [],
        },
        {
            // Guards against a queue in which every job is late because the longest waiting request goes first.
            name: "are the ones that can still be in time, not the longest waiting ones",
            waiting: [old, makeRequest({ step: "timely", since: 2_000, dueAt: 9_000 })],
            now: 3_500,
            chosen: ["timely"],
        },
        {
            name: "are the ones due first of those that can be in time",
            waiting: [
                makeRequest({ step: "later", since: 1_000, dueAt: 9_000 }),
                makeRequest({ step: "sooner", since: 2_000, dueAt: 8_000 }),
            ],
            now: 3_500,
            chosen: ["sooner"],
        },
        {
            // Guards against a gang that waits behind the requests of a later queue, for which it keeps no capacity.
            name: "are those of the earlier queue among steps without free capacity",
            waiting: [
                makeRequest({ step: "row", since: 1_000, priority: 2, hasCapacity: false, dueAt: 8_000 }),
                makeRequest({ step: "gang", since: 1_000, priority: 1, hasCapacity: false, dueAt: 9_000 }),
            ],
            now: 3_500,
            chosen: ["gang"],
        },
        {
            name: "are one for each queue and one for steps without free capacity",
            waiting: [
                makeRequest({ step: "gang" }),
                makeRequest({ step: "row", priority: 2 }),
                makeRequest({ step: "full", hasCapacity: false }),
            ],
            now: 5_000,
            chosen: ["gang", "row", "full"],
        },
    ];
    for (const { name, waiting, now, chosen } of cases) {
        it(name, async () => {
            const clock = new FakeClock();
            await clock.step(now);
            const late = new RequestShares(clock).chooseLate(waiting, NODES);
            assert.deepEqual(late.map(({ step }) => step), chosen);
        });
    }

    it("include one that is too late although timely ones never end", async () => {
        // Guards against an accepted job that is never run because newer ones can still be in time.
        const clock = new FakeClock();
        const shares = new RequestShares(clock);
        const other = makeRequest({ priority: 2 });
        const sent: string[] = [];
        while (clock.now() < 20_000 && !sent.includes("old")) {
            const now = clock.now();
            const timely = makeRequest({ step: "timely", since: now - 2_000, dueAt: now + 5_000 });
            const [next] = shares.chooseLate([old, timely, other], NODES);
            if (next !== undefined) {
                sent.push(next.step);
                shares.observeSent(next, REQUEST_MS);
            }
            await clock.step(REQUEST_MS / NODES);
        }
        assert.equal(sent.includes("old"), true);
    });
});
