/** Each queue gets its turn at the nodes that ask the advice service, whatever the others put. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDesk } from "../../process/dispatch/advice-desk.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { QuestionLine } from "./question-line.js";
import type { TestQuestion } from "./question-line.js";

const SHORT: AdvicePolicy = { decideMs: 20, perWorkerMs: 1, validMs: 2_500 };
const MEDIUM: AdvicePolicy = { decideMs: 130, perWorkerMs: 2, validMs: 2_500 };
const LONG: AdvicePolicy = { decideMs: 590, perWorkerMs: 8, validMs: 2_500 };
const NODES = 2;
const LOAD_MS: Millis = 20_000;

/** Nodes that answer one question at a time, as slowly as the policy says. */
class Line {
    readonly clock = new FakeClock();
    readonly sent: string[] = [];
    private readonly desk = new AdviceDesk(this.clock, createFakeLog());
    private readonly line = new QuestionLine(this.desk);

    constructor(private readonly policies: ReadonlyMap<string, AdvicePolicy>) {
        for (let number = 1; number <= NODES; number++) {
            this.addNode(`node-${number}`);
        }
    }

    enqueue(question: TestQuestion): void {
        this.line.enqueue({ since: this.clock.now(), ...question });
    }

    private addNode(nodeName: string): void {
        let freeAt: Millis = 0;
        this.desk.addCaller({
            nodeName,
            requestPermits: (step, workerIds) => {
                this.sent.push(step);
                const { decideMs, perWorkerMs } = this.policies.get(step) ?? MEDIUM;
                freeAt = Math.max(freeAt, this.clock.now()) + decideMs + perWorkerMs * workerIds.length;
                return new Promise(resolve => {
                    this.clock.schedule(
                        freeAt - this.clock.now(),
                        () => resolve({ kind: "done", permits: [] }),
                    );
                });
            },
        });
    }
}

describe("a question that has waited long", () => {
    it("is put beside more short questions than the nodes can put", async () => {
        // Few nodes were left, and quick jobs came faster than these could ask. A task of the last queue stood still for as
        // long as they came: each node had two short questions under way, and whenever one was answered the next short one
        // took its place, while a long one waited for a node with none.
        const line = new Line(new Map([["quick", SHORT]]));
        line.enqueue({ step: "task", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
        for (let at: Millis = 0; at < LOAD_MS; at += 5) {
            if (at === 0) {
                line.enqueue({ step: "late", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
                line.enqueue({ step: "later", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
            }
            line.enqueue({ step: "quick", workerIds: ["w1"], policy: SHORT, priority: 0 });
            await line.clock.step(5);
        }
        assert.deepEqual(["late", "later"].filter(step => !line.sent.includes(step)), []);
    });

    it("is put also if its step has no room yet", async () => {
        // A gang of the first queue needed room that only stops of less urgent tasks could make, and no stop is ordered
        // before it is known which workers may run the gang. Tasks of the last queue had room and came faster than the nodes
        // could ask, so the gang's question was never put and the gang never started.
        const line = new Line(new Map());
        line.enqueue({ step: "busy", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
        line.enqueue({ step: "busy", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
        line.enqueue({ step: "gang", workerIds: ["w1"], policy: MEDIUM, priority: 0, hasRoom: false });
        for (let at: Millis = 0; at < LOAD_MS; at += 50) {
            line.enqueue({ step: "task", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
            await line.clock.step(50);
        }
        assert.equal(line.sent.includes("gang"), true);
    });

    it("does not go before a more urgent one if its queue has had its share", async () => {
        // Large jobs came faster than the nodes could ask, so one of their questions had always waited too long and went
        // first. Each question of the queue before theirs stood behind these until it had waited too long itself.
        const line = new Line(new Map([["large", LONG], ["urgent", LONG]]));
        const waits: Millis[] = [];
        for (let at: Millis = 0; at < LOAD_MS; at += 50) {
            line.enqueue({ step: "large", workerIds: ["w1"], policy: LONG, priority: 1 });
            if (at % 3_000 === 700) {
                const since = line.clock.now();
                const settle = (): void => void waits.push(line.clock.now() - since);
                line.enqueue({ step: "urgent", workerIds: ["w1"], policy: LONG, priority: 0, settle });
            }
            await line.clock.step(50);
        }
        const limit = 2 * (LONG.decideMs + LONG.perWorkerMs);
        assert.deepEqual(waits.filter(wait => wait > limit), []);
        assert.equal(waits.length, 7);
    });
});
