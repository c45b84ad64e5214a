/** Entries that leave, crash, freeze or lose the store: no task is lost, run twice or abandoned needlessly. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Caller, JobSpec, JobView } from "../../request/work.js";
import { FakeCell, type FakeMember } from "../fakes/fake-cell.js";

const CALLER: Caller = { callerId: "engineer", team: "hooghly" };
const JOBS = 6;
const TASKS = 20;
const LIMIT_MS = 120_000;

function makeSpec(repeatable: boolean): JobSpec {
    return {
        kind: "batch",
        branch: "batch",
        tasks: TASKS,
        resources: { cpuMillis: 1_000, memoryMib: 512, accelerators: 0 },
        estimateMs: 2_000,
        urgent: false,
        repeatable,
        payload: JSON.stringify({ runMs: 2_000 }),
    };
}

/** Submits jobs, every second one not repeatable, to an entry that stays up. */
async function submitAll(cell: FakeCell, member: FakeMember): Promise<readonly string[]> {
    const jobIds: string[] = [];
    for (let index = 0; index < JOBS; index++) {
        const spec = makeSpec(index % 2 === 0);
        const jobId = member.entry.callers.makeJobId(CALLER, spec);
        const request = { kind: "submitJob", jobId, caller: CALLER, spec } as const;
        const reply = await cell.clock.wait(member.entry.callers.callHome(jobId, request, 5_000), 10_000);
        assert.equal(reply.kind, "job", JSON.stringify(reply));
        jobIds.push(jobId);
    }
    return jobIds;
}

async function waitForEnds(
    cell: FakeCell,
    member: FakeMember,
    jobIds: readonly string[],
): Promise<readonly JobView[]> {
    const jobs: JobView[] = [];
    for (const jobId of jobIds) {
        const request = { kind: "waitJob", jobId, team: CALLER.team, waitMs: LIMIT_MS } as const;
        const reply = await cell.clock.wait(
            member.entry.callers.callHome(jobId, request, LIMIT_MS),
            LIMIT_MS * 2,
        );
        assert.equal(reply.kind, "job", JSON.stringify(reply));
        if (reply.kind === "job") {
            jobs.push(reply.job);
        }
    }
    return jobs;
}

/** Counts tasks that ran in two places at once, according to the workers' journals. */
function countOverlaps(cell: FakeCell): number {
    const ends = new Map<string, number>();
    let overlaps = 0;
    for (const run of cell.journal.runs) {
        const { jobId, index } = JSON.parse(run.label) as { readonly jobId: string; readonly index: number; };
        const task = `${jobId}/${index}`;
        overlaps += run.startedAt < (ends.get(task) ?? -1) ? 1 : 0;
        ends.set(task, run.endedAt ?? Number.POSITIVE_INFINITY);
    }
    return overlaps;
}

/** Lists the members, and the owners and epochs of all slices, as one entry knows them. */
function listOwnership(cell: FakeCell) {
    const { members, workerSlices, homeSlices } = cell.requireMember().entry.operators.getStatus();
    return { members: members.map(({ memberId }) => memberId), workerSlices, homeSlices };
}

interface Scenario {
    readonly name: string;
    readonly act: (cell: FakeCell, victim: FakeMember) => Promise<void>;
    /** Largest number of non-repeatable tasks that may end as `mayHaveRun`. */
    readonly mayHaveRun: number;
}

const scenarios: readonly Scenario[] = [
    {
        // An operator replaces an entry. Other entries take over its slices, and callers notice nothing.
        name: "leaves gracefully",
        act: async (cell, victim) => {
            await cell.clock.wait(victim.entry.leave(), LIMIT_MS);
            victim.alive = false;
        },
        mayHaveRun: 0,
    },
    {
        // An entry's VM crashes with tasks queued at its placer and running on its workers. The others revoke
        // its lease, attach to its workers, and prove for each waiting task that it did not start.
        name: "crashes",
        act: async (cell, victim) => {
            cell.kill(victim);
            await cell.clock.step(1);
        },
        mayHaveRun: 0,
    },
    {
        // An entry is frozen for 40 s and resumes with orders to send, long after others took over its
        // slices.
        name: "is paused for 40 s",
        act: async (cell, victim) => {
            victim.clock.pause();
            await cell.clock.step(40_000);
            victim.clock.resume();
        },
        mayHaveRun: 0,
    },
    {
        // The store is unreachable for all entries for a minute and all leases expire. Entries continue with
        // the slices that they own. When the store returns, no member is removed, and pending ends of tasks
        // are written.
        name: "loses the store for a minute, as do all others",
        act: async cell => {
            const before = listOwnership(cell);
            cell.members.forEach(member => {
                member.storePath.faults.unreachable = true;
            });
            await cell.clock.step(60_000);
            cell.members.forEach(member => {
                member.storePath.faults.unreachable = false;
            });
            await cell.clock.step(5_000);
            assert.deepEqual(listOwnership(cell), before);
        },
        mayHaveRun: 0,
    },
    {
        // The links of one entry to all others are cut for 40 s while it reaches store and workers.
        name: "is cut from its peers for 40 s",
        act: async (cell, victim) => {
            cell.network.cutMember(victim.memberId);
            await cell.clock.step(40_000);
            cell.network.healAll();
        },
        mayHaveRun: 0,
    },
];

describe("an entry under load", () => {
    for (const { name, act, mayHaveRun } of scenarios) {
        it(`${name}: every task ends once`, async () => {
            const cell = new FakeCell({ entries: 4, workers: 8, seed: 3 });
            await cell.start();
            const [victim, survivor] = cell.members;
            assert.ok(victim !== undefined && survivor !== undefined);
            const jobIds = await submitAll(cell, survivor);
            await cell.clock.step(1_000);
            await act(cell, victim);
            const jobs = await waitForEnds(cell, survivor, jobIds);
            const lost = jobs.reduce((sum, job) => sum + job.counts.mayHaveRun, 0);
            const done = jobs.reduce((sum, job) => sum + job.counts.done, 0);
            assert.ok(lost <= mayHaveRun, `${lost} tasks may have run`);
            assert.equal(done, JOBS * TASKS - lost);
            assert.equal(countOverlaps(cell), 0);
        });
    }

    // A rolling replacement, as operators do with each release: a new entry joins before an old one leaves.
    // It must not affect callers' jobs.
    it("all are replaced in turn: every task ends once", async () => {
        const cell = new FakeCell({ entries: 3, workers: 8, seed: 5 });
        await cell.start();
        const jobIds = await submitAll(cell, cell.requireMember());
        for (const old of [...cell.members]) {
            const replacement = cell.addMember();
            await cell.waitUntil(() => replacement.entry.isReady(), "the new entry is ready");
            await cell.clock.wait(old.entry.leave(), LIMIT_MS);
            old.alive = false;
        }
        const jobs = await waitForEnds(cell, cell.requireMember(), jobIds);
        assert.deepEqual(jobs.map(job => job.counts.done), jobs.map(() => TASKS));
        assert.equal(cell.journal.runs.length, JOBS * TASKS);
        assert.equal(countOverlaps(cell), 0);
    });
});
