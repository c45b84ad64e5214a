/** The worker model enforces its lease, its fences and its capacity. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { StartOrder, WorkerReport, WorkerTask } from "../../process/ports/index.js";
import { WorkerModel } from "../../stand-ins/index.js";
import { FakeClock } from "../fakes/fake-clock.js";

const CAPACITY = { cpuMillis: 4000, memoryMib: 4096, accelerators: 1 };
const SMALL = { cpuMillis: 1000, memoryMib: 1024, accelerators: 0 };
const NEVER_LATE = Number.MAX_SAFE_INTEGER;

interface Setup {
    readonly clock: FakeClock;
    readonly worker: WorkerModel;
}

function makeWorker(comparesEpochs = true): Setup {
    const clock = new FakeClock();
    const worker = new WorkerModel(clock, {
        workerId: "w1",
        capacity: CAPACITY,
        slots: 2,
        comparesEpochs,
        clockOffset: 5_000,
    });
    worker.attach({ epoch: 5, notAfter: NEVER_LATE, leaseMs: 1_000 });
    return { clock, worker };
}

function makeStart(change: Partial<StartOrder> = {}): StartOrder {
    return {
        epoch: 5,
        bootId: "w1-boot-1",
        notAfter: 6_000,
        attempt: "a1",
        label: "label",
        resources: SMALL,
        payload: JSON.stringify({ runMs: 500, answer: "fine" }),
        ...change,
    };
}

async function renew(
    { clock, worker }: Setup,
    afterSequence: number,
    waitMs = 0,
    acknowledged: string[] = [],
): Promise<WorkerReport> {
    const order = { epoch: 5, bootId: worker.getBootId(), notAfter: NEVER_LATE, leaseMs: 1_000 };
    const answer = await clock.wait(worker.renew({ ...order, afterSequence, acknowledged, waitMs }), waitMs);
    assert(answer.kind === "done");
    return answer.value;
}

describe("WorkerModel", () => {
    const starts: {
        name: string;
        change: Partial<StartOrder>;
        comparesEpochs?: boolean;
        expected: string;
    }[] = [
        { name: "accepts a valid start", change: {}, expected: "done" },
        { name: "refuses another boot", change: { bootId: "w1-boot-0" }, expected: "otherBoot" },
        { name: "refuses a late start", change: { notAfter: 4_999 }, expected: "tooLate" },
        { name: "refuses a lower epoch", change: { epoch: 4 }, expected: "staleEpoch" },
        {
            name: "accepts a lower epoch if it only supports leases",
            change: { epoch: 4 },
            comparesEpochs: false,
            expected: "done",
        },
        {
            name: "refuses a task that exceeds its capacity",
            change: { resources: { ...SMALL, accelerators: 2 } },
            expected: "noRoom",
        },
    ];
    for (const { name, change, comparesEpochs, expected } of starts) {
        it(name, () => {
            const { worker } = makeWorker(comparesEpochs);
            const answer = worker.start(makeStart(change));
            assert.equal(answer.kind === "refused" ? answer.reason : answer.kind, expected);
        });
    }

    it("runs a repeated start once", async () => {
        const { clock, worker } = makeWorker();
        worker.start(makeStart());
        worker.start(makeStart());
        await clock.step(600);
        assert.equal(worker.journal.runs.length, 1);
    });

    it("refuses a start whose stop or acknowledgement came before it", async () => {
        const setup = makeWorker();
        setup.worker.stop({ ...makeStart(), attempt: "a2" });
        assert.equal(setup.worker.start(makeStart({ attempt: "a2" })).kind, "refused");
        setup.worker.start(makeStart({ payload: '{"runMs":0}' }));
        await setup.clock.step(1);
        await renew(setup, 0, 0, ["a1"]);
        assert.equal(setup.worker.start(makeStart()).kind, "refused");
    });

    it("ends tasks when its lease has expired, and keeps them until they are acknowledged", async () => {
        const setup = makeWorker();
        setup.worker.start(makeStart({ payload: '{"runMs":5000}' }));
        await setup.clock.step(1_001);
        assert.equal(setup.worker.journal.runs[0]?.endedAt, 1_000);
        assert.equal(setup.worker.start(makeStart({ attempt: "a2", notAfter: NEVER_LATE })).kind, "refused");
        assert.deepEqual(listStates((await renew(setup, 0)).tasks), ["a1 expired"]);
        assert.deepEqual(listStates((await renew(setup, -1, 0, ["a1"])).tasks), []);
    });

    it("answers a pending renewal as soon as a task ends", async () => {
        const setup = makeWorker();
        setup.worker.start(makeStart());
        const first = await renew(setup, 0);
        const second = await renew(setup, first.sequence, 900);
        assert.deepEqual(listStates(second.tasks), ["a1 done"]);
        assert.equal(setup.clock.now(), 500);
        assert.equal(second.workerNow, 5_500);
    });

    it("refuses a pending renewal when a newer owner attaches", async () => {
        const { clock, worker } = makeWorker();
        const order = { epoch: 5, bootId: "w1-boot-1", notAfter: NEVER_LATE, leaseMs: 1_000 };
        const waiting = worker.renew({ ...order, afterSequence: 0, acknowledged: [], waitMs: 900 });
        worker.attach({ epoch: 6, notAfter: NEVER_LATE, leaseMs: 1_000 });
        const answer = await clock.wait(waiting, 0);
        assert.equal(answer.kind === "refused" && answer.reason, "staleEpoch");
    });

    it("keeps progress in a checkpoint", async () => {
        const setup = makeWorker();
        setup.worker.start(makeStart());
        await setup.clock.step(300);
        setup.worker.checkpoint(makeStart());
        await setup.clock.step(250);
        const [task] = (await renew(setup, 0)).tasks;
        assert.equal(task?.state, "stopped");
        setup.worker.start(makeStart({ attempt: "a2", checkpoint: task.checkpoint, notAfter: NEVER_LATE }));
        await setup.clock.step(200);
        assert.equal(setup.worker.journal.runs[1]?.end, "done");
    });

    it("loses all state at a restart", async () => {
        const setup = makeWorker();
        setup.worker.start(makeStart());
        setup.worker.restart();
        assert.equal(setup.worker.start(makeStart({ attempt: "a2" })).kind, "refused");
        const report = setup.worker.attach({ epoch: 1, notAfter: NEVER_LATE, leaseMs: 1_000 });
        assert(report.kind === "done");
        assert.deepEqual([report.value.bootId, report.value.tasks.length], ["w1-boot-2", 0]);
    });

    it("reports measured usage after a lag", async () => {
        const setup = makeWorker();
        const actual = { cpuMillis: 3, memoryMib: 4, accelerators: 0 };
        setup.worker.start(makeStart({ payload: JSON.stringify({ runMs: 5000, actual }) }));
        assert.equal((await renew(setup, 0)).tasks[0]?.usage, undefined);
        await setup.clock.step(900);
        await renew(setup, 0);
        await setup.clock.step(200);
        assert.deepEqual((await renew(setup, 0)).tasks[0]?.usage, actual);
    });

    const bodies = [
        { name: "echoes", body: "hello", status: 200, text: "hello" },
        { name: "answers", body: '{"serviceMs":10,"answer":"x"}', status: 200, text: "x" },
        { name: "fails", body: '{"fail":"broken"}', status: 500, text: "broken" },
    ];
    for (const { name, body, status, text } of bodies) {
        it(`${name} as a service body says`, async () => {
            const { clock, worker } = makeWorker();
            const answer = await clock.wait(worker.serve(makeServe("r1", body)), 100);
            assert(answer.kind === "done");
            assert.deepEqual([answer.value.status, Buffer.from(answer.value.body).toString()], [
                status,
                text,
            ]);
        });
    }

    it("accepts no more requests than it has slots", async () => {
        const { clock, worker } = makeWorker();
        const answers = ["r1", "r2", "r3"].map(id => worker.serve(makeServe(id, "x")));
        const kinds = await clock.wait(Promise.all(answers), 100);
        assert.deepEqual(kinds.map(answer => answer.kind), ["done", "done", "refused"]);
    });
});

function makeServe(requestId: string, body: string): Parameters<WorkerModel["serve"]>[0] {
    return {
        epoch: 5,
        bootId: "w1-boot-1",
        notAfter: 6_000,
        requestId,
        branch: "services/x",
        body: Buffer.from(body),
        contentType: "text/plain",
        timeoutMs: 1_000,
    };
}

function listStates(tasks: readonly WorkerTask[]): string[] {
    return tasks.map(task => `${task.attempt} ${task.state}`);
}
