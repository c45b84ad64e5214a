/**
 * A leader with an overloaded processor: which jobs it admits, and how it treats workers that seem silent.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import { decideAdmission } from "../../process/leader/admission.js";
import { LeaderCell, makeSpec } from "./leader-cell.js";

const LATE_MS: Millis = 400;
const JOBS = 40;

describe("admission under load", () => {
    const priorities = [0, 1, 2, 2];
    const random = createRandom(1);

    /** Returns the share of jobs of a priority that are refused. */
    function computeRefusedShare(latenessMs: Millis, priority: number): number {
        const draws = Array.from({ length: 1_000 }, () => random.pickFraction());
        const refused = draws.filter(draw =>
            decideAdmission({ latenessMs, priority, priorities, draw }).kind === "overloaded"
        );
        return refused.length / draws.length;
    }

    interface ShareCase {
        readonly name: string;
        readonly latenessMs: Millis;
        /** Refused share of each priority, most urgent first. */
        readonly shares: readonly number[];
    }
    const cases: readonly ShareCase[] = [
        { name: "admits all while the leader is on time", latenessMs: 20, shares: [0, 0, 0] },
        { name: "refuses the least urgent first", latenessMs: 75, shares: [0, 0, 0.5] },
        {
            name: "refuses the next priority once it admits none of the least urgent",
            latenessMs: 125,
            shares: [0, 0.5, 1],
        },
        { name: "admits nothing when the leader is far too late", latenessMs: 250, shares: [1, 1, 1] },
    ];
    for (const { name, latenessMs, shares } of cases) {
        it(name, () => {
            for (const [priority, expected] of shares.entries()) {
                const share = computeRefusedShare(latenessMs, priority);
                assert.ok(Math.abs(share - expected) < 0.05, `priority ${priority}: ${share}`);
            }
        });
    }

    // Guards against refused callers that all retry at the same time.
    it("spreads the retry times", () => {
        const times = Array.from({ length: 20 }, () => {
            const input = { latenessMs: 500, priority: 0, priorities, draw: random.pickFraction() };
            const admission = decideAdmission(input);
            return admission.kind === "overloaded" ? admission.retryAfterMs : 0;
        });
        assert.ok(Math.min(...times) >= 500);
        assert.ok(new Set(times).size > 10);
    });
});

describe("a leader that is late", () => {
    // Guards against refusing a job that was already accepted.
    it("refuses new jobs at once, does not keep them, and confirms accepted jobs", async () => {
        const cell = new LeaderCell(4);
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        assert.deepEqual(await cell.submit(leader, 1, makeSpec({})), { kind: "accepted" });
        cell.latenessMs = LATE_MS;
        for (let number = 2; number <= JOBS; number++) {
            const reply = await cell.submit(leader, number, makeSpec({}));
            assert(reply.kind === "refused");
            assert.equal(reply.reason, "overloaded");
            assert.deepEqual(await cell.show(leader, number), { kind: "noJob" });
        }
        assert.deepEqual(await cell.submit(leader, 1, makeSpec({})), { kind: "accepted" });
        await cell.clock.step(3_000);
        assert.equal(cell.starts.length, 1);
    });

    // Guards against starting a task again although an unread report states that it is done.
    for (const { isLate, starts } of [{ isLate: true, starts: 1 }, { isLate: false, starts: 2 }]) {
        it(`${isLate ? "extends its wait for" : "relies on"} the leases of silent workers`, async () => {
            const cell = new LeaderCell(2);
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            await cell.submit(leader, 1, makeSpec({}));
            await cell.clock.step(100);
            const [start] = cell.starts;
            const record = [...cell.records.values()].find(({ workerId }) => workerId === start?.workerId);
            assert(record !== undefined);
            cell.latenessMs = isLate ? LATE_MS : 0;
            const { faults } = leader.workers.getPath(record.address);
            faults.unreachable = true;
            await cell.clock.step(5_600);
            faults.unreachable = false;
            await cell.clock.step(4_000);
            assert.equal(cell.countStarts(1), starts);
        });
    }

    // Guards against work that is done twice: a worker is silent until its lease has expired, then reports
    // the run as done.
    it("accepts a lost run as done if the task was not started again", async () => {
        const cell = new LeaderCell(1);
        const leader = await cell.startLeader();
        await cell.clock.step(100);
        await cell.submit(leader, 1, makeSpec({}, { after: [0] }));
        await cell.clock.step(100);
        const [record] = cell.records.values();
        assert(record !== undefined);
        const { faults } = leader.workers.getPath(record.address);
        faults.unreachable = true;
        await cell.clock.step(6_000);
        const ends = leader.log.lines.filter(line => line.event === "runEnded").map(line => line.fields.end);
        assert.deepEqual(ends, ["lost"]);
        faults.unreachable = false;
        await cell.clock.step(4_000);
        assert.deepEqual(cell.starts.map(({ task }) => task.split(".").at(-2)), ["0", "1"]);
        assert.deepEqual(await cell.show(leader, 1), { kind: "state", phase: "completed" });
        const next = await cell.startLeader();
        assert.deepEqual(await cell.show(next, 1), { kind: "state", phase: "completed" });
    });
});
