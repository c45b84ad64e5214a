/** Contract tests of the worker port, run against the fake and against the HTTP adapter with its stand-in. */
import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { systemClock } from "../../../common/clock.js";
import { createRandom } from "../../../common/random.js";
import { HttpWorkerPort } from "../../../process/platform/index.js";
import type {
    ServeOrder,
    StartOrder,
    WorkerAddress,
    WorkerAnswer,
    WorkerPort,
} from "../../../process/ports/index.js";
import { startWorkerStandIn, WorkerModel } from "../../../stand-ins/index.js";
import { CallPath } from "../../fakes/call-path.js";
import { FakeWorkerPort } from "../../fakes/fake-worker-port.js";
import { PausableClock } from "../../fakes/pausable-clock.js";

interface Subject {
    readonly port: WorkerPort;
    readonly model: WorkerModel;
    readonly worker: WorkerAddress;
    close(): Promise<void>;
}

const TIMEOUT_MS = 2_000;
const FENCE = { epoch: 3, notAfter: Infinity };
const WORKER = {
    workerId: "w1",
    capacity: { cpuMillis: 4_000, memoryMib: 4_096, accelerators: 0 },
    slots: 1,
    comparesEpochs: true,
};

const subjects: Record<string, () => Promise<Subject>> = {
    "fake": async () => {
        const model = new WorkerModel(systemClock, WORKER);
        const createPath = (): CallPath =>
            new CallPath(systemClock, new PausableClock(systemClock), {
                latencyMs: 0,
                random: createRandom(1),
            });
        const port = new FakeWorkerPort(() => model, createPath);
        return { port, model, worker: { workerId: "w1", url: "" }, close: () => Promise.resolve() };
    },
    "HTTP adapter": async () => {
        const running = await startWorkerStandIn({ clock: systemClock, worker: WORKER });
        const port = new HttpWorkerPort({ clock: systemClock });
        return {
            port,
            model: running.model,
            worker: { workerId: "w1", url: running.url },
            close: async () => {
                await port.close();
                await running.close();
            },
        };
    },
};

interface ContractCase {
    readonly name: string;
    readonly run: (subject: Subject) => Promise<unknown>;
    readonly expected: unknown;
}

const cases: ContractCase[] = [
    {
        name: "reports its capacity when attached",
        run: async ({ port, worker }) => {
            const answer = await port.attach(worker, { ...FENCE, leaseMs: 1_500 }, TIMEOUT_MS);
            assert(answer.kind === "done");
            return { ...answer.value, workerNow: 0 };
        },
        expected: {
            bootId: "w1-boot-1",
            workerNow: 0,
            capacity: WORKER.capacity,
            slots: 1,
            maxConnections: 60,
            comparesEpochs: true,
            leaving: false,
            foreignUse: { cpuMillis: 0, memoryMib: 0, accelerators: 0 },
            tasks: [],
            sequence: 0,
        },
    },
    {
        name: "runs a task and reports its end to a waiting renewal",
        run: async subject => {
            const { port, worker } = subject;
            await attach(subject);
            const started = await port.start(
                worker,
                makeStart({ payload: '{"runMs":30,"answer":"é"}' }),
                TIMEOUT_MS,
            );
            const renewal = { ...FENCE, leaseMs: 1_500, acknowledged: [], waitMs: 1_000 };
            const renewed = await port.renew(worker, { ...renewal, afterSequence: 1 }, TIMEOUT_MS);
            assert(renewed.kind === "done");
            return [
                started.kind,
                renewed.value.tasks.map((
                    { attempt, state, label, answer },
                ) => [attempt, state, label, answer]),
            ];
        },
        expected: ["done", [["a1", "done", '{"é":1}', "é"]]],
    },
    {
        name: "returns the reason of a refusal",
        run: async subject => {
            const { port, worker } = subject;
            await attach(subject);
            const answers = [
                await port.start(worker, makeStart({ epoch: 2 }), TIMEOUT_MS),
                await port.start(worker, makeStart({ bootId: "w1-boot-9" }), TIMEOUT_MS),
                await port.start(worker, makeStart({ notAfter: -1 }), TIMEOUT_MS),
                await port.start(
                    worker,
                    makeStart({ resources: { ...WORKER.capacity, cpuMillis: 4_001 } }),
                    TIMEOUT_MS,
                ),
                await port.serve(worker, makeServe({ epoch: 2 })),
            ];
            return answers.map(getSummary);
        },
        expected: ["staleEpoch", "otherBoot", "tooLate", "noRoom", "staleEpoch"],
    },
    {
        name: "stops, checkpoints and throttles",
        run: async subject => {
            const { port, worker } = subject;
            await attach(subject);
            await port.start(worker, makeStart({ payload: '{"runMs":60000}' }), TIMEOUT_MS);
            const order = { ...FENCE, attempt: "a1" };
            const answers = [
                await port.throttle(worker, order, TIMEOUT_MS),
                await port.checkpoint(worker, order, TIMEOUT_MS),
                await port.stop(worker, order, TIMEOUT_MS),
            ];
            return [...answers.map(getSummary), subject.model.journal.runs[0]?.end];
        },
        expected: ["done", "done", "done", "stopped"],
    },
    {
        name: "serves bytes unchanged",
        run: async subject => {
            await attach(subject);
            const body = Buffer.from([0, 255, 10, 13, 128]);
            const answer = await subject.port.serve(
                subject.worker,
                makeServe({ body, contentType: "image/x" }),
            );
            assert(answer.kind === "done");
            return [answer.value.status, answer.value.contentType, [...answer.value.body]];
        },
        expected: [200, "image/x", [0, 255, 10, 13, 128]],
    },
    {
        name: "distinguishes a failure of the service from a refusal",
        run: async subject => {
            await attach(subject);
            const answer = await subject.port.serve(
                subject.worker,
                makeServe({ body: Buffer.from('{"fail":"no"}') }),
            );
            assert(answer.kind === "done");
            return [answer.value.status, Buffer.from(answer.value.body).toString()];
        },
        expected: [500, "no"],
    },
    {
        name: "returns unknown when the worker restarts during a request",
        run: async subject => {
            await attach(subject);
            const body = Buffer.from('{"serviceMs":100}');
            const serving = subject.port.serve(subject.worker, makeServe({ body }));
            await attach(subject);
            subject.model.restart();
            return (await serving).kind;
        },
        expected: "unknown",
    },
];

async function attach({ port, worker }: Subject): Promise<void> {
    const answer = await port.attach(worker, { ...FENCE, leaseMs: 1_500 }, TIMEOUT_MS);
    assert.equal(answer.kind, "done");
}

function makeStart(change: Partial<StartOrder> = {}): StartOrder {
    const resources = { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 };
    return {
        ...FENCE,
        bootId: "w1-boot-1",
        attempt: "a1",
        label: '{"é":1}',
        resources,
        payload: "{}",
        ...change,
    };
}

function makeServe(change: Partial<ServeOrder> = {}): ServeOrder {
    const body = Buffer.from("hello");
    const request = {
        requestId: "r é",
        branch: "services/é",
        body,
        contentType: "text/plain",
        timeoutMs: 1_000,
    };
    return { ...FENCE, bootId: "w1-boot-1", ...request, ...change };
}

function getSummary(answer: WorkerAnswer<unknown>): string {
    return answer.kind === "refused" ? answer.reason : answer.kind;
}

for (const [name, create] of Object.entries(subjects)) {
    describe(`worker contract of the ${name}`, () => {
        const opened: Subject[] = [];
        after(async () => {
            await Promise.all(opened.map(subject => subject.close()));
        });
        for (const { name: caseName, run, expected } of cases) {
            it(caseName, async () => {
                const subject = await create();
                opened.push(subject);
                assert.deepEqual(await run(subject), expected);
            });
        }
    });
}
