/**
 * Jobs that stood still long after a load, beside mostly empty workers, because two nodes were left to send requests to
 * the advice service and one of them was reserved for short requests of which there were hardly any.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { makeJobId } from "../leader/leader-cell.js";
import type { UsedRequest } from "./advice-use.js";
import { FEW_CALLERS_LOAD, pickJobs } from "./load-profile.js";
import { PlayedLoad } from "./played-load.js";
import { FINISH_MS } from "./stalled-jobs.js";

/** Estimates how long the service takes for one request of each step that still made one after the load. */
function estimateNeedMs(requests: readonly UsedRequest[], seed: number): Millis {
    const policies = new Map(
        pickJobs(FEW_CALLERS_LOAD, seed).map(({ number, kind }) => [makeJobId(number), kind.queue.advice]),
    );
    const needs = new Map<string, Millis>();
    for (const { step, workers, sentAt } of requests) {
        const policy = policies.get(step.split(".")[0] ?? "");
        if (sentAt >= FEW_CALLERS_LOAD.durationMs && policy !== undefined) {
            const tookMs = policy.decideMs + policy.perWorkerMs * workers;
            needs.set(step, Math.max(needs.get(step) ?? 0, tookMs));
        }
    }
    return [...needs.values()].reduce((sum, ms) => sum + ms, 0);
}

describe("a load with a burst, of which few nodes that can send requests are left", () => {
    for (
        const { seed, remaining } of [
            { seed: 17, remaining: 3 },
            { seed: 4, remaining: 2 },
            { seed: 17, remaining: 2 },
        ]
    ) {
        it(`leaves no job standing still 14 s after it: seed ${seed}, ${remaining} nodes`, async context => {
            const profile = { ...FEW_CALLERS_LOAD, nodeLoss: { at: 12_000, remaining } };
            const { stalled, advice, faults } = await new PlayedLoad(profile, seed).play();
            const needMs = estimateNeedMs(advice.requests, seed);
            context.diagnostic(
                `${Math.round(needMs)} ms of requests after the load, ${
                    FINISH_MS * remaining
                } ms of nodes until jobs are observed`,
            );
            assert.deepEqual(faults, []);
            assert.ok(needMs < FINISH_MS * remaining, "the nodes cannot send one request for each step");
            assert.deepEqual(stalled, []);
        });
    }

    for (const seed of [2, 3, 4]) {
        // Guards against more accepted work than the nodes can send requests for: large jobs stood still for half a minute.
        it(`leaves no job standing if it is more than the nodes can send requests for: seed ${seed}`, async context => {
            const profile = {
                ...FEW_CALLERS_LOAD,
                adviceSlowness: 1.6,
                nodeLoss: { at: 12_000, remaining: 2 },
            };
            const { standing, classes, faults } = await new PlayedLoad(profile, seed).play();
            classes.forEach(({ name, jobs, inTime, late, refused }) =>
                context.diagnostic(`${name}: ${inTime} in time, ${late} late, ${refused} refused of ${jobs}`)
            );
            assert.deepEqual(faults, []);
            assert.deepEqual(standing, []);
            assert.equal(classes.find(({ name }) => name === "checks")?.refused, 0);
        });
    }

    // Guards against an order by waiting time, with which every job of an overloaded queue is late. Checks are the most
    // urgent queue and need a quarter of the time that two nodes have.
    it("keeps four fifths of the quick jobs in time while the nodes cannot send all requests", async () => {
        const profile = {
            ...FEW_CALLERS_LOAD,
            adviceSlowness: 4 / 3,
            nodeLoss: { at: 12_000, remaining: 2 },
        };
        const { classes, faults } = await new PlayedLoad(profile, 1).play();
        const checks = classes.find(({ name }) => name === "checks");
        assert.deepEqual(faults, []);
        assert.ok(checks !== undefined);
        assert.ok(checks.inTime >= checks.jobs * 0.8, `${checks.inTime} of ${checks.jobs} in time`);
    });
});
