/** Tests the timeout of requests to the advice service. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { RequestQueue } from "./request-queue.js";

const POLICY = { decideMs: 80, perWorkerMs: 1, validMs: 2_500 };
const REQUEST_COUNT = 400;
const ANSWER_MS: Millis = 10;

describe("the timeout of a request to the advice service", () => {
    it("does not grow while the service is faster than its figures", async () => {
        // The service answers in an eighth of the time that its figures say. Each answer left the estimate of
        // the node's next free time further ahead. Timeouts count from there, so one lost answer delayed its
        // task for minutes.
        const clock = new FakeClock();
        const dispatcher = new AdviceDispatcher(clock, createFakeLog());
        const queue = new RequestQueue(dispatcher);
        const timeouts: Millis[] = [];
        dispatcher.addCaller({
            nodeName: "node-1",
            requestPermits: (...[, , timeout]) => {
                timeouts.push(timeout);
                return new Promise(resolve => {
                    clock.schedule(ANSWER_MS, () => resolve({ kind: "done", permits: [] }));
                });
            },
        });
        for (let number = 0; number < REQUEST_COUNT; number++) {
            queue.enqueue({
                step: `step ${number}`,
                workerIds: ["w1"],
                policy: POLICY,
                priority: 0,
                isFirst: true,
                isWanted: () => true,
                settle: () => undefined,
            });
        }
        await clock.step(REQUEST_COUNT * ANSWER_MS);
        assert.equal(timeouts.length, REQUEST_COUNT);
        assert.ok(Math.max(...timeouts) < 1_500, `up to ${Math.max(...timeouts)} ms`);
    });
});
