/** What quotas leave for one planning pass. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Resources } from "../../common/resources.js";
import { AccountUse } from "../../process/accounts/account-use.js";
import { canQuotaHold, QuotaLedger } from "../../process/accounts/quota-ledger.js";
import type { AccountConfig } from "../../version/cluster-config.js";

const TASK: Resources = { cpuMillis: 2_000, memoryMib: 1_000, accelerators: 0 };

function makeQuota(cpuMillis: number, memoryMib = 0, accelerators = 0): Resources {
    return { cpuMillis, memoryMib, accelerators };
}

function makeLedger(quota: Resources, running: number): QuotaLedger {
    const account: AccountConfig = { name: "a", keyDigests: [], weight: 1, quota };
    const use = new AccountUse();
    use.add(Array.from({ length: running }, () => ({ account: "a", demand: TASK })));
    use.add([{ account: undefined, demand: TASK }, { account: "b", demand: TASK }]);
    return new QuotaLedger([account], use);
}

describe("places that a quota leaves", () => {
    const cases = [
        { name: "nothing runs", quota: makeQuota(10_000), running: 0, expected: 5 },
        { name: "some tasks run", quota: makeQuota(10_000), running: 3, expected: 2 },
        { name: "it is used up", quota: makeQuota(10_000), running: 5, expected: 0 },
        { name: "it was lowered below what runs", quota: makeQuota(4_000), running: 5, expected: 0 },
        { name: "memory is scarcer", quota: makeQuota(10_000, 2_500), running: 0, expected: 2 },
        { name: "no dimension is limited", quota: makeQuota(0), running: 50, expected: Infinity },
        {
            name: "a dimension that the task does not use is limited",
            quota: makeQuota(0, 0, 1),
            running: 0,
            expected: Infinity,
        },
    ];
    for (const { name, quota, running, expected } of cases) {
        it(`if ${name}`, () => assert.equal(makeLedger(quota, running).countPlaces("a", TASK), expected));
    }

    it("do not limit anonymous jobs or removed accounts", () => {
        const ledger = makeLedger(makeQuota(2_000), 1);
        assert.deepEqual([undefined, "gone"].map(name => ledger.countPlaces(name, TASK)), [
            Infinity,
            Infinity,
        ]);
    });

    it("shrink with each task that the pass plans, and grow when it is released", () => {
        const ledger = makeLedger(makeQuota(10_000), 3);
        ledger.take("a", TASK);
        assert.equal(ledger.countPlaces("a", TASK), 1);
        ledger.release("a", TASK);
        assert.equal(ledger.countPlaces("a", TASK), 2);
    });
});

describe("a quota", () => {
    const cases = [
        { quota: makeQuota(10_000), tasks: 5, expected: true },
        { quota: makeQuota(10_000), tasks: 6, expected: false },
        { quota: makeQuota(0, 4_000), tasks: 5, expected: false },
        { quota: makeQuota(0), tasks: 1_000, expected: true },
    ];
    for (const { quota, tasks, expected } of cases) {
        it(`of ${quota.cpuMillis} and ${quota.memoryMib} can${expected ? "" : "not"} hold ${tasks} tasks at once`, () => {
            assert.equal(canQuotaHold(quota, TASK, tasks), expected);
        });
    }
});
