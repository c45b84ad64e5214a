/** Gangs that wait while long-running services occupy workers. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HOST, LeaderCell, makeJobId, makeSpec, QUEUE, WORKER_CAPACITY } from "./leader-cell.js";

const LASTING_MS = 3_600_000;
const FIRST_QUEUE = { ...QUEUE, name: "first", pathPrefix: "/first/", priority: 0 };

describe("a gang that cannot start while a service runs", () => {
    for (const hasNewLeader of [false, true]) {
        it(`reserves no capacity${hasNewLeader ? " under a new leader" : ""}`, async () => {
            // A service occupies one of two workers, and a gang needs both. The gang reserved the other
            // worker for as long as it could still meet its objective, which is hours for a long gang; a task
            // of a less urgent queue waited beside the empty worker.
            const cell = new LeaderCell(2);
            cell.config = { ...cell.config, queues: [QUEUE, FIRST_QUEUE] };
            const runMs = { [makeJobId(1)]: LASTING_MS, [makeJobId(2)]: LASTING_MS };
            cell.getBehavior = task => ({
                demand: WORKER_CAPACITY,
                runMs: runMs[task.split(".")[0] ?? ""] ?? 100,
                end: "done",
            });
            let leader = await cell.startLeader();
            await cell.clock.step(300);
            await cell.submit(leader, 1, makeSpec({ demand: WORKER_CAPACITY, isLongRunning: true }));
            await cell.clock.step(1_000);
            if (hasNewLeader) {
                leader.leader.close();
                leader = await cell.startLeader(true);
                await cell.clock.step(1_000);
            }
            const gang = { demand: WORKER_CAPACITY, taskCount: 2, isGang: true, estimateMs: LASTING_MS };
            const path = `${FIRST_QUEUE.pathPrefix}${makeJobId(2)}`;
            void leader.leader.serve({ kind: "submit", host: HOST, path, spec: makeSpec(gang) });
            await cell.submit(leader, 3, makeSpec({}));
            await cell.clock.step(20_000);
            assert.equal(cell.countStarts(3), 1);
            assert.deepEqual(cell.faults, []);
        });
    }
});
