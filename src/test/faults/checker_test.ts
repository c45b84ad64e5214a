/** The checker reports each violated guarantee in hand-made evidence, and nothing where all were kept. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Outcome } from "../../common/outcome.js";
import { NO_RESOURCES } from "../../common/resources.js";
import type { JobSpec, JobView } from "../../request/work.js";
import type { JournalRun } from "../../stand-ins/index.js";
import { checkGuarantees, GuaranteeName } from "./checker.js";
import type { Evidence, SentRequest, SubmittedJob } from "./evidence.js";

const SIZE = { cpuMillis: 1_000, memoryMib: 1_000, accelerators: 0 };
const DONE: Outcome = {
    kind: "done",
    answer: Buffer.from("right"),
    contentType: "text/plain",
    workerId: "w1",
};
const NOT_RUN: Outcome = { kind: "notRun", reason: "overloaded", remedy: "later", retryAfterMs: 1 };
const SPEC: JobSpec = {
    kind: "batch",
    branch: "batch/x",
    tasks: 1,
    resources: SIZE,
    urgent: false,
    repeatable: false,
    payload: "{}",
};

function makeService(change: Partial<JournalRun> = {}): JournalRun {
    return {
        kind: "service",
        workerId: "w1",
        bootId: "b",
        attempt: "r1",
        label: "services/x",
        epoch: 1,
        resources: NO_RESOURCES,
        startedAt: 100,
        endedAt: 200,
        end: "answered",
        ...change,
    };
}

function makeTask(change: Partial<JournalRun> = {}): JournalRun {
    const label = JSON.stringify({ jobId: "j1", index: 0 });
    return {
        ...makeService({ kind: "task", attempt: "j1.0.1.1", label, resources: SIZE, end: "done" }),
        ...change,
    };
}

function makeRequest(change: Partial<SentRequest> = {}): SentRequest {
    return {
        requestId: "r1",
        workId: "r1",
        repeatable: false,
        memberId: "m1",
        sentAt: 90,
        deadline: 1_000,
        expected: "right",
        outcome: DONE,
        answeredAt: 210,
        ...change,
    };
}

function makeJob(outcome: Outcome, change: Partial<SubmittedJob> = {}): SubmittedJob {
    const counts = { waiting: 0, running: 0, done: 0, failed: 0, notRun: 0, mayHaveRun: 0, cancelled: 0 };
    const view: JobView = {
        jobId: "j1",
        caller: { callerId: "c", team: "t" },
        spec: SPEC,
        state: "ended",
        submittedWallMs: 0,
        counts: { ...counts, [outcome.kind]: 1 },
        tasks: [{ index: 0, state: "ended", outcome, attempts: 1 }],
    };
    const submits = [{ kind: "job", job: view, created: true }] as const;
    return {
        spec: SPEC,
        expected: "right",
        jobId: "j1",
        submits: [...submits],
        acceptedAt: 50,
        view,
        ...change,
    };
}

function makeEvidence(change: Partial<Evidence>): Evidence {
    return {
        runs: [],
        capacities: ["w1", "w2"].map(workerId => ({
            workerId,
            at: 0,
            capacity: { cpuMillis: 2_000, memoryMib: 4_000, accelerators: 0 },
            slots: 2,
            foreignUse: NO_RESOURCES,
            leaving: false,
        })),
        requests: [],
        jobs: [],
        edits: [],
        samples: [],
        leaving: [],
        shutdowns: [],
        outages: [],
        endedAt: 100_000,
        ...change,
    };
}

const refusedJob = makeJob(DONE, {
    acceptedAt: undefined,
    view: undefined,
    submits: [{ kind: "refused", outcome: NOT_RUN }],
});
const otherLabel = JSON.stringify({ jobId: "j2", index: 0 });
const sample = { memberId: "m1", at: 9_000, version: 3, acceptsWork: true };

/** Evidence and the guarantees that it violates. */
const cases: { name: string; evidence: Partial<Evidence>; broken: GuaranteeName[]; }[] = [
    { name: "a correct request", evidence: { runs: [makeService()], requests: [makeRequest()] }, broken: [] },
    { name: "a correct task", evidence: { runs: [makeTask()], jobs: [makeJob(DONE)] }, broken: [] },
    {
        name: "more resources in use at one instant than the capacity",
        evidence: {
            runs: [
                makeTask(),
                makeTask({ label: otherLabel, startedAt: 150, endedAt: 250 }),
                makeTask({ label: JSON.stringify({ jobId: "j3", index: 0 }), startedAt: 199 }),
            ],
        },
        broken: [GuaranteeName.capacity],
    },
    {
        name: "a start at the instant of an end",
        evidence: {
            runs: [
                makeTask({ resources: { ...SIZE, cpuMillis: 2_000 } }),
                makeTask({
                    label: otherLabel,
                    startedAt: 200,
                    endedAt: 300,
                    resources: { ...SIZE, cpuMillis: 2_000 },
                }),
            ],
        },
        broken: [],
    },
    {
        name: "more requests than slots",
        evidence: { runs: ["r1", "r2", "r3"].map(attempt => makeService({ attempt })) },
        broken: [GuaranteeName.capacity],
    },
    {
        name: "a repeatable task in two places",
        evidence: {
            runs: [makeTask(), makeTask({ workerId: "w2", startedAt: 199, endedAt: 300 })],
            jobs: [makeJob(DONE, { spec: { ...SPEC, repeatable: true } })],
        },
        broken: [GuaranteeName.onePlace],
    },
    {
        name: "a task that never ended, started again",
        evidence: {
            runs: [
                makeTask({ endedAt: undefined, end: undefined }),
                makeTask({ workerId: "w2", startedAt: 5_000, endedAt: 5_100 }),
            ],
            jobs: [makeJob(DONE, { spec: { ...SPEC, repeatable: true } })],
        },
        broken: [GuaranteeName.onePlace],
    },
    {
        name: "the answer of another request",
        evidence: { runs: [makeService()], requests: [makeRequest({ expected: "mine" })] },
        broken: [GuaranteeName.wholeAnswer],
    },
    {
        name: "a truncated answer of a task",
        evidence: { runs: [makeTask()], jobs: [makeJob({ ...DONE, answer: Buffer.from("ri") } as Outcome)] },
        broken: [GuaranteeName.wholeAnswer],
    },
    {
        name: "an answer without a run",
        evidence: { requests: [makeRequest()] },
        broken: [GuaranteeName.wholeAnswer],
    },
    {
        name: "no answer",
        evidence: { requests: [makeRequest({ outcome: undefined, answeredAt: undefined })] },
        broken: [GuaranteeName.wholeAnswer],
    },
    {
        name: "no answer of an entry that died",
        evidence: {
            requests: [makeRequest({ outcome: undefined, answeredAt: undefined })],
            outages: [{ memberId: "m1", at: 500 }],
        },
        broken: [],
    },
    {
        name: "an answer long after the deadline",
        evidence: { runs: [makeService()], requests: [makeRequest({ answeredAt: 9_000 })] },
        broken: [GuaranteeName.wholeAnswer],
    },
    {
        name: "an accepted job that never ends",
        evidence: { jobs: [makeJob(DONE, { view: undefined })] },
        broken: [GuaranteeName.wholeAnswer],
    },
    {
        name: "a request reported as not run that ran",
        evidence: { runs: [makeService()], requests: [makeRequest({ outcome: NOT_RUN })] },
        broken: [GuaranteeName.trueNotRun],
    },
    {
        name: "a task reported as cancelled before its start that started",
        evidence: { runs: [makeTask()], jobs: [makeJob({ kind: "cancelled", started: false })] },
        broken: [GuaranteeName.trueNotRun],
    },
    {
        name: "a task reported as not run that ran",
        evidence: { runs: [makeTask()], jobs: [makeJob(NOT_RUN)] },
        broken: [GuaranteeName.trueNotRun],
    },
    {
        name: "a refused job that ran",
        evidence: { runs: [makeTask()], jobs: [refusedJob] },
        broken: [GuaranteeName.trueNotRun],
    },
    {
        name: "a request not run at the first attempt and run at the second",
        evidence: {
            runs: [makeService({ attempt: "r2" })],
            requests: [
                makeRequest({ outcome: NOT_RUN, workId: "k" }),
                makeRequest({ requestId: "r2", workId: "k" }),
            ],
        },
        broken: [],
    },
    {
        name: "a non-repeatable request that ran twice",
        evidence: {
            runs: [makeService(), makeService({ workerId: "w2", startedAt: 300, endedAt: 400 })],
            requests: [makeRequest()],
        },
        broken: [GuaranteeName.atMostOnce],
    },
    {
        name: "one key sent to two entries that ran twice",
        evidence: {
            runs: [makeService(), makeService({ attempt: "r2", startedAt: 300, endedAt: 400 })],
            requests: [
                makeRequest({ workId: "k" }),
                makeRequest({ requestId: "r2", workId: "k", memberId: "m2" }),
            ],
        },
        broken: [GuaranteeName.atMostOnce],
    },
    {
        name: "a non-repeatable task that ran twice",
        evidence: { runs: [makeTask(), makeTask({ startedAt: 300, endedAt: 400 })], jobs: [makeJob(DONE)] },
        broken: [GuaranteeName.atMostOnce],
    },
    {
        name: "new work more than 2 s after the first leaving signal",
        evidence: {
            runs: [makeTask({ startedAt: 2_101, endedAt: 2_200 })],
            leaving: [{ workerId: "w1", at: 100 }],
        },
        broken: [GuaranteeName.leavingWorker],
    },
    {
        name: "new work within 2 s of the first leaving signal",
        evidence: {
            runs: [makeTask({ startedAt: 2_000, endedAt: 2_200 })],
            leaving: [{ workerId: "w1", at: 100 }],
        },
        broken: [],
    },
    {
        name: "a request cut off by a shutdown",
        evidence: {
            requests: [makeRequest({ outcome: { kind: "mayHaveRun", message: "link" } })],
            shutdowns: [{ memberId: "m1", at: 100, undisturbed: true }],
        },
        broken: [GuaranteeName.gracefulShutdown],
    },
    {
        name: "a request without an answer at an entry that has left",
        evidence: {
            requests: [makeRequest({ outcome: undefined, answeredAt: undefined, deadline: 99_000 })],
            shutdowns: [{ memberId: "m1", at: 100, undisturbed: false }],
        },
        broken: [GuaranteeName.gracefulShutdown],
    },
    {
        name: "a request without an answer at an entry that died while it left",
        evidence: {
            requests: [makeRequest({ outcome: undefined, answeredAt: undefined, deadline: 99_000 })],
            shutdowns: [{ memberId: "m1", at: 100, undisturbed: false }],
            outages: [{ memberId: "m1", at: 150 }],
        },
        broken: [],
    },
    {
        name: "an entry that returns to an older settings version",
        evidence: { samples: [sample, { ...sample, at: 9_500, version: 2 }] },
        broken: [GuaranteeName.settings],
    },
    {
        name: "an entry that accepts work under old settings",
        evidence: { samples: [sample], edits: [{ version: 4, acceptedAt: 4_900 }] },
        broken: [GuaranteeName.settings],
    },
    {
        name: "an entry that has old settings and accepts no work",
        evidence: {
            samples: [{ ...sample, acceptsWork: false }],
            edits: [{ version: 4, acceptedAt: 4_900 }],
        },
        broken: [],
    },
];

describe("checkGuarantees", () => {
    for (const { name, evidence, broken } of cases) {
        it(`${name}: ${broken.length === 0 ? "no violation" : broken.join(", ")}`, () => {
            const violations = checkGuarantees(makeEvidence(evidence));
            assert.deepEqual([...new Set(violations.map(violation => violation.guarantee))], broken);
        });
    }

    it("has a case for each guarantee", () => {
        const covered = new Set(cases.flatMap(each => each.broken));
        assert.deepEqual([...covered].sort(), Object.values(GuaranteeName).sort());
    });
});
