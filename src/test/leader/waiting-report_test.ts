/** Log lines about steps that wait for a long time: each states its reason, and their number is limited. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { AdviceCaller } from "../../process/dispatch/advice-dispatcher.js";
import type { JobEvent } from "../../process/jobs/job-events.js";
import { makeRecordKey } from "../../process/journal/keys.js";
import { encodeJournalRecord } from "../../process/journal/records.js";
import type { AdviceAnswer } from "../../process/ports/task-worker-port.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import { CORE, LeaderCell, makeJobId, makeSpec, QUEUE } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADVICE = { decideMs: 20, perWorkerMs: 1, validMs: 2_500 };
const STEP = `${makeJobId(1)}.0.0`;
const OTHER_STEP = `${makeJobId(2)}.0.0`;
const LONG_MS = 60_000;

/** Fields of a log line. */
type Fields = Readonly<Record<string, unknown>>;

function listLines({ log }: TestLeader, event: string): readonly Fields[] {
    return log.lines.filter(line => line.event === event).map(line => line.fields);
}

/** Lists the fields of the `stepWaiting` lines about one step. */
function listWaits(leader: TestLeader, step = STEP): readonly Fields[] {
    return listLines(leader, "stepWaiting").filter(fields => fields.step === step);
}

function makeConfig(change: Partial<ClusterConfig>): ClusterConfig {
    return {
        version: 2,
        queues: [QUEUE],
        pools: [{ name: "pool", checksAdmission: false, maxConnections: 64 }],
        maxBodyBytes: 262_144,
        ...change,
    };
}

/** Makes a node that gives the same answer to each advice request; never answers if `answer` is undefined. */
function makeCaller(answer: AdviceAnswer | undefined): AdviceCaller {
    return {
        nodeName: "node-7",
        requestPermits: () => answer === undefined ? new Promise(() => undefined) : Promise.resolve(answer),
    };
}

/** Starts a leader with open jobs of a removed queue whose settings an earlier version's journal lacks. */
async function startWithOlderJournal(cell: LeaderCell, jobs: number): Promise<TestLeader> {
    const events = Array.from({ length: jobs }, (...[, index]): JobEvent => ({
        type: "accepted",
        jobId: makeJobId(index + 1),
        queue: QUEUE.name,
        spec: makeSpec({}),
        at: 0,
    }));
    cell.store.putDirectly(makeRecordKey(1), encodeJournalRecord({ epoch: 1, sequence: 1, events }));
    cell.config = makeConfig({ queues: [] });
    return cell.startLeader();
}

function setLongRuns(cell: LeaderCell): void {
    cell.getBehavior = () => ({
        demand: CORE,
        runMs: LONG_MS,
        end: "done",
    });
}

/** How a step comes to wait, and the expected fields of its first line. */
interface WaitCase {
    readonly name: string;
    /** Number of workers, of 4 cores each. */
    readonly workers: number;
    /** Causes the wait. */
    readonly prepare: (cell: LeaderCell, leader: TestLeader) => Promise<void>;
    readonly step?: string;
    readonly expected: Fields;
}

/** Makes a case of a queue whose steps need permits, with at most one node that calls the advice service. */
function makeAdviceCase(
    name: string,
    caller: AdviceCaller | undefined,
    expected: Fields,
    advice = ADVICE,
): WaitCase {
    return {
        name,
        workers: 1,
        prepare: async (cell, leader) => {
            cell.config = makeConfig({ queues: [{ ...QUEUE, advice }] });
            if (caller !== undefined) {
                leader.leader.addCaller(caller);
            }
            await cell.submit(leader, 1, makeSpec({}));
        },
        expected,
    };
}

const CASES: readonly WaitCase[] = [
    {
        name: "an earlier step that has not started",
        workers: 0,
        prepare: async (cell, leader) => {
            await cell.submit(leader, 1, makeSpec({}, { after: [0] }));
        },
        step: `${makeJobId(1)}.0.1`,
        expected: { reason: "earlierStep", earlierStep: STEP, earlierDone: 0, earlierTasks: 1 },
    },
    {
        name: "no usable worker",
        workers: 0,
        prepare: async (cell, leader) => {
            await cell.submit(leader, 1, makeSpec({}));
        },
        expected: { reason: "noneUsable", poolUsable: 0, lateness: 1, ahead: 0 },
    },
    {
        name: "full workers",
        workers: 1,
        prepare: async (cell, leader) => {
            setLongRuns(cell);
            await cell.submit(leader, 2, makeSpec({ taskCount: 4 }));
            await cell.submit(leader, 1, makeSpec({ taskCount: 2 }));
        },
        expected: { reason: "noRoom", usable: 1, places: 0, mostTakenBy: OTHER_STEP, waiting: 2 },
    },
    {
        name: "a lack of capacity for some members of a gang",
        workers: 2,
        prepare: async (cell, leader) => {
            setLongRuns(cell);
            await cell.submit(leader, 2, makeSpec({}));
            await cell.submit(leader, 1, makeSpec({ taskCount: 8, isGang: true }));
        },
        expected: { reason: "noRoom", places: 7, waiting: 8, keeper: STEP },
    },
    {
        name: "a gang that reserves capacity it cannot use yet",
        workers: 2,
        prepare: async (cell, leader) => {
            setLongRuns(cell);
            await cell.submit(leader, 2, makeSpec({}));
            await cell.submit(leader, 3, makeSpec({ taskCount: 8, isGang: true }));
            await cell.submit(leader, 1, makeSpec({}));
        },
        expected: { reason: "gangKeepsRoom", keeper: `${makeJobId(3)}.0.0`, ahead: 1 },
    },
    {
        name: "a worker that stopped answering while it has the run",
        workers: 1,
        prepare: async (cell, leader) => {
            setLongRuns(cell);
            await cell.submit(leader, 1, makeSpec({}));
            await cell.clock.step(500);
            Object.assign(leader.workers.getPath("10.0.0.1:80").faults, { dropRequestShare: 1 });
        },
        expected: {
            reason: "assigned",
            workerId: "w1",
            place: "running",
            isReachable: false,
            isListed: true,
        },
    },
    {
        name: "a worker that refuses each order",
        workers: 1,
        prepare: async (cell, leader) => {
            leader.workers.start = () => Promise.resolve({ kind: "refused", reason: "late" });
            await cell.submit(leader, 1, makeSpec({}));
        },
        expected: { refusal: "late", refusedBy: "w1" },
    },
    {
        name: "a worker that leaves each order unanswered",
        workers: 1,
        prepare: async (cell, leader) => {
            leader.workers.start = () => Promise.resolve({ kind: "unknown", message: "no answer" });
            await cell.submit(leader, 1, makeSpec({}));
        },
        expected: { refusal: "unanswered", refusedBy: "w1" },
    },
    {
        name: "a store that is unavailable when capacity becomes free",
        workers: 1,
        prepare: async (cell, leader) => {
            cell.getBehavior = task => ({
                demand: CORE,
                runMs: task.endsWith(".3") ? 2_500 : 1_000,
                end: "done",
            });
            await cell.submit(leader, 2, makeSpec({ taskCount: 4 }));
            await cell.submit(leader, 1, makeSpec({ taskCount: 4, isGang: true }));
            await cell.clock.step(300);
            Object.assign(leader.storePath.faults, { unreachable: true });
        },
        expected: { reason: "noPass", storeAway: true, mayOrder: true, waiting: 4, places: 4 },
    },
    {
        name: "a store that does not accept the assignment",
        workers: 1,
        prepare: async (cell, leader) => {
            await cell.submit(leader, 1, makeSpec({}, { after: [0] }));
            await cell.clock.step(300);
            Object.assign(leader.storePath.faults, { unreachable: true });
        },
        step: `${makeJobId(1)}.0.1`,
        expected: { reason: "assigned", place: "reserved", storeAway: true, mayOrder: true },
    },
    makeAdviceCase("a node that can call the advice service", undefined, {
        reason: "questionWaiting",
        askedNode: undefined,
        questions: 1,
    }),
    makeAdviceCase(
        "an advice request that takes long",
        makeCaller(undefined),
        { reason: "questionUnderWay", askedNode: "node-7", questionWorkers: 1 },
        { ...ADVICE, decideMs: 10_000 },
    ),
    makeAdviceCase("advice requests that are never answered", makeCaller(undefined), {
        reason: "questionFailed",
        allowed: 0,
        denied: 0,
    }),
    makeAdviceCase("advice requests that fail", makeCaller({ kind: "failed", message: "away" }), {
        reason: "questionFailed",
        allowed: 0,
        denied: 0,
    }),
    makeAdviceCase("an answer that denies all workers", makeCaller({ kind: "done", permits: [] }), {
        reason: "noneAllowed",
        asked: 1,
        allowed: 0,
        denied: 1,
        poolUsable: 1,
    }),
];

describe("a step that waits for a long time", () => {
    for (const { name, workers, prepare, step, expected } of CASES) {
        it(`logs the wait for ${name}`, async () => {
            // An accepted job stalls. The operator who searches the log for its id must find what it waits
            // for, not only that nothing was decided about it.
            const cell = new LeaderCell(workers);
            const leader = await cell.startLeader();
            await cell.clock.step(200);
            await prepare(cell, leader);
            await cell.clock.step(6_000);
            const line = listWaits(leader, step)[0];
            assert(line !== undefined, "no line");
            const shown = Object.fromEntries(Object.keys(expected).map(key => [key, line[key]]));
            assert.deepEqual(shown, expected);
        });
    }

    it("reports runs of an earlier leader on a worker that is not in the list", async () => {
        // A worker's entry is missing when another node takes over. Its tasks neither count as running for
        // the new leader nor are started elsewhere until the worker's lease has surely expired.
        const cell = new LeaderCell(1);
        setLongRuns(cell);
        const first = await cell.startLeader();
        await cell.clock.step(200);
        await cell.submit(first, 1, makeSpec({}));
        await cell.clock.step(500);
        first.leader.close();
        cell.removeFromList("w1");
        const second = await cell.startLeader();
        await cell.clock.step(4_500);
        const [line] = listWaits(second);
        assert.equal(line?.reason, "assigned");
        assert.equal(line.place, "unheard");
        assert.equal(line.isInherited, true);
        assert.equal(line.workerId, "w1");
    });

    it("counts refused orders until a run starts", async () => {
        const cell = new LeaderCell(1);
        const leader = await cell.startLeader();
        await cell.clock.step(200);
        leader.workers.start = () => Promise.resolve({ kind: "refused", reason: "late" });
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(7_500);
        const [first, second] = listWaits(leader).map(line => Number(line.refusals));
        assert(first !== undefined && second !== undefined);
        assert.ok(first > 0 && second > first, `${first}, then ${second}`);
    });

    it("has a line after 3, 6, 12 and 24 seconds", async () => {
        const cell = new LeaderCell(0);
        const leader = await cell.startLeader();
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(40_000);
        const seconds = listWaits(leader).map(line => Math.floor(Number(line.waitedMs) / 1_000));
        assert.deepEqual(seconds, [3, 6, 12, 24]);
    });
});

describe("log lines about waiting steps", () => {
    it("are limited however many steps wait, and the rest is counted", async () => {
        // All workers are lost while many steps wait. A line for each step would crowd other lines out of the
        // log.
        const cell = new LeaderCell(0);
        const leader = await cell.startLeader();
        for (let number = 1; number <= 40; number++) {
            await cell.submit(leader, number, makeSpec({}));
        }
        await cell.clock.step(5_000);
        assert.ok(listLines(leader, "stepWaiting").length <= 3 * 5);
        assert.equal(listLines(leader, "leaderState").at(-1)?.waitingSteps, 40);
        await cell.clock.step(8_000);
        const named = new Set(listLines(leader, "stepWaiting").map(line => line.step));
        assert.equal(named.size, 40);
    });

    it("are not written in normal operation", async () => {
        const cell = new LeaderCell(3);
        const leader = await cell.startLeader();
        await cell.clock.step(200);
        await cell.submit(leader, 1, makeSpec({ taskCount: 30 }, { taskCount: 4, isGang: true, after: [0] }));
        await cell.submit(leader, 2, makeSpec({}, { after: [0] }, { after: [1] }));
        await cell.clock.step(10_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.deepEqual(listLines(leader, "stepWaiting"), []);
        assert.deepEqual(leader.log.lines.filter(line => line.level === "warn"), []);
        const states = listLines(leader, "leaderState");
        assert.ok(states.every(state => state.waitingSteps === 0 && state.mayOrder === true));
    });

    it("name a queue with open jobs once if its settings are not available", async () => {
        // An earlier version accepted jobs without recording the settings of their queue, which the operator
        // has since removed. The jobs neither run nor end, and the log must state why.
        const cell = new LeaderCell(1);
        const leader = await startWithOlderJournal(cell, 2);
        await cell.clock.step(2_000);
        cell.config = makeConfig({ version: 3, queues: [] });
        leader.leader.handleConfig();
        await cell.clock.step(4_000);
        const lines = leader.log.lines.filter(line => line.event === "queueMissing");
        assert.deepEqual(lines.map(({ code, fields }) => ({ code, ...fields })), [
            { code: "CR1618", queue: "batch", openJobs: 2, configVersion: 2 },
        ]);
        const { reason, queue, waiting, assigned, run } = listWaits(leader)[0] ?? {};
        assert.deepEqual({ reason, queue, waiting, assigned, run }, {
            reason: "queueMissing",
            queue: "batch",
            waiting: 1,
            assigned: 0,
            run: 0,
        });
    });
});
