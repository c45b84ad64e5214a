/** Requests for which slots are free are not shed because of an estimated wait. */
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
            // Guards against "not run, deadline" from an idle placer: before any run time is known, the
            // default of 60 s per slot made the estimated wait of the second of two requests, both queued
            // before the first decision, exceed the maximum.
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
