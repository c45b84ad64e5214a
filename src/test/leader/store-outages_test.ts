/** The store away for seconds: what waits goes on as soon as it is back, and is not asked for all the while. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { PathFaults } from "../fakes/call-path.js";
import { LeaderCell, makeSpec } from "./leader-cell.js";

const OUTAGE_MS = 4_200;
/** Half of a short job's slack; the other half is for its own steps. */
const RESUME_LIMIT_MS = 280;
/** A tenth of the 400 writes a second that the store takes from all nodes. */
const MAX_CALLS_PER_S = 40;

interface Outage {
    readonly name: string;
    readonly faults: Partial<PathFaults>;
}

const OUTAGES: readonly Outage[] = [
    { name: "turns every call away", faults: { unreachable: true } },
    { name: "resets every connection", faults: { resets: true } },
    { name: "answers nothing", faults: { dropRequestShare: 1 } },
];

describe("a leader whose store is away", () => {
    for (const { name, faults } of OUTAGES) {
        it(`goes on with what waits when a store is back that ${name}`, async () => {
            // The store is away for four seconds while tasks end whose successors wait for that to be stored. It is back,
            // and the successors start up to a second later: the leader was pausing, or waited for answers that had been
            // lost with their connections. Meanwhile each of its waiting records was sent again many times a second.
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
