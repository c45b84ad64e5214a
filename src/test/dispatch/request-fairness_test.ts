/**
 * Tests that each queue gets a share of the nodes that call the advice service, however many requests others
 * make.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { RequestQueue } from "./request-queue.js";
import type { TestRequest } from "./request-queue.js";

const SHORT: AdvicePolicy = { decideMs: 20, perWorkerMs: 1, validMs: 2_500 };
const MEDIUM: AdvicePolicy = { decideMs: 130, perWorkerMs: 2, validMs: 2_500 };
const LONG: AdvicePolicy = { decideMs: 590, perWorkerMs: 8, validMs: 2_500 };
const NODE_COUNT = 2;
const LOAD_MS: Millis = 20_000;

/** Nodes that answer one request at a time, as slowly as the policy says. */
class AskingNodes {
    readonly clock = new FakeClock();
    readonly sent: string[] = [];
    private readonly dispatcher = new AdviceDispatcher(this.clock, createFakeLog());
    private readonly queue = new RequestQueue(this.dispatcher);

    constructor(private readonly policies: ReadonlyMap<string, AdvicePolicy>) {
        for (let number = 1; number <= NODE_COUNT; number++) {
            this.addNode(`node-${number}`);
        }
    }

    enqueue(request: TestRequest): void {
        this.queue.enqueue({ since: this.clock.now(), ...request });
    }

    private addNode(nodeName: string): void {
        let freeAt: Millis = 0;
        this.dispatcher.addCaller({
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

describe("a request to the advice service that has waited long", () => {
    it("is sent beside more short requests than the nodes can send", async () => {
        // Few nodes were left, and short requests came faster than these could send them. Each node always
        // had two short requests in flight, while a long request waited for a node with none, so a task of
        // the last queue never got its permit.
        const nodes = new AskingNodes(new Map([["quick", SHORT]]));
        nodes.enqueue({ step: "task", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
        for (let at: Millis = 0; at < LOAD_MS; at += 5) {
            if (at === 0) {
                nodes.enqueue({ step: "late", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
                nodes.enqueue({ step: "later", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
            }
            nodes.enqueue({ step: "quick", workerIds: ["w1"], policy: SHORT, priority: 0 });
            await nodes.clock.step(5);
        }
        assert.deepEqual(["late", "later"].filter(step => !nodes.sent.includes(step)), []);
    });

    it("is sent even if its step has no free capacity yet", async () => {
        // A gang could get capacity only by preemption, which waits until it is known which workers may run
        // the gang. Requests of the last queue had free capacity and came faster than the nodes could send
        // them, so the gang's request was never sent.
        const nodes = new AskingNodes(new Map());
        nodes.enqueue({ step: "busy", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
        nodes.enqueue({ step: "busy", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
        nodes.enqueue({ step: "gang", workerIds: ["w1"], policy: MEDIUM, priority: 0, hasCapacity: false });
        for (let at: Millis = 0; at < LOAD_MS; at += 50) {
            nodes.enqueue({ step: "task", workerIds: ["w1"], policy: MEDIUM, priority: 2 });
            await nodes.clock.step(50);
        }
        assert.equal(nodes.sent.includes("gang"), true);
    });

    it("does not go before a more urgent one if its queue has had its share", async () => {
        // Requests of large jobs came faster than the nodes could send them, so one of them was always late
        // and went first. Requests of the queue before theirs waited behind these until they were late
        // themselves.
        const nodes = new AskingNodes(new Map([["large", LONG], ["urgent", LONG]]));
        const waits: Millis[] = [];
        for (let at: Millis = 0; at < LOAD_MS; at += 50) {
            nodes.enqueue({ step: "large", workerIds: ["w1"], policy: LONG, priority: 1 });
            if (at % 3_000 === 700) {
                const since = nodes.clock.now();
                const settle = (): void => void waits.push(nodes.clock.now() - since);
                nodes.enqueue({ step: "urgent", workerIds: ["w1"], policy: LONG, priority: 0, settle });
            }
            await nodes.clock.step(50);
        }
        const limit = 2 * (LONG.decideMs + LONG.perWorkerMs);
        assert.deepEqual(waits.filter(wait => wait > limit), []);
        assert.equal(waits.length, 7);
    });
});
