/** Which node puts which question to the advice service when. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { AdviceDesk } from "../../process/dispatch/advice-desk.js";
import { FakeClock } from "../fakes/fake-clock.js";

const LONG = { decideMs: 559, perWorkerMs: 8, validMs: 2_000 };
const MEDIUM = { decideMs: 130, perWorkerMs: 2, validMs: 2_000 };

describe("AdviceDesk", () => {
    it("puts first questions before those that come again, and short ones before long ones", async () => {
        // Many gangs wait for room and ask again and again, a second each. A small job of the last queue came 16 s late
        // because its one question waited behind all of theirs.
        const clock = new FakeClock();
        const desk = new AdviceDesk(clock);
        const sent: string[] = [];
        const enqueue = (step: string, policy: typeof LONG, isFirst = true): void =>
            desk.enqueue({
                step,
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
                    clock.schedule(500, () => resolve({ kind: "done", permits: [] }));
                });
            },
        });
        enqueue("first", LONG);
        enqueue("second", LONG);
        enqueue("again", MEDIUM, false);
        enqueue("small", MEDIUM);
        await clock.step(2_500);
        assert.deepEqual(sent, ["first", "small", "second", "again"]);
    });
});
