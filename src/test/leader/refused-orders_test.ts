/** Workers that refuse the orders of one step while other workers would accept them. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { OrderRefusal } from "../../process/ports/task-worker-port.js";
import type { WorkerAnswer } from "../../process/ports/task-worker-port.js";
import { LeaderCell, makeJobId, makeSpec, QUEUE } from "../leader/leader-cell.js";

const ADVICE = { decideMs: 20, perWorkerMs: 1, validMs: 2_500 };
const ADDRESS = "10.0.0.1:80";

/**
 * Runs jobs under a leader whose worker `w1` gives the same answer to each order for job 1.
 * @param laterTasks - Task counts of the jobs after job 1.
 */
async function runCell(answer: WorkerAnswer<Millis>, ...laterTasks: readonly number[]): Promise<LeaderCell> {
    const cell = new LeaderCell(2);
    cell.config = { ...cell.config, queues: [{ ...QUEUE, advice: ADVICE }] };
    const model = cell.getModel(ADDRESS);
    const start = model.start.bind(model);
    model.start = order => order.task.startsWith(makeJobId(1)) ? answer : start(order);
    const leader = await cell.startLeader();
    leader.leader.addCaller({
        nodeName: "node-1",
        requestPermits: (...[, workerIds]) =>
            Promise.resolve({
                kind: "done",
                permits: workerIds.map(workerId => ({ workerId, token: "token" })),
            }),
    });
    await cell.clock.step(300);
    for (const [index, taskCount] of [1, ...laterTasks].entries()) {
        await cell.submit(leader, index + 1, makeSpec({ taskCount }));
        await cell.clock.step(1_000);
    }
    await cell.clock.step(10_000);
    return cell;
}

describe("a step whose orders one worker refuses", () => {
    const reasons = [OrderRefusal.late, OrderRefusal.outdated, OrderRefusal.invalid, OrderRefusal.noPermit];
    for (const reason of reasons) {
        it(`starts on another worker where the reason is "${reason}"`, async () => {
            // An accepted task waits forever beside a worker that would accept it: another worker ranks
            // higher, refuses each order, and ranks higher again a moment later.
            const cell = await runCell({ kind: "refused", reason });
            const start = cell.starts.find(({ task }) => task.startsWith(makeJobId(1)));
            assert.equal(start?.workerId, "w2");
            assert.ok(start.at < 1_500, `started at ${start.at}`);
            assert.deepEqual(cell.faults, []);
        });
    }

    it("starts on another worker where orders remain unanswered", async () => {
        // As above, but the worker answers report requests and no orders: its pause ended before the reports
        // had resolved the order.
        const cell = await runCell({ kind: "unknown", message: "no answer" });
        const start = cell.starts.find(({ task }) => task.startsWith(makeJobId(1)));
        assert.equal(start?.workerId, "w2");
        assert.ok(start.at < 4_000, `started at ${start.at}`);
        assert.deepEqual(cell.faults, []);
    });

    it("keeps the worker available to other steps where the reason concerns only the step", async () => {
        // Four tasks fit on each worker, so both are needed.
        const cell = await runCell({ kind: "refused", reason: OrderRefusal.outdated }, 6);
        const others = cell.starts.filter(({ task, at }) => task.startsWith(makeJobId(2)) && at < 2_000);
        assert.deepEqual([...new Set(others.map(({ workerId }) => workerId))].sort(), ["w1", "w2"]);
    });
});
