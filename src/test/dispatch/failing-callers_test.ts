/** Questions to the advice service while some nodes are cut off from it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDesk } from "../../process/dispatch/advice-desk.js";
import type { AdviceCaller } from "../../process/dispatch/advice-desk.js";
import type { AdviceAnswer } from "../../process/ports/task-worker-port.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { QuestionLine } from "./question-line.js";

const LONG = { decideMs: 410, perWorkerMs: 5.9, validMs: 2_500 };
const SHORT = { decideMs: 82, perWorkerMs: 1.2, validMs: 2_500 };
const WORKERS = Array.from({ length: 8 }, (...[, index]) => `w${index}`);
/** Pause of a step after a question that failed. */
const RETRY_MS: Millis = 150;

describe("nodes that are cut off from the advice service", () => {
    const cases = [
        { name: "one", cutOff: ["n1"] },
        { name: "two", cutOff: ["n1", "n2"] },
        { name: "three", cutOff: ["n1", "n2", "n3"] },
    ];
    for (const { name, cutOff } of cases) {
        it(`do not get the same step's question again and again: ${name} of five`, async () => {
            // A task stands still for as long as gangs go on to ask, with room free: the nodes that reach the service are
            // always busy with long questions, so those that do not seem to be free first. A question fails there after its
            // timeout, and is put again when the pause of another such node has passed.
            const clock = new FakeClock();
            const desk = new AdviceDesk(clock, createFakeLog());
            const line = new QuestionLine(desk);
            for (const nodeName of ["n1", "n2", "n3", "n4", "n5"]) {
                desk.addCaller(buildCaller(clock, nodeName, cutOff.includes(nodeName)));
            }
            const askLong = (number: number): void =>
                line.enqueue({
                    step: `long ${number}`,
                    workerIds: WORKERS,
                    policy: LONG,
                    priority: 1,
                    isFirst: true,
                    isWanted: () => true,
                    settle: () => askLong(number),
                });
            for (let number = 0; number < 20; number++) {
                askLong(number);
            }
            await clock.step(2_000);
            let failures = 0;
            let answeredAt: Millis | undefined;
            const askShort = (): void =>
                line.enqueue({
                    step: "short",
                    workerIds: WORKERS,
                    policy: SHORT,
                    priority: 2,
                    isFirst: true,
                    isWanted: () => true,
                    settle: answer => {
                        if (answer?.kind === "done") {
                            answeredAt = clock.now();
                            return;
                        }
                        failures += 1;
                        clock.schedule(RETRY_MS, askShort);
                    },
                });
            askShort();
            await clock.step(30_000);
            assert.ok(answeredAt !== undefined && answeredAt < 8_000, `${answeredAt}, ${failures} failed`);
        });
    }
});

/** Builds a node; one that is cut off hears nothing and gives up after the timeout. */
function buildCaller(clock: FakeClock, nodeName: string, isCutOff: boolean): AdviceCaller {
    let freeAt = 0;
    return {
        nodeName,
        requestPermits: (step, workerIds, timeout) =>
            new Promise<AdviceAnswer>(resolve => {
                if (isCutOff) {
                    clock.schedule(timeout, () => resolve({ kind: "failed", message: "no answer" }));
                    return;
                }
                const policy = step.startsWith("long") ? LONG : SHORT;
                freeAt = Math.max(freeAt, clock.now()) + policy.decideMs +
                    policy.perWorkerMs * workerIds.length;
                clock.schedule(freeAt - clock.now(), () => resolve({ kind: "done", permits: [] }));
            }),
    };
}
