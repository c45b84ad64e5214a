/** Which node puts which question to the advice service when. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AdviceDesk } from "../../process/dispatch/advice-desk.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { QuestionLine } from "./question-line.js";

const LONG = { decideMs: 559, perWorkerMs: 8, validMs: 2_000 };
const MEDIUM = { decideMs: 130, perWorkerMs: 2, validMs: 2_000 };

describe("AdviceDesk", () => {
    it("goes by the queue, then puts first questions before those that come again, and short ones before long ones", async () => {
        // Many gangs wait for room and ask again and again, a second each. A job of their own queue that has asked nothing
        // yet waited behind all of them.
        const clock = new FakeClock();
        const desk = new AdviceDesk(clock, createFakeLog());
        const line = new QuestionLine(desk);
        const sent: string[] = [];
        const enqueue = (step: string, policy: typeof LONG, priority: number, isFirst = true): void =>
            line.enqueue({
                step,
                priority,
                isFirst,
                workerIds: ["w1"],
                policy,
                isWanted: () => true,
                settle: () => undefined,
            });
        desk.addCaller({
            nodeName: "node-1",
            requestPermits: step => {
                sent.push(step);
                return new Promise(resolve => {
                    clock.schedule(100, () => resolve({ kind: "done", permits: [] }));
                });
            },
        });
        enqueue("under way", LONG, 1);
        enqueue("last queue", MEDIUM, 2);
        enqueue("long", LONG, 1);
        enqueue("again", MEDIUM, 1, false);
        enqueue("short", MEDIUM, 1);
        await clock.step(3_000);
        assert.deepEqual(sent, ["under way", "short", "long", "again", "last queue"]);
    });

    // Guards against work that is put off while questions about it cannot be made up for.
    for (
        const { name, answerMs, isShort } of [
            {
                name: "counts nodes as short that cannot put a question for seconds",
                answerMs: 4_000,
                isShort: true,
            },
            { name: "does not count nodes as short that put each soon", answerMs: 300, isShort: false },
        ]
    ) {
        it(name, async () => {
            const clock = new FakeClock();
            const desk = new AdviceDesk(clock, createFakeLog());
            const line = new QuestionLine(desk);
            desk.addCaller({
                nodeName: "node-1",
                requestPermits: () =>
                    new Promise(resolve => {
                        clock.schedule(answerMs, () => resolve({ kind: "done", permits: [] }));
                    }),
            });
            const ask = (step: string): void =>
                line.enqueue({ step, priority: 1, workerIds: ["w1"], policy: LONG, since: clock.now() });
            ask("first");
            ask("second");
            ask("third");
            await clock.step(3_100);
            ask("fourth");
            assert.equal(desk.isShort(), isShort);
            await clock.step(20_000);
            assert.equal(desk.isShort(), false);
        });
    }
});
