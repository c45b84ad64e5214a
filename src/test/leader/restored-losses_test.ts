/** What a leader makes of the losses of workers that earlier leaders recorded. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { CrashCell } from "./crash-cell.js";
import { CORE, makeSpec } from "./leader-cell.js";

const WORKERS = 8;
const DOWN_MS: Millis = 3_000;
const JOBS = 4;
/** Time until all losses are recorded. */
const RECORDED_MS: Millis = 4_000;

/** Number of losses from which a task pauses, and for how long. */
const PAUSING_LOSSES = 3;
const PAUSE_MS: Millis = 5_000;

/** Starts a leader some time after each of some tasks has crashed one worker, and lists its log events. */
async function listEvents(sinceLossesMs: Millis): Promise<readonly string[]> {
    const crashCell: CrashCell = new CrashCell({
        workers: WORKERS,
        downMs: DOWN_MS,
        isCrashing: () => crashCell.crashes.length < JOBS,
    });
    const { cell } = crashCell;
    cell.getBehavior = () => ({ demand: CORE, runMs: 60_000, end: "done" });
    const first = await crashCell.startLeader();
    for (let job = 1; job <= JOBS; job++) {
        await cell.submit(first, job, makeSpec({ demand: { ...CORE, cpuMillis: 4_000 } }));
        await cell.clock.step(200);
    }
    assert.equal(crashCell.crashes.length, JOBS);
    await cell.clock.step(RECORDED_MS + sinceLossesMs);
    const second = await crashCell.startLeader();
    await cell.clock.step(1_000);
    assert.deepEqual(cell.faults, []);
    return second.log.lines.map(({ event }) => event);
}

const CASES = [
    { name: "puts a queue on probation for recent ones", sinceLossesMs: 1_000, isOnProbation: true },
    { name: "counts none of long ago as new", sinceLossesMs: 20_000, isOnProbation: false },
];

describe("a leader that inherits losses of workers", () => {
    for (const { name, sinceLossesMs, isOnProbation } of CASES) {
        it(name, async () => {
            const events = await listEvents(sinceLossesMs);
            assert.equal(events.includes("queueOnProbation"), isOnProbation);
            assert.equal(events.includes("probationState"), isOnProbation);
        });
    }

    it("does not blame a queue for workers that were lost together", async () => {
        const crashCell = new CrashCell({ workers: 16, downMs: DOWN_MS, isCrashing: () => false });
        const { cell } = crashCell;
        cell.getBehavior = () => ({ demand: CORE, runMs: 60_000, end: "done" });
        const first = await crashCell.startLeader();
        const wide = { ...CORE, cpuMillis: 2_000 };
        await cell.submit(first, 1, makeSpec({ taskCount: 16, maxPerWorker: 1, demand: wide }));
        await cell.clock.step(2_000);
        await cell.submit(first, 2, makeSpec({ taskCount: 5, maxPerWorker: 1, demand: wide }));
        await cell.clock.step(50);
        assert.equal(cell.countStarts(2), 5);
        [...cell.records.keys()].forEach(workerId => crashCell.killWorker(workerId));
        await cell.clock.step(RECORDED_MS);
        const second = await crashCell.startLeader();
        await cell.clock.step(1_000);
        const lines = [...first.log.lines, ...second.log.lines];
        assert.deepEqual(lines.filter(({ event }) => event === "queueOnProbation"), []);
    });

    it("does not begin the pause of a task that was lost repeatedly anew", async () => {
        const crashCell = new CrashCell({ workers: WORKERS, downMs: DOWN_MS, isCrashing: () => false });
        const { cell } = crashCell;
        cell.getBehavior = () => ({ demand: CORE, runMs: 60_000, end: "done" });
        const first = await crashCell.startLeader();
        await cell.submit(first, 1, makeSpec({}));
        for (let loss = 1; loss <= PAUSING_LOSSES; loss++) {
            await cell.clock.step(1_000);
            const { workerId = "" } = cell.starts.at(-1) ?? {};
            crashCell.killWorker(workerId);
            await cell.clock.step(RECORDED_MS);
        }
        assert.equal(cell.countStarts(1), PAUSING_LOSSES);
        await cell.clock.step(PAUSE_MS - 1_000);
        await crashCell.startLeader();
        await cell.clock.step(2_000);
        assert.equal(cell.countStarts(1), PAUSING_LOSSES + 1);
    });
});
