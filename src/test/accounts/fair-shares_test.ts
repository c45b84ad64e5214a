/** Which accounts use more than their share. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NO_RESOURCES } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import { AccountUse } from "../../process/accounts/account-use.js";
import { FairShares } from "../../process/accounts/fair-shares.js";

const CAPACITY: Resources = { cpuMillis: 100_000, memoryMib: 100_000, accelerators: 0 };

function makeUse(cpuMillis: number, memoryMib = 0): Resources {
    return { cpuMillis, memoryMib, accelerators: 0 };
}

describe("accounts beyond their share", () => {
    const cases = [
        { name: "nothing runs", use: {}, expected: [] },
        { name: "workers are free", use: { a: makeUse(50_000) }, expected: [] },
        {
            name: "all use their share",
            use: { a: makeUse(30_000), b: makeUse(30_000), c: makeUse(30_000) },
            expected: [],
        },
        {
            name: "one uses most of the processors",
            use: { a: makeUse(70_000), b: makeUse(10_000), c: makeUse(10_000) },
            expected: ["a"],
        },
        {
            name: "one uses most of the memory",
            use: { a: makeUse(10_000, 80_000), b: makeUse(10_000), c: makeUse(5_000) },
            expected: ["a"],
        },
        {
            name: "the larger weight uses more",
            use: { large: makeUse(60_000), a: makeUse(15_000), b: makeUse(15_000) },
            expected: [],
        },
    ];
    for (const { name, use, expected } of cases) {
        it(`if ${name}`, () => {
            const names = ["a", "b", "c", "large"];
            const accounts = names.map(account => ({
                name: account,
                keyDigests: [],
                weight: account === "large" ? 3 : 1,
                quota: NO_RESOURCES,
            }));
            const total = new AccountUse();
            total.add(Object.entries(use).map(([account, demand]) => ({ account, demand })));
            const shares = new FairShares(accounts, total, CAPACITY);
            assert.deepEqual(names.filter(account => shares.isBeyond(account)), expected);
        });
    }

    it("are never anonymous", () => {
        assert.equal(new FairShares([], new AccountUse(), CAPACITY).isBeyond(undefined), false);
    });
});
