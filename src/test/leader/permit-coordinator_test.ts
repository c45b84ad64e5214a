/** Which requests to the advice service are pending after a pass. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { AdviceDispatcher } from "../../process/dispatch/advice-dispatcher.js";
import type { PermitRequest } from "../../process/dispatch/plan.js";
import { rankStep } from "../../process/dispatch/urgency.js";
import { JobRegistry } from "../../process/jobs/job-registry.js";
import { PermitCoordinator } from "../../process/leader/permit-coordinator.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";
import { makeJobId, makeSpec, QUEUE } from "./leader-cell.js";

const ASKING: QueueConfig = { ...QUEUE, advice: { decideMs: 100, perWorkerMs: 2, validMs: 2_500 } };
const REFRESH_MS: Millis = 250;

/** A step that needs permits, and the component that requests them. */
class PermitFixture {
    readonly clock = new FakeClock();
    readonly advice = new AdviceDispatcher(this.clock, createFakeLog());
    readonly coordinator: PermitCoordinator;
    private readonly jobs = new JobRegistry();

    constructor() {
        const { clock } = this;
        const log = createFakeLog();
        this.coordinator = new PermitCoordinator(
            { clock, log, metrics: createFakeMetrics(), requestPass: () => undefined },
            this.advice,
        );
        this.jobs.apply({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec: makeSpec({}), at: 0 });
    }

    makeRequest(workerIds: readonly string[], hasCapacity: boolean): PermitRequest {
        const [step] = this.jobs.listRunnable();
        assert(step !== undefined);
        return { urgency: rankStep(step, ASKING, 0), workerIds, hasCapacity };
    }
}

describe("PermitCoordinator", () => {
    it("keeps a pending request that becomes outdated while a pass is computed", async () => {
        // A pending request was dropped although its step needed the answer and a node was about to be free:
        // the pass took a few milliseconds, found the request still fresh and did not renew it, and by its
        // end the request was outdated.
        const fixture = new PermitFixture();
        fixture.coordinator.requestPermits([fixture.makeRequest(["w1"], true)], fixture.clock.now());
        await fixture.clock.step(REFRESH_MS - 1);
        const begin = fixture.clock.now();
        await fixture.clock.step(2);
        fixture.coordinator.requestPermits([], begin);
        assert.equal(fixture.advice.countWaiting(), 1);
    });

    it("sends the request with which a step could start if it needs two", async () => {
        // A gang had reserved part of its capacity and needed its permits there renewed, which starts nothing
        // yet. Other workers had capacity for the whole gang, and the request about those was dropped in
        // favor of the renewal.
        const fixture = new PermitFixture();
        const asked: string[] = [];
        fixture.advice.addCaller({
            nodeName: "node-1",
            requestPermits: (...[, workerIds]) => {
                asked.push(...workerIds);
                return Promise.resolve({ kind: "done", permits: [] });
            },
        });
        const requests = [fixture.makeRequest(["kept"], false), fixture.makeRequest(["empty"], true)];
        fixture.coordinator.requestPermits(requests, fixture.clock.now());
        await fixture.clock.step(1);
        assert.deepEqual(asked, ["empty"]);
    });
});
