/** Workers that start again under the name that they had, so that only their start tells incarnations apart. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { buildIncarnationId, isSameWorker, parseIncarnationId } from "../../process/ports/incarnation.js";
import { CORE, LeaderCell, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
const OTHER_ADDRESS = "10.0.0.2:80";
const FIRST = buildIncarnationId({ name: "w1", startedAt: 1_000 });
const SECOND = buildIncarnationId({ name: "w1", startedAt: 2_000 });
/** The list names a new incarnation at most this long after its start. */
const LIST_LAG_MS: Millis = 1_500;

function createCell(): LeaderCell {
    const cell = new LeaderCell(0);
    cell.addWorker(FIRST, ADDRESS);
    return cell;
}

/** Starts the worker again under its name; its clock begins anew. */
function restart(cell: LeaderCell, workerId = SECOND): void {
    cell.removeFromList(FIRST);
    cell.addWorker(workerId, ADDRESS, { clockOffset: 0 });
}

describe("ids of incarnations", () => {
    const cases = [
        { name: "a start of its own", incarnation: { name: "w1", startedAt: 1_000 }, id: "w1@1000" },
        { name: "no start", incarnation: { name: "w1", startedAt: undefined }, id: "w1" },
        { name: "a name like an id", incarnation: { name: "w1@5", startedAt: undefined }, id: "w1@5@" },
        { name: "such a name and a start", incarnation: { name: "w1@5", startedAt: 7 }, id: "w1@5@7" },
    ];
    for (const { name, incarnation, id } of cases) {
        it(`keep ${name}`, () => {
            assert.equal(buildIncarnationId(incarnation), id);
            assert.deepEqual(parseIncarnationId(id), incarnation);
            assert.equal(isSameWorker(id, buildIncarnationId({ ...incarnation, startedAt: 9 })), true);
        });
    }
});

describe("a worker that starts again under its name", () => {
    const words = [
        { name: "the list", isListedAtOnce: true, takesOver: false },
        { name: "its own report", isListedAtOnce: false, takesOver: false },
        { name: "the list, after a change of leader", isListedAtOnce: true, takesOver: true },
        { name: "its own report, after a change of leader", isListedAtOnce: false, takesOver: true },
    ];

    async function replaceWorker(
        cell: LeaderCell,
        leader: TestLeader,
        { isListedAtOnce, takesOver }: (typeof words)[number],
    ): Promise<TestLeader> {
        restart(cell);
        const listed = new Map(cell.records);
        if (!isListedAtOnce) {
            cell.records.clear();
            cell.restoreToList(FIRST, ADDRESS);
        }
        const next = takesOver ? await cell.startLeader() : leader;
        cell.refreshWorkers(next);
        cell.clock.schedule(LIST_LAG_MS, () => {
            listed.forEach((record, id) => cell.records.set(id, record));
            cell.removeFromList(FIRST);
            cell.refreshWorkers(next);
        });
        return next;
    }

    for (const word of words) {
        it(`gets its lost tasks again without waiting for a lease, as shown by ${word.name}`, async () => {
            // Guards against reports that are dropped because their clock is behind that of the earlier incarnation.
            const cell = createCell();
            cell.getBehavior = () => ({ demand: CORE, runMs: 3_000, end: "done" });
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            await cell.submit(leader, 1, makeSpec({ taskCount: 2 }));
            await cell.clock.step(500);
            const next = await replaceWorker(cell, leader, word);
            await cell.clock.step(LIST_LAG_MS + 500);
            assert.equal(cell.countStarts(1), 4);
            await cell.clock.step(4_000);
            assert.deepEqual(await cell.show(next, 1), { kind: "state", phase: "completed" });
            assert.deepEqual(cell.faults, []);
            assert.deepEqual(next.deposed, []);
        });

        const delays = [50, 400, 2_000, 8_000].flatMap(
            delayMs => [{ delayMs, cutMs: 0 }, { delayMs, cutMs: 600 }],
        );
        for (const { delayMs, cutMs } of delays) {
            const title = `${delayMs} ms late, ${cutMs} ms cut off, as shown by ${word.name}`;
            it(`does not run an order of before twice: ${title}`, async () => {
                // Guards against an order whose deadline is far ahead on the clock of the next incarnation.
                const cell = createCell();
                cell.addWorker("w2", OTHER_ADDRESS);
                cell.getBehavior = () => ({ demand: CORE, runMs: 12_000, end: "done" });
                const leader = await cell.startLeader();
                await cell.clock.step(100);
                const late = { kind: "delayRequest", ms: delayMs } as const;
                leader.workers.getPath(ADDRESS).plan(late, late, late, late);
                leader.workers.getPath(OTHER_ADDRESS).plan(late, late, late, late);
                await cell.submit(leader, 1, makeSpec({ taskCount: 6 }));
                await cell.clock.step(30);
                const next = await replaceWorker(cell, leader, word);
                const { faults } = next.workers.getPath(ADDRESS);
                faults.unreachable = cutMs > 0;
                await cell.clock.step(cutMs);
                faults.unreachable = false;
                await cell.clock.step(40_000);
                assert.deepEqual(await cell.show(next, 1), { kind: "state", phase: "completed" });
                assert.deepEqual(cell.faults, []);
                assert.deepEqual(next.deposed, []);
            });
        }
    }

    it("does not keep its tasks if it is lost before its first report", async () => {
        // Guards against runs of an ended incarnation that are never settled, as only the next one may do so.
        const cell = createCell();
        cell.addWorker("w2", OTHER_ADDRESS);
        cell.getBehavior = () => ({ demand: CORE, runMs: 20_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 4 }));
        await cell.clock.step(500);
        const path = leader.workers.getPath(ADDRESS);
        restart(cell);
        for (
            let waited = 0;
            !leader.log.lines.some(({ event }) => event === "workerStartedAgain");
            waited += 1
        ) {
            assert.ok(waited < 3_000, "the restart was not noticed");
            await cell.clock.step(1);
        }
        path.faults.unreachable = true;
        await cell.clock.step(10_000);
        const again = cell.starts.filter(({ run }) => run === 2);
        assert.equal(again.length, cell.starts.filter(({ workerId }) => workerId === FIRST).length);
        assert.ok(again.length > 0);
        assert.deepEqual(cell.faults, []);
    });

    it("gets another session under the same leader after it was not listed", async () => {
        // Guards against a leader that takes the epoch it gave to the worker itself for that of a later leader.
        const cell = createCell();
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        restart(cell);
        cell.refreshWorkers(leader);
        await cell.clock.step(500);
        cell.removeFromList(SECOND);
        cell.refreshWorkers(leader);
        await cell.clock.step(8_000);
        cell.restoreToList(SECOND, ADDRESS);
        cell.refreshWorkers(leader);
        await cell.clock.step(500);
        await cell.submit(leader, 1, makeSpec({}));
        await cell.clock.step(2_000);
        assert.deepEqual(leader.deposed, []);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
    });

    it("keeps ends that no leader has read", async () => {
        // Guards against a late request for a report that makes the next incarnation forget its first ends.
        const cell = createCell();
        cell.getBehavior = () => ({ demand: CORE, runMs: 300, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 4 }));
        await cell.clock.step(1_000);
        const late = { kind: "delayRequest", ms: 3_000 } as const;
        leader.workers.getPath(ADDRESS).plan(late, late);
        await cell.clock.step(1_000);
        restart(cell);
        cell.refreshWorkers(leader);
        await cell.submit(leader, 2, makeSpec({ taskCount: 4 }));
        await cell.clock.step(8_000);
        assert.deepEqual(await cell.show(leader, 2), { kind: "state", phase: "completed" });
        assert.equal(cell.countStarts(2), 4);
    });

    it("is not taken as gone because of an entry with another start", async () => {
        // Guards against entries of other writers that end a worker's runs.
        const cell = createCell();
        cell.getBehavior = () => ({ demand: CORE, runMs: 4_000, end: "done" });
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({ taskCount: 2 }));
        await cell.clock.step(500);
        cell.removeFromList(FIRST);
        cell.restoreToList("w1@99000", ADDRESS);
        cell.refreshWorkers(leader);
        await cell.clock.step(1_500);
        cell.removeFromList("w1@99000");
        cell.restoreToList(FIRST, ADDRESS);
        cell.refreshWorkers(leader);
        await cell.clock.step(4_000);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        assert.equal(cell.countStarts(1), 2);
        assert.deepEqual(leader.deposed, []);
    });

    it("pauses once it has started several times within seconds", async () => {
        // Guards against a flapping worker that takes gangs down with it again and again.
        const cell = createCell();
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        const waits: Millis[] = [];
        for (let start = 1; start <= 4; start++) {
            cell.records.clear();
            cell.addWorker(buildIncarnationId({ name: "w1", startedAt: 1_000 + start }), ADDRESS);
            cell.refreshWorkers(leader);
            const before = cell.starts.length;
            const begin = cell.clock.now();
            await cell.submit(leader, start, makeSpec({}));
            for (let waited = 0; cell.starts.length === before && waited < 10_000; waited += 50) {
                await cell.clock.step(50);
            }
            waits.push((cell.starts[before]?.at ?? Infinity) - begin);
        }
        assert.ok(waits.slice(0, 1).every(wait => wait < 500), waits.join());
        assert.ok(waits[2] !== undefined && waits[2] >= 1_000 && waits[2] < 4_500, waits.join());
        assert.ok(waits[3] !== undefined && waits[3] >= 3_000 && waits[3] < 10_000, waits.join());
    });
});

describe("a journal of leaders that knew workers by name only", () => {
    for (const isRunning of [true, false]) {
        it(`is taken over while the worker ${isRunning ? "still runs" : "has started again"}`, async () => {
            // Guards against a rolling upgrade that loses or doubles the runs of the older version.
            const cell = new LeaderCell(0);
            cell.addWorker("w1", ADDRESS);
            cell.getBehavior = () => ({ demand: CORE, runMs: 5_000, end: "done" });
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            await cell.submit(leader, 1, makeSpec({ taskCount: 2 }));
            await cell.clock.step(500);
            const model = cell.getModel(ADDRESS);
            cell.records.clear();
            if (isRunning) {
                Object.defineProperty(model, "workerId", { value: FIRST });
                cell.restoreToList(FIRST, ADDRESS);
            }
            else {
                cell.addWorker(FIRST, ADDRESS);
            }
            const next = await cell.startLeader();
            await cell.clock.step(isRunning ? 5_000 : 6_500);
            assert.deepEqual(await cell.show(next, 1), { kind: "state", phase: "completed" });
            assert.equal(cell.countStarts(1), isRunning ? 2 : 4);
            assert.deepEqual(cell.faults, []);
        });
    }
});
