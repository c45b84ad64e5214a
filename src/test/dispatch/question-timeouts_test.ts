/** How long a question to the advice service may take. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDesk } from "../../process/dispatch/advice-desk.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { QuestionLine } from "./question-line.js";

const POLICY = { decideMs: 80, perWorkerMs: 1, validMs: 2_500 };
const QUESTIONS = 400;
const ANSWER_MS: Millis = 10;

describe("the timeout of a question", () => {
    it("does not grow while the service is quicker than its figures", async () => {
        // The service answers in an eighth of the time that its figures say. Each answer left the estimate of the node's next
        // free moment further ahead, and timeouts count from there; the one answer that got lost then held its task up for
        // minutes.
        const clock = new FakeClock();
        const desk = new AdviceDesk(clock, createFakeLog());
        const line = new QuestionLine(desk);
        const timeouts: Millis[] = [];
        desk.addCaller({
            nodeName: "node-1",
            requestPermits: (...[, , timeout]) => {
                timeouts.push(timeout);
                return new Promise(resolve => {
                    clock.schedule(ANSWER_MS, () => resolve({ kind: "done", permits: [] }));
                });
            },
        });
        for (let number = 0; number < QUESTIONS; number++) {
            line.enqueue({
                step: `step ${number}`,
                workerIds: ["w1"],
                policy: POLICY,
                priority: 0,
                isFirst: true,
                isWanted: () => true,
                settle: () => undefined,
            });
        }
        await clock.step(QUESTIONS * ANSWER_MS);
        assert.equal(timeouts.length, QUESTIONS);
        assert.ok(Math.max(...timeouts) < 1_500, `up to ${Math.max(...timeouts)} ms`);
    });
});
