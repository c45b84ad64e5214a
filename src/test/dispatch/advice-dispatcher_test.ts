/** Tests which node sends which request to the advice service, and when. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { RequestQueue } from "./request-queue.js";

const LONG = { decideMs: 559, perWorkerMs: 8, validMs: 2_000 };
const MEDIUM = { decideMs: 130, perWorkerMs: 2, validMs: 2_000 };

describe("AdviceDispatcher", () => {
    it("orders requests by queue priority, then first ones before renewals, then short ones before long ones", async () => {
        // Many gangs waited for capacity and repeated their requests of a second each. A job of their own
        // queue that had made no request yet waited behind all of them.
        const clock = new FakeClock();
        const dispatcher = new AdviceDispatcher(clock, createFakeLog());
        const queue = new RequestQueue(dispatcher);
        const sent: string[] = [];
        const enqueue = (step: string, policy: typeof LONG, priority: number, isFirst = true): void =>
            queue.enqueue({
                step,
                priority,
                isFirst,
                workerIds: ["w1"],
                policy,
                isWanted: () => true,
                settle: () => undefined,
            });
        dispatcher.addCaller({
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

    // Work must not be deferred while the nodes are overloaded, as its requests could not be made up for.
    for (
        const { name, answerMs, isShort } of [
            {
                name: "counts nodes as overloaded that cannot send a request for seconds",
                answerMs: 4_000,
                isShort: true,
            },
            {
                name: "does not count nodes as overloaded that send each request soon",
                answerMs: 300,
                isShort: false,
            },
        ]
    ) {
        it(name, async () => {
            const clock = new FakeClock();
            const desk = new AdviceDispatcher(clock, createFakeLog());
            const queue = new RequestQueue(desk);
            desk.addCaller({
                nodeName: "node-1",
                requestPermits: () =>
                    new Promise(resolve => {
                        clock.schedule(answerMs, () => resolve({ kind: "done", permits: [] }));
                    }),
            });
            const ask = (step: string): void =>
                queue.enqueue({ step, priority: 1, workerIds: ["w1"], policy: LONG, since: clock.now() });
            ask("first");
            ask("second");
            ask("third");
            await clock.step(3_100);
            ask("fourth");
            assert.equal(desk.isOverloaded(), isShort);
            await clock.step(20_000);
            assert.equal(desk.isOverloaded(), false);
        });
    }
});
