/** Sessions with a simulated worker: when the worker is declared lost, and when it is not. */
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

interface Fixture {
    readonly clock: FakeClock;
    readonly worker: WorkerModel;
    readonly path: CallPath;
    readonly session: WorkerSession;
    /** Events that the session reported, in order. */
    readonly events: string[];
    mayAct: boolean;
}

function makeFixture(predecessorBound = 0, comparesEpochs = true): Fixture {
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
    const events: string[] = [];
    const listener: SessionListener = {
        handleAttached: (...[, , restarted]) => events.push(restarted ? "restarted" : "attached"),
        handleReport: () => undefined,
        handleUnreachable: () => events.push("unreachable"),
        handleLost: () => events.push("lost"),
        handleFenced: () => events.push("fenced"),
    };
    const ownership = {
        mayAct: () => fixture.mayAct,
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
    const fixture = { clock, worker, path: port.getPath("w1"), session, events, mayAct: true };
    return fixture;
}

describe("a worker that stops answering", () => {
    // The worker's link breaks while it continues to run its tasks. If it were declared lost before it has
    // certainly ended them, a task could run in two places.
    it("is lost only after the last lease that it can hold has expired", async () => {
        const { clock, path, session, events } = makeFixture();
        session.start();
        await clock.step(10_000);
        path.faults.unreachable = true;
        await clock.step(LEASE_MS - 1_000);
        assert.deepEqual(events, ["attached", "unreachable"]);
        await clock.step(15_000);
        assert.deepEqual(events, ["attached", "unreachable", "lost"]);
        session.close();
    });

    // As above, but the owner may no longer act, so a new owner may be renewing the worker's lease.
    it("is not declared lost by an owner that may not act", async () => {
        const fixture = makeFixture();
        fixture.session.start();
        await fixture.clock.step(10_000);
        fixture.path.faults.unreachable = true;
        fixture.mayAct = false;
        await fixture.clock.step(120_000);
        assert.ok(!fixture.events.includes("lost"));
        fixture.session.close();
    });

    it("or was never reached is lost only after the previous owner's bound", async () => {
        const { clock, path, session, events } = makeFixture(60_000);
        path.faults.unreachable = true;
        session.start();
        await clock.step(59_000);
        assert.deepEqual(events, []);
        await clock.step(2_000);
        assert.deepEqual(events, ["lost"]);
        session.close();
    });

    it("and answers again in time is attached again", async () => {
        const { clock, path, session, events } = makeFixture();
        session.start();
        await clock.step(10_000);
        path.faults.unreachable = true;
        await clock.step(8_000);
        path.faults.unreachable = false;
        await clock.step(10_000);
        assert.deepEqual(events, ["attached", "unreachable", "attached"]);
        session.close();
    });
});

describe("a worker that", () => {
    it("restarts is reported as restarted", async () => {
        const { clock, worker, session, events } = makeFixture();
        session.start();
        await clock.step(5_000);
        worker.restart();
        await clock.step(10_000);
        assert.deepEqual(events.filter(each => each !== "unreachable"), ["attached", "restarted"]);
        session.close();
    });

    it("has a newer owner refuses this one", async () => {
        const { clock, worker, session, events } = makeFixture();
        session.start();
        await clock.step(5_000);
        worker.attach({ epoch: 6, notAfter: Number.MAX_SAFE_INTEGER, leaseMs: 0 });
        await clock.step(5_000);
        assert.ok(events.includes("fenced"));
        const start = session.startTask({ attempt: "a", label: "", resources: CELL_TASK, payload: "{}" });
        assert.equal((await clock.wait(start, 5_000)).kind, "notStarted");
        assert.equal(worker.countRunning(), 0);
        session.close();
    });
});

const CELL_TASK = { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 };
