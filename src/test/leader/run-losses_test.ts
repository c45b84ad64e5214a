/** Log lines about runs that are lost with their worker. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RunLoss } from "../../process/leader/run-loss.js";
import { CORE, LeaderCell, makeSpec } from "./leader-cell.js";
import type { TestLeader } from "./leader-cell.js";

const ADDRESS = "10.0.0.1:80";
const WORKED_MS = 500;

interface Case {
    readonly cause: RunLoss;
    /** Makes the worker unavailable; returns the leader whose log is checked. */
    readonly lose: (cell: LeaderCell, leader: TestLeader) => Promise<TestLeader>;
    /** Whether the leader that lost the run had ordered it. */
    readonly isOwnRun: boolean;
}

const CASES: readonly Case[] = [
    {
        cause: RunLoss.replaced,
        lose: (cell, leader) => {
            cell.addWorker("w9", ADDRESS);
            return Promise.resolve(leader);
        },
        isOwnRun: true,
    },
    {
        cause: RunLoss.leaseOver,
        lose: (_cell, leader) => {
            leader.workers.getPath(ADDRESS).faults.unreachable = true;
            return Promise.resolve(leader);
        },
        isOwnRun: true,
    },
    {
        cause: RunLoss.unheard,
        lose: async (cell, leader) => {
            leader.leader.close();
            cell.killWorker(ADDRESS);
            cell.removeFromList("w1");
            return cell.startLeader();
        },
        isOwnRun: false,
    },
];

describe("log lines about lost runs", () => {
    for (const { cause, lose, isOwnRun } of CASES) {
        it(`state the cause ${cause} and how long the run ran`, async () => {
            const cell = new LeaderCell(1);
            cell.getBehavior = () => ({ demand: CORE, runMs: 60_000, end: "done" });
            const first = await cell.startLeader();
            await cell.clock.step(100);
            await cell.submit(first, 1, makeSpec({}));
            await cell.clock.step(WORKED_MS);
            const leader = await lose(cell, first);
            await cell.clock.step(20_000);
            const line = leader.log.lines.find(({ event, fields }) =>
                event === "runEnded" && fields.end === "lost"
            );
            assert.equal(line?.fields?.cause, cause);
            assert.equal(line.fields.lostRuns, 1);
            assert.equal(typeof line.fields.ranMs, isOwnRun ? "number" : "undefined");
        });
    }
});
