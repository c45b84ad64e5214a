/** Tests requests to the advice service that a node's caller never answers. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceAnswer } from "../../process/ports/task-worker-port.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog, listCodes } from "../fakes/fake-telemetry.js";
import { RequestQueue } from "./request-queue.js";

const POLICY = { decideMs: 82, perWorkerMs: 1.2, validMs: 2_500 };

describe("AdviceDispatcher with a caller that does not answer", () => {
    const cases: { name: string; ask: () => Promise<AdviceAnswer>; }[] = [
        { name: "throws", ask: () => assert.fail("no way there") },
        { name: "rejects", ask: () => Promise.reject(new Error("no way there")) },
        { name: "stays silent", ask: () => new Promise(() => undefined) },
    ];
    for (const { name, ask } of cases) {
        it(`settles every request if it ${name}`, async () => {
            // A step has one request at a time. One that was never settled kept the step from making another,
            // so its accepted task waited forever beside empty workers.
            const clock = new FakeClock();
            const log = createFakeLog();
            const dispatcher = new AdviceDispatcher(clock, log);
            const queue = new RequestQueue(dispatcher);
            const settled: (string | undefined)[] = [];
            dispatcher.addCaller({ nodeName: "node-1", requestPermits: ask });
            for (const step of ["first", "second", "third"]) {
                queue.enqueue({
                    step,
                    workerIds: ["w1"],
                    policy: POLICY,
                    priority: 0,
                    isFirst: true,
                    isWanted: () => true,
                    settle: answer => settled.push(answer?.kind),
                });
            }
            await clock.step(5_000);
            assert.deepEqual(settled, ["failed", "failed", "failed"]);
            assert.equal(dispatcher.countWaiting(), 0);
            assert.deepEqual(listCodes(log), ["CR1619", "CR1619", "CR1619"]);
        });
    }
});
