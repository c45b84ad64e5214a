/** Requests that the free slots can take are not shed for an estimate. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { createPlacementCore } from "../../../process/placement/index.js";
import { makeItem, makeSettings, makeWorker } from "./core-fixture.js";

const NOW = 100_000;

describe("a burst of service requests at an idle placer", () => {
    const cases = [
        { name: "as many as there are slots", slots: 4, requests: 4, started: 4 },
        {
            name: "more than the branch may use on the worker",
            slots: 4,
            slotsPerWorker: 2,
            requests: 3,
            started: 2,
        },
    ];
    for (const { name, slots, slotsPerWorker, requests, started } of cases) {
        it(`${name}: ${started} start`, () => {
            // A visitor sees: "not run, deadline" from an idle cell. Order: a placer has just attached its workers, two
            // requests arrive before it decides. Cause: no run time is learnt yet, and the default of 60 s per slot
            // made the wait of the second look longer than the longest allowed.
            const core = createPlacementCore();
            core.setSettings(
                makeSettings({ service: { maxWaitMs: 3_000, slotsPerWorker: slotsPerWorker ?? 8 } }),
            );
            core.upsertWorker(makeWorker(0, { slots }));
            core.setWorkerOpen("w0", true);
            for (let index = 0; index < requests; index++) {
                core.enqueue(makeItem(`r${index}`, "service", { queuedAt: NOW, deadline: NOW + 6_000 }), NOW);
            }
            const decisions = core.decide(NOW, createRandom(1));
            assert.equal(decisions.filter(decision => decision.kind === "start").length, started);
        });
    }
});
