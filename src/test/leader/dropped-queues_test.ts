/** Jobs whose queue the operator removes before they have ended. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeRecordKey, RECORD_PREFIX } from "../../process/journal/keys.js";
import { encodeJournalRecord } from "../../process/journal/records.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import { listCodes } from "../fakes/fake-telemetry.js";
import { CORE, LeaderCell, makeJobId, makeSpec, QUEUE } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

/** Twice the capacity of the only worker, so that half of the tasks wait when the queue is dropped. */
const TASKS = 8;
const LONG_MS = 30_000;

/** Puts a newer configuration with the given queues in force. */
function setQueues(cell: LeaderCell, { leader }: TestLeader, queues: readonly QueueConfig[]): void {
    cell.config = { ...cell.config, version: cell.config.version + 1, queues };
    leader.handleConfig();
}

/** Starts the next leader on a process that has only received the current configuration. */
async function replaceLeader(cell: LeaderCell, leader: TestLeader): Promise<TestLeader> {
    leader.clock.kill();
    const next = await cell.startLeader();
    next.leader.handleConfig();
    return next;
}

const CHANGES = [
    { name: "under the same leader", hasNewLeader: false },
    { name: "through a change of the leader", hasNewLeader: true },
];

for (const { name, hasNewLeader } of CHANGES) {
    describe(`a job whose queue is dropped, ${name}`, () => {
        async function dropQueue(cell: LeaderCell, leader: TestLeader): Promise<TestLeader> {
            setQueues(cell, leader, []);
            await cell.clock.step(200);
            return hasNewLeader ? replaceLeader(cell, leader) : leader;
        }

        it("is finished", async () => {
            // A job's queue is removed from the configuration while its tasks wait. Its steps were silently
            // left out of scheduling: the job neither ran nor ended, with all workers free.
            const cell = new LeaderCell(1);
            const first = await cell.startLeader();
            assert.deepEqual(await cell.submit(first, 1, makeSpec({ taskCount: TASKS })), {
                kind: "accepted",
            });
            await cell.clock.step(300);
            const leader = await dropQueue(cell, first);
            await cell.clock.step(LONG_MS);
            assert.equal(cell.countStarts(1), TASKS);
            assert.deepEqual(cell.faults, []);
            setQueues(cell, leader, [QUEUE]);
            assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        });

        it("fails after the attempts that its queue allowed last", async () => {
            // The queue's settings change after the job was accepted, and then the queue is dropped. Without
            // a known limit of attempts, a task that always fails was never given up.
            const cell = new LeaderCell(1);
            cell.getBehavior = () => ({ demand: CORE, runMs: 500, end: "failed" });
            const first = await cell.startLeader();
            await cell.submit(first, 1, makeSpec({}));
            setQueues(cell, first, [{ ...QUEUE, maxAttempts: 5 }]);
            await cell.clock.step(200);
            const leader = await dropQueue(cell, first);
            await cell.clock.step(LONG_MS);
            assert.equal(cell.countStarts(1), 5);
            setQueues(cell, leader, [QUEUE]);
            assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "failed" });
        });

        it("uses its queue's settings once a later configuration contains the queue again", async () => {
            const cell = new LeaderCell(1);
            cell.getBehavior = () => ({ demand: CORE, runMs: 500, end: "failed" });
            const first = await cell.startLeader();
            await cell.submit(first, 1, makeSpec({}));
            const leader = await dropQueue(cell, first);
            setQueues(cell, leader, [{ ...QUEUE, maxAttempts: 6 }]);
            await cell.clock.step(LONG_MS);
            assert.equal(cell.countStarts(1), 6);
        });

        it("accepts no new requests", async () => {
            const cell = new LeaderCell(1);
            const first = await cell.startLeader();
            await cell.submit(first, 1, makeSpec({}));
            const leader = await dropQueue(cell, first);
            assert.deepEqual(await cell.submit(leader, 2, makeSpec({})), { kind: "noQueue" });
            assert.deepEqual(await cell.show(leader, 1), { kind: "noQueue" });
        });
    });
}

describe("a leader with an older configuration than its predecessor", () => {
    it("uses the newer settings", async () => {
        // The leader that knew the newest configuration is lost, and a node that lags behind takes over. The
        // older settings must not reduce the attempts that the newer ones allow.
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: 500, end: "failed" });
        const first = await cell.startLeader();
        await cell.submit(first, 1, makeSpec({}));
        const older = cell.config;
        setQueues(cell, first, [{ ...QUEUE, maxAttempts: 5 }]);
        await cell.clock.step(200);
        cell.config = older;
        await replaceLeader(cell, first);
        await cell.clock.step(LONG_MS);
        assert.equal(cell.countStarts(1), 5);
    });
});

describe("the settings of a queue that is dropped", () => {
    it("are deleted once none of its jobs is open", async () => {
        const cell = new LeaderCell(1);
        const first = await cell.startLeader();
        await cell.submit(first, 1, makeSpec({}));
        setQueues(cell, first, []);
        await cell.clock.step(20_000);
        const loaded = await replaceLeader(cell, first);
        const keys = cell.store.list(RECORD_PREFIX);
        const texts = keys.kind === "done" ? keys.value.records.map(record => record.value) : [];
        assert.equal(texts.filter(text => text.includes('"queueForgotten"')).length, 1);
        assert.deepEqual(listCodes(loaded.log), []);
    });

    it("are missing in journals of earlier versions: a log line reports that the jobs wait for their queue", async () => {
        const cell = new LeaderCell(1);
        const jobId = makeJobId(1);
        const accepted = { type: "accepted", jobId, queue: QUEUE.name, spec: makeSpec({}), at: 0 } as const;
        const record = encodeJournalRecord({ epoch: 1, sequence: 1, events: [accepted] });
        cell.store.putDirectly(makeRecordKey(1), record);
        cell.config = { ...cell.config, queues: [] };
        const leader = await cell.startLeader();
        await cell.clock.step(5_000);
        assert.deepEqual(listCodes(leader.log), ["CR1618"]);
        setQueues(cell, leader, [QUEUE]);
        await cell.clock.step(5_000);
        assert.equal(cell.countStarts(1), 1);
    });
});
