/** Whose connection is closed when clients together hold more than they may. */
import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { computeConnectionLimits } from "../../../connection/http/connection-limits.js";
import { ConnectionTable } from "../../../connection/http/connection-table.js";
import type { ConnectionGroup, ConnectionRecord } from "../../../connection/http/connection-table.js";
import { FakeClock } from "../../fakes/fake-clock.js";

const MEBIBYTE = 1_048_576;
const MAX_HELD_BYTES = 100;
const GROUP: ConnectionGroup = { name: "callers", maxConnections: 3 };
const OTHER_GROUP: ConnectionGroup = { name: "readiness", maxConnections: 1 };

let table: ConnectionTable;
let shed: string[];
beforeEach(() => {
    const clock = new FakeClock();
    let now = 0;
    // Each event is later than the one before.
    clock.now = () => ++now;
    shed = [];
    table = new ConnectionTable(clock, MAX_HELD_BYTES, { handleShed: () => undefined });
});

function addConnection(name: string, group = GROUP): ConnectionRecord {
    const record = table.add(group, () => shed.push(name));
    assert.ok(record !== undefined, `${name} was not accepted`);
    return record;
}

describe("connections over the limit of their group", () => {
    interface ShedCase {
        readonly name: string;
        /** What happens to the connections a, b and c, in the order of their age. */
        readonly prepare: (a: ConnectionRecord, b: ConnectionRecord, c: ConnectionRecord) => void;
        readonly expected: string | undefined;
    }
    const cases: readonly ShedCase[] = [
        { name: "closes the one that waits longest", prepare: () => undefined, expected: "a" },
        {
            name: "spares clients that have been served",
            prepare: a => a.hasBeenServed = true,
            expected: "b",
        },
        {
            name: "spares connections whose request is handled",
            prepare: (a, b) => [a, b].forEach(record => table.startServing(record)),
            expected: "c",
        },
        {
            name: "counts the wait from the last response",
            prepare: a => table.startWaiting(a),
            expected: "b",
        },
        {
            name: "does not accept another one if all are handled",
            prepare: (...records) => records.forEach(record => table.startServing(record)),
            expected: undefined,
        },
    ];
    for (const { name, prepare, expected } of cases) {
        it(name, () => {
            prepare(addConnection("a"), addConnection("b"), addConnection("c"));
            const added = table.add(GROUP, () => undefined);
            assert.equal(added !== undefined, expected !== undefined);
            assert.deepEqual(shed, expected === undefined ? [] : [expected]);
            assert.equal(table.count(GROUP), 3);
        });
    }

    it("leaves connections of other groups alone", () => {
        addConnection("check", OTHER_GROUP);
        ["a", "b", "c", "d"].forEach(name => addConnection(name));
        assert.deepEqual(shed, ["a"]);
        assert.equal(table.count(OTHER_GROUP), 1);
    });
});

describe("held bytes over the limit", () => {
    it("closes the oldest unfinished request, and releases its bytes", () => {
        const [a, b, c] = [addConnection("a"), addConnection("b"), addConnection("c")];
        assert.ok(table.tryHold(b, 60));
        assert.ok(table.tryHold(c, 30));
        assert.ok(table.tryHold(a, 20));
        assert.deepEqual(shed, ["b"]);
        assert.equal(table.getHeldBytes(), 50);
    });

    it("refuses bytes if all others are handled", () => {
        const [a, b] = [addConnection("a"), addConnection("b")];
        assert.ok(table.tryHold(a, 60));
        table.startServing(a);
        assert.ok(!table.tryHold(b, 60));
        assert.deepEqual([shed, table.getHeldBytes()], [[], 60]);
    });

    it("serves a single request of any size in calm", () => {
        const a = addConnection("a");
        assert.ok(table.tryHold(a, 3 * MAX_HELD_BYTES));
        table.remove(a);
        assert.equal(table.getHeldBytes(), 0);
    });
});

describe("limits derived from a VM", () => {
    const vms = [
        { memoryMib: 210, maxDescriptors: 3_075 },
        { memoryMib: 350, maxDescriptors: 4_100 },
        { memoryMib: 210, maxDescriptors: 400 },
    ];
    for (const { memoryMib, maxDescriptors } of vms) {
        it(`leave half of ${memoryMib} MiB and a part of ${maxDescriptors} descriptors to the program`, () => {
            const memoryBytes = memoryMib * MEBIBYTE;
            const limits = computeConnectionLimits({ memoryBytes, maxDescriptors });
            const connections = limits.maxConnections + 2 * limits.maxServiceConnections;
            assert.ok(connections + limits.maxInboundLinks < 0.75 * (maxDescriptors - 200));
            assert.ok(connections * 65_536 + limits.maxHeldBytes < memoryBytes / 2);
            assert.ok(limits.maxHeldBytes > 10 * 262_144);
        });
    }
});
