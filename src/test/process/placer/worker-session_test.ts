/** The conversation with one worker, over the stand-in's model: when it is lost, and when it is not. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { type SessionListener, WorkerSession } from "../../../process/placer/worker-session.js";
import type { OwnershipView } from "../../../process/roles.js";
import { WorkerModel } from "../../../stand-ins/index.js";
import { DEFAULT_CELL } from "../../../version/settings.js";
import { CallPath } from "../../fakes/call-path.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics } from "../../fakes/fake-telemetry.js";
import { FakeWorkerPort } from "../../fakes/fake-worker-port.js";
import { PausableClock } from "../../fakes/pausable-clock.js";

const LEASE_MS = 20_000;
const CELL = { ...DEFAULT_CELL, workerLeaseMs: LEASE_MS, clockDrift: 0 };

interface Scene {
    readonly clock: FakeClock;
    readonly worker: WorkerModel;
    readonly path: CallPath;
    readonly session: WorkerSession;
    /** What the session told, in order. */
    readonly told: string[];
    mayAct: boolean;
}

function makeScene(predecessorBound = 0, comparesEpochs = true): Scene {
    const clock = new FakeClock();
    const own = new PausableClock(clock);
    const random = createRandom(1);
    const worker = new WorkerModel(clock, {
        workerId: "w1",
        capacity: { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 0 },
        slots: 8,
        comparesEpochs,
    });
    const port = new FakeWorkerPort(() => worker, () => new CallPath(clock, own, { latencyMs: 1, random }));
    const told: string[] = [];
    const listener: SessionListener = {
        handleAttached: (...[, , restarted]) => told.push(restarted ? "restarted" : "attached"),
        handleReport: () => undefined,
        handleUnreachable: () => told.push("unreachable"),
        handleLost: () => told.push("lost"),
        handleFenced: () => told.push("fenced"),
    };
    const ownership = {
        mayAct: () => scene.mayAct,
        getLeaseOnlyDeadline: () => Number.POSITIVE_INFINITY,
    } as OwnershipView;
    const context = { clock: own, random, log: createFakeLog(), metrics: createFakeMetrics(), ownership };
    const session = new WorkerSession({
        context,
        port,
        vm: { workerId: "w1", url: "", rack: "r", failureDomain: "d", state: "live" },
        slice: 0,
        epoch: 5,
        getPredecessorBound: () => predecessorBound,
        getCell: () => CELL,
        listener,
    });
    const scene = { clock, worker, path: port.getPath("w1"), session, told, mayAct: true };
    return scene;
}

describe("a worker that falls silent", () => {
    // Its link breaks while it goes on running its tasks. They may be started elsewhere only when the worker has
    // surely ended them; an earlier word would have a task run in two places.
    it("is lost only after the last lease that it can hold", async () => {
        const { clock, path, session, told } = makeScene();
        session.start();
        await clock.step(10_000);
        path.faults.unreachable = true;
        await clock.step(LEASE_MS - 1_000);
        assert.deepEqual(told, ["attached", "unreachable"]);
        await clock.step(15_000);
        assert.deepEqual(told, ["attached", "unreachable", "lost"]);
        session.close();
    });

    // As above, but its owner has lost its right meanwhile: a new owner may be renewing the worker's lease.
    it("is not lost by an owner that may not act", async () => {
        const scene = makeScene();
        scene.session.start();
        await scene.clock.step(10_000);
        scene.path.faults.unreachable = true;
        scene.mayAct = false;
        await scene.clock.step(120_000);
        assert.ok(!scene.told.includes("lost"));
        scene.session.close();
    });

    it("that was never reached is lost only after the bound of the owner before", async () => {
        const { clock, path, session, told } = makeScene(60_000);
        path.faults.unreachable = true;
        session.start();
        await clock.step(59_000);
        assert.deepEqual(told, []);
        await clock.step(2_000);
        assert.deepEqual(told, ["lost"]);
        session.close();
    });

    it("and comes back in time is attached again", async () => {
        const { clock, path, session, told } = makeScene();
        session.start();
        await clock.step(10_000);
        path.faults.unreachable = true;
        await clock.step(8_000);
        path.faults.unreachable = false;
        await clock.step(10_000);
        assert.deepEqual(told, ["attached", "unreachable", "attached"]);
        session.close();
    });
});

describe("a worker that", () => {
    it("restarts is told apart from one that did not", async () => {
        const { clock, worker, session, told } = makeScene();
        session.start();
        await clock.step(5_000);
        worker.restart();
        await clock.step(10_000);
        assert.deepEqual(told.filter(each => each !== "unreachable"), ["attached", "restarted"]);
        session.close();
    });

    it("has a newer owner fences this one", async () => {
        const { clock, worker, session, told } = makeScene();
        session.start();
        await clock.step(5_000);
        worker.attach({ epoch: 6, notAfter: Number.MAX_SAFE_INTEGER, leaseMs: 0 });
        await clock.step(5_000);
        assert.ok(told.includes("fenced"));
        const start = session.startTask({ attempt: "a", label: "", resources: CELL_TASK, payload: "{}" });
        assert.equal((await clock.wait(start, 5_000)).kind, "notStarted");
        assert.equal(worker.countRunning(), 0);
        session.close();
    });
});

const CELL_TASK = { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 };
