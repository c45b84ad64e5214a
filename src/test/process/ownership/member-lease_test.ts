/** A member's lease: when it gives the authority to act. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { Authority } from "../../../process/ownership/authority.js";
import { MemberLease } from "../../../process/ownership/member-lease.js";
import { createStoreClient } from "../../../process/store/index.js";
import { StoreModel } from "../../../stand-ins/index.js";
import { DEFAULT_CELL } from "../../../version/settings.js";
import { CallPath } from "../../fakes/call-path.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { FakeStorePort } from "../../fakes/fake-store-port.js";
import { createFakeLog, createFakeMetrics } from "../../fakes/fake-telemetry.js";
import { PausableClock } from "../../fakes/pausable-clock.js";

const TTL_MS = 10_000;
const CELL = { ...DEFAULT_CELL, memberTtlMs: TTL_MS, clockDrift: 0 };

function makeFixture(readsTable: () => boolean) {
    const clock = new FakeClock();
    const own = new PausableClock(clock);
    const random = createRandom(1);
    const path = new CallPath(clock, own, { latencyMs: 1, random });
    const model = new StoreModel(clock);
    const log = createFakeLog();
    const store = createStoreClient({
        port: new FakeStorePort(model, path),
        clock: own,
        random,
        metrics: createFakeMetrics(),
        log,
        memberId: "a",
    });
    const authority = new Authority({
        clock: own,
        memberId: "a",
        getCell: () => CELL,
        listMemberIds: () => ["a", "b", "c"],
        getTableRevision: () => 1,
        getDigest: () => undefined,
        getLastStoreContact: () => store.getLastContact(),
    });
    const lease = new MemberLease({
        context: { memberId: "a", clock: own, log, store },
        authority,
        getTtl: () => TTL_MS,
        refreshTable: () => Promise.resolve(readsTable()),
        makeKeyValue: leaseId => JSON.stringify({ leaseId }),
    });
    return { clock, own, path, model, authority, lease };
}

describe("a member's lease", () => {
    it("gives the authority to act once granted, and keeps it while renewed", async () => {
        const { clock, authority, lease } = makeFixture(() => true);
        lease.start();
        await clock.step(500);
        assert.equal(authority.mayAct(), true);
        await clock.step(TTL_MS * 5);
        assert.equal(authority.mayAct(), true);
        void lease.close();
    });

    // An entry whose lease lapsed may have lost its slices in a table that it has not read. With a new lease
    // alone it would go on acting by the old table, on workers that only it can reach.
    it("gives no authority before the table was read under it", async () => {
        const { clock, authority, lease } = makeFixture(() => false);
        lease.start();
        await clock.step(500);
        assert.equal(authority.mayAct(), false);
        void lease.close();
    });

    // The store answers after 4 s: renewals overlap, and each extends the lease from the time at which it was
    // sent.
    it("survives a slow store", async () => {
        const { clock, path, authority, lease } = makeFixture(() => true);
        lease.start();
        await clock.step(500);
        path.faults.slowMs = 2_000;
        for (let second = 0; second < 60; second++) {
            await clock.step(1_000);
            assert.equal(authority.mayAct(), true, `after ${second} s`);
        }
        void lease.close();
    });

    it("ends with the pause of its holder", async () => {
        const { clock, own, authority, lease } = makeFixture(() => true);
        lease.start();
        await clock.step(500);
        own.pause();
        await clock.step(TTL_MS + 1_000);
        assert.equal(authority.mayAct(), false);
        own.resume();
        void lease.close();
    });
});
