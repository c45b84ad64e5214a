/** A leader whose own link is full for seconds, so that all its workers answer late: repeated calls must not keep it full. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import { NarrowLink } from "../fakes/narrow-link.js";
import { LeaderCell, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const WORKERS = 66;
/** What is left of 2 Mbit/s beside the store and the other nodes. */
const BYTES_PER_MS = 125;
const CALM_MS: Millis = 3_000;
const DEMAND: Resources = { cpuMillis: 500, memoryMib: 64, accelerators: 0 };
const JOBS = 24;
const TASKS_PER_JOB = 10;
const RUN_MS: Millis = 2_000;
const PAYLOAD = "x".repeat(500);
const WATCHED_MS: Millis = 12_000;
/** Every worker is asked once a second; the rest is for those that have to be asked again. */
const MAX_REPORTS = WORKERS * (CALM_MS + WATCHED_MS) / 1_000 * 1.5;
/** Every task is ordered once, and on the mean at most once more as an answer came too late. */
const MAX_ORDERS = JOBS * TASKS_PER_JOB * 2;

async function openCell(): Promise<{ cell: LeaderCell; leader: TestLeader; link: NarrowLink; }> {
    const cell = new LeaderCell(WORKERS);
    const link = new NarrowLink(cell.clock, BYTES_PER_MS);
    cell.link = link;
    cell.getBehavior = () => ({ demand: DEMAND, runMs: RUN_MS, end: "done" });
    const leader = await cell.startLeader();
    await cell.clock.step(CALM_MS);
    return { cell, leader, link };
}

function submitRush(cell: LeaderCell, leader: TestLeader): void {
    const step = { demand: DEMAND, taskCount: TASKS_PER_JOB, estimateMs: RUN_MS };
    for (let job = 1; job <= JOBS; job++) {
        void cell.send(leader, job, { ...makeSpec(step), payload: PAYLOAD });
    }
}

function countLines({ log }: TestLeader, event: string): number {
    return log.lines.filter(line => line.event === event).length;
}

describe("a leader whose link is full", () => {
    it("does not keep it full with repeated calls after a rush of jobs", async () => {
        const { cell, leader } = await openCell();
        submitRush(cell, leader);
        await cell.clock.step(WATCHED_MS);
        assert.equal(countLines(leader, "jobClosed"), JOBS);
        assert.ok(leader.workers.reports <= MAX_REPORTS, `${leader.workers.reports} reports`);
        assert.ok(leader.workers.startOrders <= MAX_ORDERS, `${leader.workers.startOrders} orders`);
        assert.deepEqual(cell.faults, []);
    });

    it("does not ask workers more often while other connections take most of it", async () => {
        const { cell, leader, link } = await openCell();
        for (let second = 0; second < 5; second++) {
            link.sendBytes(BYTES_PER_MS * 900);
            await cell.clock.step(1_000);
        }
        await cell.clock.step(WATCHED_MS - 5_000);
        assert.ok(leader.workers.reports <= MAX_REPORTS, `${leader.workers.reports} reports`);
    });
});
