/** Tests a leader's session with one worker. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { WorkerSession } from "../../process/dispatch/worker-session.js";
import type { TaskWorkerPort } from "../../process/ports/task-worker-port.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";

const WORKER_NOW = 50_000;
const ORDER_LIFE_MS = 1_000;

describe("WorkerSession", () => {
    it("counts an order's deadline as a lease", async () => {
        // A new leader gave a worker a task before a report request had renewed a lease there, and the worker
        // became silent. It counted as lost at once, so its task was started elsewhere while it ran on until
        // the order's deadline.
        const clock = new FakeClock();
        const port: TaskWorkerPort = {
            start: () => Promise.resolve({ kind: "done", value: WORKER_NOW }),
            stop: () => Promise.resolve({ kind: "done", value: WORKER_NOW }),
            report: () =>
                Promise.resolve({ kind: "done", value: { workerNow: WORKER_NOW, running: [], ended: [] } }),
            forget: () => undefined,
        };
        const session = new WorkerSession({
            worker: { workerId: "w1", address: "" },
            port,
            clock,
            log: createFakeLog(true),
            metrics: createFakeMetrics(),
            epoch: 2,
            fencingEpoch: 2,
            leaseMs: 4_500,
            inheritedLeaseEnd: -Infinity,
            listener: {
                handleReport: () => undefined,
                handleReachabilityChange: () => undefined,
                handleConnectionFailure: () => undefined,
                handleReplaced: () => undefined,
                handleFenced: () => undefined,
                handleSuspended: () => undefined,
                mayExtendLeases: () => true,
                computeReportGap: () => 150,
                computeReportWait: () => 1_000,
                computeHedgeDelay: () => 150,
                handleCall: () => undefined,
                mayHedge: () => true,
                handleLostAnswer: () => undefined,
            },
        });
        void session.run();
        await clock.step(10);
        const workerDeadline = WORKER_NOW + ORDER_LIFE_MS;
        await session.start({
            task: "t",
            run: 1,
            payload: "",
            workerDeadline,
            checkpoint: "",
            permit: undefined,
        });
        assert.ok(session.getLeaseEnd() >= clock.now() + ORDER_LIFE_MS - 10, `${session.getLeaseEnd()}`);
        session.close();
    });
});
