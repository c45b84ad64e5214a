/** Capacity that a step withholds from steps behind it while its request to the advice service is pending. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { HOST, LeaderCell, makeJobId, makeSpec, QUEUE, WORKER_CAPACITY } from "./leader-cell.js";

const RUN_MS: Millis = 4_000;
const OUTAGE_MS: Millis = 60_000;
const PLAIN: QueueConfig = { ...QUEUE, name: "plain", pathPrefix: "/plain/", priority: 2 };
const ASKING: QueueConfig = {
    ...QUEUE,
    name: "asking",
    pathPrefix: "/asking/",
    priority: 1,
    advice: { decideMs: 100, perWorkerMs: 2, validMs: 2_000 },
};

describe("a step whose advice request is pending", () => {
    it("does not withhold empty workers from a step behind it during an outage of the service", async () => {
        // The advice service was unreachable for a minute. A task's permit for a busy worker expired; when
        // the worker became empty the task waited for its request, and a task of another queue, which needs
        // no permit, waited beside the empty worker for the whole minute.
        const cell = new LeaderCell(1);
        cell.config = { ...cell.config, queues: [PLAIN, ASKING] };
        cell.getBehavior = () => ({ demand: WORKER_CAPACITY, runMs: RUN_MS, end: "done" });
        const { leader } = await cell.startLeader();
        let isAway = false;
        leader.addCaller({
            nodeName: "node-1",
            requestPermits: (...[, workerIds]) =>
                Promise.resolve(
                    isAway ? { kind: "failed", message: "the service is away" } : {
                        kind: "done",
                        permits: workerIds.map(workerId => ({ workerId, token: "t" })),
                    },
                ),
        });
        const submit = (job: number, prefix: string): void => {
            const spec = makeSpec({ demand: WORKER_CAPACITY, estimateMs: RUN_MS });
            const path = `${prefix}${makeJobId(job)}`;
            void leader.serve({ kind: "submit", host: HOST, path, spec });
        };
        await cell.clock.step(200);
        submit(1, PLAIN.pathPrefix);
        await cell.clock.step(500);
        submit(3, PLAIN.pathPrefix);
        await cell.clock.step(100);
        submit(2, ASKING.pathPrefix);
        await cell.clock.step(500);
        isAway = true;
        await cell.clock.step(OUTAGE_MS);
        assert.deepEqual([1, 2, 3].map(job => cell.countStarts(job)), [1, 0, 1]);
    });
});
