/** Which questions stand in line for the advice service after a pass. */
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

/** A step that wants an answer, and the desk that puts its question. */
class Line {
    readonly clock = new FakeClock();
    readonly advice = new AdviceDispatcher(this.clock, createFakeLog());
    readonly desk: PermitCoordinator;
    private readonly book = new JobRegistry();

    constructor() {
        const { clock } = this;
        const log = createFakeLog();
        this.desk = new PermitCoordinator(
            { clock, log, metrics: createFakeMetrics(), requestPass: () => undefined },
            this.advice,
        );
        this.book.apply({ type: "accepted", jobId: makeJobId(1), queue: "batch", spec: makeSpec({}), at: 0 });
    }

    makeWish(workerIds: readonly string[], hasRoom: boolean): PermitRequest {
        const [step] = this.book.listRunnable();
        assert(step !== undefined);
        return { urgency: rankStep(step, ASKING, 0), workerIds, hasCapacity: hasRoom };
    }
}

describe("PermitDesk", () => {
    it("leaves a question in line that grows old while a pass is computed", async () => {
        // A step's question went out of the line though its step wanted the answer and a node was about to be free: the pass
        // took a few milliseconds, found the question still fresh and so did not put it anew, and by its end it had grown old.
        const line = new Line();
        line.desk.requestPermits([line.makeWish(["w1"], true)], line.clock.now());
        await line.clock.step(REFRESH_MS - 1);
        const begin = line.clock.now();
        await line.clock.step(2);
        line.desk.requestPermits([], begin);
        assert.equal(line.advice.countWaiting(), 1);
    });

    it("puts the question with which a step could start, if it wants two", async () => {
        // A gang kept a part of its room and wanted permits there renewed, which starts nothing yet. Workers that it had not
        // asked about had room for all of it, and the question about those was dropped for the other one.
        const line = new Line();
        const asked: string[] = [];
        line.advice.addCaller({
            nodeName: "node-1",
            requestPermits: (...[, workerIds]) => {
                asked.push(...workerIds);
                return Promise.resolve({ kind: "done", permits: [] });
            },
        });
        const wishes = [line.makeWish(["kept"], false), line.makeWish(["empty"], true)];
        line.desk.requestPermits(wishes, line.clock.now());
        await line.clock.step(1);
        assert.deepEqual(asked, ["empty"]);
    });
});
