/** Outages of the store: waiting work resumes as soon as it is back, without a flood of calls meanwhile. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PathFaults } from "../fakes/call-path.js";
import { LeaderCell, makeSpec } from "./leader-cell.js";

const OUTAGE_MS = 4_200;
/** Half of a short job's slack; the other half is for its own steps. */
const RESUME_LIMIT_MS = 280;
/** A tenth of the 400 writes per second that the store accepts from all nodes. */
const MAX_CALLS_PER_S = 40;

interface Outage {
    readonly name: string;
    readonly faults: Partial<PathFaults>;
}

const OUTAGES: readonly Outage[] = [
    { name: "rejects every call", faults: { unreachable: true } },
    { name: "resets every connection", faults: { resets: true } },
    { name: "answers no call", faults: { dropRequestShare: 1 } },
];

describe("a leader whose store is unavailable", () => {
    for (const { name, faults } of OUTAGES) {
        it(`resumes waiting work soon after an outage in which the store ${name}`, async () => {
            // The store is unavailable for four seconds while tasks end whose successors wait for that to be
            // stored. After the outage the successors started up to a second late: the leader was in backoff,
            // or waited for answers that were lost with their connections. During it, each pending record was
            // sent again many times a second.
            const cell = new LeaderCell(4);
            const leader = await cell.startLeader();
            await cell.clock.step(100);
            for (let number = 1; number <= 4; number++) {
                await cell.submit(leader, number, makeSpec({}, { after: [0] }));
                await cell.clock.step(100);
            }
            assert.equal(cell.starts.length, 4);
            await cell.clock.step(400);
            const normal = { ...leader.storePath.faults };
            Object.assign(leader.storePath.faults, faults);
            const before = leader.storePath.calls;
            await cell.clock.step(OUTAGE_MS);
            assert.equal(cell.starts.length, 4);
            const calls = leader.storePath.calls - before;
            assert.ok(calls < MAX_CALLS_PER_S * OUTAGE_MS / 1_000, `${calls} calls`);
            Object.assign(leader.storePath.faults, normal);
            await cell.clock.step(RESUME_LIMIT_MS);
            assert.equal(cell.starts.length, 8);
            assert.deepEqual(leader.deposed, []);
            assert.deepEqual(cell.faults, []);
        });
    }
});
