/** A member's lease: when it gives the right to act. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../../common/random.js";
import { MemberLease } from "../../../process/ownership/member-lease.js";
import { Standing } from "../../../process/ownership/standing.js";
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

function makeScene(readsTable: () => boolean) {
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
    const standing = new Standing({
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
        standing,
        getTtl: () => TTL_MS,
        refreshTable: () => Promise.resolve(readsTable()),
        value: leaseId => JSON.stringify({ leaseId }),
    });
    return { clock, own, path, model, standing, lease };
}

describe("a member's lease", () => {
    it("gives the right to act once granted, and keeps it while renewed", async () => {
        const { clock, standing, lease } = makeScene(() => true);
        lease.start();
        await clock.step(500);
        assert.equal(standing.mayAct(), true);
        await clock.step(TTL_MS * 5);
        assert.equal(standing.mayAct(), true);
        void lease.close();
    });

    // An entry whose lease lapsed has lost its slices in a table that it has not seen. A new lease alone would let
    // it go on by the old table, on workers that only it can reach.
    it("gives no right before the table was read under it", async () => {
        const { clock, standing, lease } = makeScene(() => false);
        lease.start();
        await clock.step(500);
        assert.equal(standing.mayAct(), false);
        void lease.close();
    });

    // The store answers after 4 s. Renewals overlap, and each counts from when it was sent.
    it("survives a slow store", async () => {
        const { clock, path, standing, lease } = makeScene(() => true);
        lease.start();
        await clock.step(500);
        path.faults.slowMs = 2_000;
        for (let second = 0; second < 60; second++) {
            await clock.step(1_000);
            assert.equal(standing.mayAct(), true, `after ${second} s`);
        }
        void lease.close();
    });

    it("ends with the pause of its holder", async () => {
        const { clock, own, standing, lease } = makeScene(() => true);
        lease.start();
        await clock.step(500);
        own.pause();
        await clock.step(TTL_MS + 1_000);
        assert.equal(standing.mayAct(), false);
        own.resume();
        void lease.close();
    });
});
