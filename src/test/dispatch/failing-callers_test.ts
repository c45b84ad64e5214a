/** Tests requests to the advice service while some nodes are cut off from it. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceCaller } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceAnswer } from "../../process/ports/task-worker-port.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { RequestQueue } from "./request-queue.js";

const LONG = { decideMs: 410, perWorkerMs: 5.9, validMs: 2_500 };
const SHORT = { decideMs: 82, perWorkerMs: 1.2, validMs: 2_500 };
const WORKERS = Array.from({ length: 8 }, (...[, index]) => `w${index}`);
/** Pause of a step after a failed request. */
const RETRY_MS: Millis = 150;

describe("nodes that are cut off from the advice service", () => {
    const cases = [
        { name: "one", cutOff: ["n1"] },
        { name: "two", cutOff: ["n1", "n2"] },
        { name: "three", cutOff: ["n1", "n2", "n3"] },
    ];
    for (const { name, cutOff } of cases) {
        it(`do not get the same step's request repeatedly: ${name} of five`, async () => {
            // The nodes that reach the service are always busy with long requests of gangs, so those cut off
            // seem free first. A short request failed there after its timeout, and was sent again just when
            // the pause of another such node had ended, for as long as the gangs went on.
            const clock = new FakeClock();
            const dispatcher = new AdviceDispatcher(clock, createFakeLog());
            const queue = new RequestQueue(dispatcher);
            for (const nodeName of ["n1", "n2", "n3", "n4", "n5"]) {
                dispatcher.addCaller(buildCaller(clock, nodeName, cutOff.includes(nodeName)));
            }
            const requestLong = (number: number): void =>
                queue.enqueue({
                    step: `long ${number}`,
                    workerIds: WORKERS,
                    policy: LONG,
                    priority: 1,
                    isFirst: true,
                    isWanted: () => true,
                    settle: () => requestLong(number),
                });
            for (let number = 0; number < 20; number++) {
                requestLong(number);
            }
            await clock.step(2_000);
            let failures = 0;
            let answeredAt: Millis | undefined;
            const requestShort = (): void =>
                queue.enqueue({
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
                        clock.schedule(RETRY_MS, requestShort);
                    },
                });
            requestShort();
            await clock.step(30_000);
            assert.ok(answeredAt !== undefined && answeredAt < 8_000, `${answeredAt}, ${failures} failed`);
        });
    }
});

/** Builds a node; one that is cut off gets no answers and gives up after the timeout. */
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
