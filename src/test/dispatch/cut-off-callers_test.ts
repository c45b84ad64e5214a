/** Tests long requests to the advice service while the nodes that may send them are cut off from it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceAnswer } from "../../process/ports/task-worker-port.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { RequestQueue } from "./request-queue.js";

const LONG = { decideMs: 559, perWorkerMs: 8, validMs: 2_000 };
const RETRY_MS: Millis = 150;

describe("a long request to the advice service", () => {
    const cases: { name: string; answer: AdviceAnswer; afterMs: Millis; }[] = [
        { name: "fail at once", answer: { kind: "failed", message: "no way there" }, afterMs: 4 },
        { name: "are answered as busy", answer: { kind: "busy" }, afterMs: 4 },
        { name: "get no answer", answer: { kind: "failed", message: "no answer" }, afterMs: 1_700 },
    ];
    for (const { name, answer, afterMs } of cases) {
        it(`goes to a node reserved for short ones if all others ${name}`, async () => {
            // Two of three nodes are reserved for short requests, and the third is cut off from the service.
            // Every long request failed there, and its gang never started while the two others were idle.
            const clock = new FakeClock();
            const dispatcher = new AdviceDispatcher(clock, createFakeLog());
            const queue = new RequestQueue(dispatcher);
            const done: Millis[] = [];
            const addNode = (nodeName: string, reply: AdviceAnswer, takesMs: Millis): void =>
                dispatcher.addCaller({
                    nodeName,
                    requestPermits: () =>
                        new Promise(resolve => {
                            clock.schedule(takesMs, () => resolve(reply));
                        }),
                });
            addNode("node-1", { kind: "done", permits: [] }, 567);
            addNode("node-2", { kind: "done", permits: [] }, 567);
            addNode("node-3", answer, afterMs);
            const enqueue = (): void =>
                queue.enqueue({
                    step: "gang",
                    workerIds: ["w1"],
                    policy: LONG,
                    priority: 0,
                    isFirst: true,
                    isWanted: () => true,
                    settle: given => {
                        if (given?.kind === "done") {
                            done.push(clock.now());
                        }
                        else {
                            clock.schedule(RETRY_MS, enqueue);
                        }
                    },
                });
            enqueue();
            await clock.step(10_000);
            assert.equal(done.length, 1);
            assert.ok((done[0] ?? Infinity) < 3_000, `answered at ${done[0]}`);
        });
    }
});
