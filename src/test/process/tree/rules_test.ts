/** Rules for settings in force: when an entry may act on its version, and when a version is confirmed. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { ReceivedDigest } from "../../../process/roles.js";
import { Confirmation } from "../../../process/tree/confirmation.js";
import { type FreshnessState, isVersionCurrent } from "../../../process/tree/version-freshness.js";

const FRESH_MS = 3_000;
const NOW = 10_000;

function makeDigest(treeVersion: number, ageMs: number): ReceivedDigest {
    return {
        digest: { treeVersion } as ReceivedDigest["digest"],
        receivedAt: NOW - ageMs,
        createdAfter: NOW - ageMs,
    };
}

describe("isVersionCurrent", () => {
    const base: FreshnessState = {
        memberId: "a",
        now: NOW,
        freshMs: FRESH_MS,
        version: 5,
        isConfirmedMember: true,
        lastStoreContact: undefined,
        memberIds: ["a", "b", "c", "d"],
        getDigest: () => undefined,
    };
    const makeDigestLookup = (digests: Readonly<Record<string, ReceivedDigest>>) => (id: string) =>
        digests[id];
    const cases: readonly { name: string; change: Partial<FreshnessState>; expected: boolean; }[] = [
        { name: "no contact", change: {}, expected: false },
        { name: "recent store contact", change: { lastStoreContact: NOW - FRESH_MS }, expected: true },
        {
            name: "store contact too long ago",
            change: { lastStoreContact: NOW - FRESH_MS - 1 },
            expected: false,
        },
        {
            name: "store contact before membership was confirmed",
            change: { lastStoreContact: NOW, isConfirmedMember: false },
            expected: false,
        },
        {
            name: "digests from a majority",
            change: { getDigest: makeDigestLookup({ b: makeDigest(5, 0), c: makeDigest(4, FRESH_MS) }) },
            expected: true,
        },
        {
            name: "digests from exactly half",
            change: { getDigest: makeDigestLookup({ b: makeDigest(5, 0) }) },
            expected: false,
        },
        {
            name: "digests from a majority, one of them too old",
            change: { getDigest: makeDigestLookup({ b: makeDigest(5, 0), c: makeDigest(5, FRESH_MS + 1) }) },
            expected: false,
        },
        {
            name: "digests from a majority, one with a newer version",
            change: {
                getDigest: makeDigestLookup({
                    b: makeDigest(5, 0),
                    c: makeDigest(5, 0),
                    d: makeDigest(6, 0),
                }),
            },
            expected: false,
        },
        {
            name: "digests from a majority, received by a non-member",
            change: {
                memberId: "x",
                getDigest: makeDigestLookup({ b: makeDigest(5, 0), c: makeDigest(5, 0) }),
            },
            expected: false,
        },
        {
            name: "a single-member cell without store contact",
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
            name: "one member unconfirmed",
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
            name: "a lost member unconfirmed: it may just have received digests from a majority",
            members: "ab",
            lost: "c",
            confirmed: "ab",
            tables: ["abc", "ab"],
            expectedAtOnce: false,
            expectedLater: true,
        },
        {
            name: "half of all members lost and unconfirmed",
            members: "ab",
            lost: "cd",
            confirmed: "ab",
            expectedAtOnce: false,
            expectedLater: false,
        },
        {
            name:
                "a majority of an older table lost and unconfirmed, outnumbered by members that joined since",
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
