/**
 * Planned handovers: released before they are written, and taken back by a higher epoch if the write is
 * uncertain.
 */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HandoverCoordinator } from "../../../process/ownership/handover-coordinator.js";
import { addMember } from "../../../process/ownership/table-changes.js";
import { buildEmptyTable, type OwnershipTable } from "../../../process/ownership/table.js";
import type { Member } from "../../../process/roles.js";
import { FakeClock } from "../../fakes/fake-clock.js";

function makeMember(memberId: string): Member {
    return { memberId, host: "127.0.0.1", peerPort: 1, httpUrl: "", failureDomain: memberId };
}

/** A table in which one member owns everything and a second has joined. */
function makeTable(): OwnershipTable {
    return addMember(addMember(buildEmptyTable(), makeMember("old")), makeMember("fresh"));
}

function makeFixture(writeTakesEffect: boolean) {
    const calls: string[] = [];
    let table = makeTable();
    let isUncertain = !writeTakesEffect;
    const handovers = new HandoverCoordinator({
        context: { memberId: "old", clock: new FakeClock() },
        getTable: () => table,
        isReachable: () => true,
        hasWorkers: ({ kind }) => kind === "worker",
        releaseSlice: ({ kind, slice }) => {
            calls.push(`release ${kind} ${slice}`);
            return Promise.resolve(true);
        },
        write: change => {
            calls.push("write");
            if (isUncertain) {
                return Promise.resolve(false);
            }
            table = change(table);
            return Promise.resolve(true);
        },
    });
    return {
        calls,
        handovers,
        getTable: () => table,
        restoreStore: () => {
            isUncertain = false;
        },
    };
}

function listOwners(table: OwnershipTable): readonly (string | undefined)[] {
    return [...table.homeSlices, ...table.workerSlices].map(entry => entry.owner);
}

describe("a handover", () => {
    // The next owner starts as soon as the table names it. If the previous owner wrote the table before it
    // stopped, both would act on the slice, and the next owner would rely on a release that had not happened.
    it("releases every slice before the write that moves it", async () => {
        const { calls, handovers, getTable } = makeFixture(true);
        await handovers.plan(getTable())?.();
        const write = calls.indexOf("write");
        assert.ok(write > 0);
        assert.ok(calls.slice(0, write).every(each => each.startsWith("release")));
        const moved = listOwners(getTable()).filter(owner => owner === "fresh").length;
        assert.equal(moved, write);
    });

    it("moves one worker slice with workers at a time", async () => {
        const { calls, handovers, getTable } = makeFixture(true);
        await handovers.plan(getTable())?.();
        assert.equal(calls.filter(each => each.startsWith("release worker")).length, 1);
    });

    // The write may have taken effect with its answer lost, or may take effect later. The owner acts on the
    // slice again only under a higher epoch, so that a late write is refused for its outdated revision.
    it("whose write is uncertain is taken back under higher epochs", async () => {
        const { calls, handovers, getTable, restoreStore } = makeFixture(false);
        const before = getTable();
        await handovers.plan(before)?.();
        const released = calls.filter(each => each.startsWith("release")).length;
        restoreStore();
        await handovers.plan(getTable())?.();
        const after = getTable();
        assert.deepEqual(listOwners(after), listOwners(before));
        const raised =
            [...after.homeSlices, ...after.workerSlices].filter((entry, index) =>
                entry.epoch > ([...before.homeSlices, ...before.workerSlices][index]?.epoch ?? 0)
            ).length;
        assert.equal(raised, released);
    });
});
