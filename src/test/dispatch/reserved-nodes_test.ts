/**
 * Tests that nodes reserved for short requests to the advice service do not stand idle beside long requests.
 *
 * Two nodes were left. Once the load had ended, large gangs still waited for their requests, and all of these went
 * through one node: a short request of a queue behind theirs every second or two kept the other one reserved.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceCaller } from "../../process/dispatch/advice-dispatcher.js";
import type { AdviceRequest } from "../../process/dispatch/request-shares.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog } from "../fakes/fake-telemetry.js";
import { RequestQueue } from "./request-queue.js";

const GANGS: AdvicePolicy = { decideMs: 410, perWorkerMs: 5.9, validMs: 2_500 };
const ROWS: AdvicePolicy = { decideMs: 82, perWorkerMs: 1.2, validMs: 2_500 };
const CHECKS: AdvicePolicy = { decideMs: 12, perWorkerMs: 0.17, validMs: 2_500 };
const GANG_WORKERS = Array.from({ length: 17 }, (...[, index]) => `w${index}`);
const ROW_WORKERS = GANG_WORKERS.slice(0, 10);
const GANG_PRIORITY = 1;
const GANG_COUNT = 40;
const FINISH_MS: Millis = 14_000;
const TICK_MS: Millis = 50;
/** Time for which a node may stand idle beside long requests once no short ones come: two of the long requests. */
const RELEASE_MS: Millis = 1_100;

/** Nodes for which the service answers one request at a time, and the requests that they sent. */
class ServedNodes {
    readonly clock = new FakeClock();
    private readonly dispatcher = new AdviceDispatcher(this.clock, createFakeLog());
    private readonly queue = new RequestQueue(this.dispatcher);
    private readonly tookMs = new Map<string, Millis>();
    private readonly waits = new Map<string, Millis>();

    constructor(count = 2) {
        for (let number = 1; number <= count; number++) {
            this.addNode(`node-${number}`);
        }
    }

    enqueue(step: string, policy: AdvicePolicy, workerIds: readonly string[], priority: number): void {
        const since = this.clock.now();
        this.tookMs.set(step, policy.decideMs + policy.perWorkerMs * workerIds.length);
        const settle: AdviceRequest["settle"] = () => void this.waits.set(step, this.clock.now() - since);
        this.queue.enqueue({ step, policy, workerIds, priority, since, settle });
    }

    /** Passes time, with a pass of the leader at each tick. */
    async step(ms: Millis): Promise<void> {
        for (let at: Millis = 0; at < ms; at += TICK_MS) {
            this.queue.refresh();
            await this.clock.step(TICK_MS);
        }
    }

    /** Lists the times from a request to its answer, of steps whose name begins with the prefix. */
    listWaits(prefix: string): readonly Millis[] {
        return [...this.waits].filter(([step]) => step.startsWith(prefix)).map(([, waitMs]) => waitMs);
    }

    private addNode(nodeName: string): void {
        let freeAt: Millis = 0;
        const requestPermits: AdviceCaller["requestPermits"] = step => {
            const now = this.clock.now();
            freeAt = Math.max(freeAt, now) + (this.tookMs.get(step) ?? 0);
            return new Promise(resolve => {
                this.clock.schedule(freeAt - now, () => resolve({ kind: "done", permits: [] }));
            });
        };
        this.dispatcher.addCaller({ nodeName, requestPermits });
    }
}

describe("a node that is reserved for short requests", () => {
    for (
        const { name, policy, workerIds, priority, everyMs } of [
            {
                name: "no short requests",
                policy: ROWS,
                workerIds: ROW_WORKERS,
                priority: 2,
                everyMs: Infinity,
            },
            {
                name: "a short request of a less urgent queue every 1.5 s",
                policy: ROWS,
                workerIds: ROW_WORKERS,
                priority: 2,
                everyMs: 1_500,
            },
        ]
    ) {
        // The two nodes together have time for all of them.
        it(`does not keep long requests waiting: ${name}`, async () => {
            const nodes = new ServedNodes();
            nodes.enqueue("row-first", ROWS, ROW_WORKERS, 2);
            for (let number = 0; number < GANG_COUNT; number++) {
                nodes.enqueue(`gang-${number}`, GANGS, GANG_WORKERS, GANG_PRIORITY);
            }
            for (let at: Millis = 0; at < FINISH_MS; at += TICK_MS) {
                if (at > 0 && at % everyMs === 0) {
                    nodes.enqueue(`row-${at}`, policy, workerIds, priority);
                }
                await nodes.clock.step(TICK_MS);
            }
            assert.equal(nodes.listWaits("gang").length, GANG_COUNT);
        });
    }

    for (
        const { nodeCount, checksEveryMs } of [
            { nodeCount: 2, checksEveryMs: 50 },
            { nodeCount: 3, checksEveryMs: 50 },
            { nodeCount: 3, checksEveryMs: 1_500 },
            { nodeCount: 8, checksEveryMs: 50 },
        ]
    ) {
        // Guards against a reservation that outlasts the load: nodes stood idle for seconds beside jobs that waited.
        it(`sends long requests once short ones end: ${nodeCount} nodes, every ${checksEveryMs} ms`, async () => {
            const nodes = new ServedNodes(nodeCount);
            for (let number = 0; number < GANG_COUNT * nodeCount; number++) {
                nodes.enqueue(`gang-${number}`, GANGS, GANG_WORKERS, GANG_PRIORITY);
            }
            for (let at: Millis = 0; at < FINISH_MS / 2; at += TICK_MS) {
                if (at % checksEveryMs === 0) {
                    nodes.enqueue(`check-${at}`, CHECKS, ROW_WORKERS, 0);
                }
                await nodes.step(TICK_MS);
            }
            const before = nodes.listWaits("gang").length;
            await nodes.step(FINISH_MS / 2);
            const requestMs = GANGS.decideMs + GANGS.perWorkerMs * GANG_WORKERS.length;
            const possible = Math.floor((FINISH_MS / 2 - RELEASE_MS) / requestMs) * nodeCount;
            const sent = nodes.listWaits("gang").length - before;
            assert.ok(sent >= possible, `${sent} of ${possible} long requests were answered`);
        });
    }

    it("keeps requests of quick jobs from waiting behind long ones", async () => {
        const nodes = new ServedNodes();
        for (let at: Millis = 0; at < FINISH_MS; at += TICK_MS) {
            if (at % 500 === 0) {
                nodes.enqueue(`gang-${at}`, GANGS, GANG_WORKERS, GANG_PRIORITY);
            }
            nodes.enqueue(`check-${at}`, CHECKS, ROW_WORKERS, 0);
            await nodes.clock.step(TICK_MS);
        }
        assert.deepEqual(nodes.listWaits("check").filter(waitMs => waitMs > 250), []);
    });
});
