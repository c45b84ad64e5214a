/** The two rules of the settings in force, case by case. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { HeardDigest } from "../../../process/roles.js";
import { Confirmation } from "../../../process/tree/confirmation.js";
import { type CurrencyState, isVersionCurrent } from "../../../process/tree/currency.js";

const FRESH_MS = 3_000;
const NOW = 10_000;

function makeDigest(treeVersion: number, ageMs: number): HeardDigest {
    return { digest: { treeVersion } as HeardDigest["digest"], heardAt: NOW - ageMs, sureAt: NOW - ageMs };
}

describe("isVersionCurrent", () => {
    const base: CurrencyState = {
        memberId: "a",
        now: NOW,
        freshMs: FRESH_MS,
        version: 5,
        isConfirmedMember: true,
        lastStoreContact: undefined,
        memberIds: ["a", "b", "c", "d"],
        getDigest: () => undefined,
    };
    const heard = (digests: Readonly<Record<string, HeardDigest>>) => (id: string) => digests[id];
    const cases: readonly { name: string; change: Partial<CurrencyState>; expected: boolean; }[] = [
        { name: "nothing heard", change: {}, expected: false },
        { name: "the store heard", change: { lastStoreContact: NOW - FRESH_MS }, expected: true },
        {
            name: "the store heard too long ago",
            change: { lastStoreContact: NOW - FRESH_MS - 1 },
            expected: false,
        },
        {
            name: "the store heard before membership was confirmed",
            change: { lastStoreContact: NOW, isConfirmedMember: false },
            expected: false,
        },
        {
            name: "a majority heard",
            change: { getDigest: heard({ b: makeDigest(5, 0), c: makeDigest(4, FRESH_MS) }) },
            expected: true,
        },
        {
            name: "exactly half heard",
            change: { getDigest: heard({ b: makeDigest(5, 0) }) },
            expected: false,
        },
        {
            name: "a majority heard, partly too long ago",
            change: { getDigest: heard({ b: makeDigest(5, 0), c: makeDigest(5, FRESH_MS + 1) }) },
            expected: false,
        },
        {
            name: "a majority heard, one with a newer version",
            change: { getDigest: heard({ b: makeDigest(5, 0), c: makeDigest(5, 0), d: makeDigest(6, 0) }) },
            expected: false,
        },
        {
            name: "a majority heard by one that is no member",
            change: { memberId: "x", getDigest: heard({ b: makeDigest(5, 0), c: makeDigest(5, 0) }) },
            expected: false,
        },
        {
            name: "a cell of one that has lost the store",
            change: { memberIds: ["a"] },
            expected: true,
        },
    ];
    for (const { name, change, expected } of cases) {
        it(`is ${expected} with ${name}`, () => {
            assert.equal(isVersionCurrent({ ...base, ...change }), expected);
        });
    }
});

describe("Confirmation", () => {
    const cases: readonly {
        name: string;
        members: string;
        lost?: string;
        confirmed: string;
        tables?: readonly string[];
        isTableNewest?: boolean;
        expectedAtOnce: boolean;
        expectedLater: boolean;
    }[] = [
        {
            name: "all confirmed",
            members: "abc",
            confirmed: "abc",
            expectedAtOnce: true,
            expectedLater: true,
        },
        {
            name: "one member silent",
            members: "abc",
            confirmed: "ab",
            expectedAtOnce: false,
            expectedLater: false,
        },
        {
            name: "a table that may not be the newest",
            members: "abc",
            confirmed: "abc",
            isTableNewest: false,
            expectedAtOnce: false,
            expectedLater: false,
        },
        {
            name: "a lost member silent: it may have heard a majority a moment ago",
            members: "ab",
            lost: "c",
            confirmed: "ab",
            tables: ["abc", "ab"],
            expectedAtOnce: false,
            expectedLater: true,
        },
        {
            name: "half of everybody lost and silent",
            members: "ab",
            lost: "cd",
            confirmed: "ab",
            expectedAtOnce: false,
            expectedLater: false,
        },
        {
            name: "a majority of an older table lost and silent, outnumbered by members that joined since",
            members: "abxyz",
            lost: "cde",
            confirmed: "abxyz",
            tables: ["abcde", "abxyz"],
            expectedAtOnce: false,
            expectedLater: false,
        },
    ];
    for (
        const { name, members, lost = "", confirmed, tables = [], isTableNewest = true, ...expected } of cases
    ) {
        it(`gives ${expected.expectedAtOnce} at once and ${expected.expectedLater} later with ${name}`, () => {
            const confirmation = new Confirmation();
            const isCompleteAt = (now: number): boolean =>
                confirmation.isComplete({
                    now,
                    staleAfterMs: FRESH_MS,
                    memberIds: [...members],
                    lostIds: [...lost],
                    isTableNewest,
                    hasConfirmed: memberId => confirmed.includes(memberId),
                }, tables.map(table => [...table]));
            assert.equal(isCompleteAt(0), expected.expectedAtOnce);
            assert.equal(isCompleteAt(FRESH_MS + 1), expected.expectedLater);
        });
    }
});
