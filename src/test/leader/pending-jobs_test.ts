/** What callers see of jobs whose tasks were assigned to workers and have not begun. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { WorkerAnswer } from "../../process/ports/task-worker-port.js";
import { OrderRefusal } from "../../process/ports/task-worker-port.js";
import { CORE, HOST, LeaderCell, makeSpec, PREFIX } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
const LONG_MS: Millis = 60_000;

interface Shown {
    /** Jobs of the queue that wait. */
    readonly pending: number;
    /** State of job 1. */
    readonly phase: string;
}

const WAITING: Shown = { pending: 1, phase: "queued" };
const RUNNING: Shown = { pending: 0, phase: "running" };

async function showAll(cell: LeaderCell, leader: TestLeader): Promise<Shown> {
    const request = { kind: "show", host: HOST, path: PREFIX } as const;
    const queue = await cell.clock.wait(leader.leader.serve(request), 500);
    const job = await cell.show(leader, 1);
    assert(queue.kind === "pending" && job.kind === "state");
    return { pending: queue.count, phase: job.phase };
}

/** Makes the only worker give the same answer to each order, which it does not carry out. */
function setAnswer(cell: LeaderCell, answer: WorkerAnswer<Millis>): void {
    cell.getModel(ADDRESS).start = () => answer;
}

describe("a job whose task", () => {
    const cases: readonly {
        readonly name: string;
        readonly prepare: (cell: LeaderCell, leader: TestLeader) => void;
        readonly expected: Shown;
    }[] = [
        {
            name: "is refused by an unhealthy worker",
            prepare: cell => setAnswer(cell, { kind: "refused", reason: OrderRefusal.unhealthy }),
            expected: WAITING,
        },
        {
            name: "is refused for lack of room",
            prepare: cell => setAnswer(cell, { kind: "refused", reason: OrderRefusal.noRoom }),
            expected: WAITING,
        },
        {
            name: "was not sent to its worker",
            prepare: cell => setAnswer(cell, { kind: "notSent", message: "no connection" }),
            expected: WAITING,
        },
        {
            name: "was ordered without an answer, and did not begin",
            prepare: cell => setAnswer(cell, { kind: "unknown", message: "no answer" }),
            expected: WAITING,
        },
        {
            name: "was ordered without an answer, and began",
            prepare: (...[, leader]) => {
                leader.workers.getPath(ADDRESS).plan({ kind: "dropAnswer" });
            },
            expected: RUNNING,
        },
        { name: "has begun", prepare: () => undefined, expected: RUNNING },
    ];
    for (const { name, prepare, expected } of cases) {
        it(`${name} is shown as ${expected.phase}, also by the next leader`, async () => {
            // Guards against a queue that seems empty while accepted jobs wait in it.
            const cell = new LeaderCell(1);
            cell.getBehavior = () => ({ demand: CORE, runMs: LONG_MS, end: "done" });
            const first = await cell.startLeader();
            await cell.clock.step(300);
            prepare(cell, first);
            await cell.submit(first, 1, makeSpec({}));
            await cell.clock.step(5_000);
            assert.deepEqual(await showAll(cell, first), expected);
            first.clock.kill();
            const second = await cell.startLeader();
            await cell.clock.step(1_000);
            assert.deepEqual(await showAll(cell, second), expected);
        });
    }

    it("has begun is shown as running by the next leader before any worker has reported", async () => {
        // Guards against running jobs that count as waiting again after each change of leader.
        const cell = new LeaderCell(1);
        cell.getBehavior = () => ({ demand: CORE, runMs: LONG_MS, end: "done" });
        const first = await cell.startLeader();
        await cell.clock.step(300);
        await cell.submit(first, 1, makeSpec({}));
        await cell.clock.step(300);
        await cell.submit(first, 2, makeSpec({}));
        await cell.clock.step(300);
        first.clock.kill();
        const second = await cell.startLeader();
        second.workers.getPath(ADDRESS).faults.unreachable = true;
        assert.equal((await showAll(cell, second)).phase, "running");
    });

    it("was assigned just before its leader was lost is shown as queued by the next one", async () => {
        // Guards against a count that takes the intent to start a task for its start.
        const cell = new LeaderCell(1);
        const first = await cell.startLeader();
        await cell.clock.step(300);
        first.workers.getPath(ADDRESS).faults.dropRequestShare = 1;
        await cell.submit(first, 1, makeSpec({}));
        await cell.clock.step(200);
        assert.deepEqual(await showAll(cell, first), WAITING);
        first.clock.kill();
        const second = await cell.startLeader();
        second.workers.getPath(ADDRESS).faults.unreachable = true;
        assert.deepEqual(await showAll(cell, second), WAITING);
    });
});
