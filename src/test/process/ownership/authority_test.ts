/** The authority to act: every line of the rule in docs/design/ownership.md. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Authority, isKnownByMajority } from "../../../process/ownership/authority.js";
import type { ReceivedDigest } from "../../../process/roles.js";
import { type CellSettings, DEFAULT_CELL } from "../../../version/settings.js";
import { FakeClock } from "../../fakes/fake-clock.js";

const CELL: CellSettings = {
    ...DEFAULT_CELL,
    memberTtlMs: 10_000,
    freshMs: 3_000,
    outageToleranceMs: 60_000,
    clockDrift: 0,
};
const TABLE_REVISION = 7;
const LEASE_END = 10_000;

interface Peer {
    /** Age of the peer's digest by the lower bound of its creation time; it arrives now in any case. */
    readonly sureAgeMs?: number;
    readonly tableRevision?: number;
    /** Age of the peer's last contact with the store, which was at time 0 unless given. */
    readonly contactAgeMs?: number;
}

interface Case {
    readonly name: string;
    readonly now: number;
    readonly peers: readonly (Peer | undefined)[];
    readonly contactAt?: number;
    readonly isMember?: boolean;
    readonly mayAct: boolean;
}

const upToDate: Peer = {};

const cases: readonly Case[] = [
    { name: "its lease is valid", now: 9_999, peers: [undefined, undefined], mayAct: true },
    {
        name: "its lease has run out and no peer has sent a digest",
        now: LEASE_END,
        peers: [undefined, undefined],
        mayAct: false,
    },
    {
        name: "a majority without the store backs it",
        now: 20_000,
        peers: [upToDate, undefined],
        mayAct: true,
    },
    {
        name: "only half of the members back it",
        now: 20_000,
        peers: [upToDate, undefined, undefined],
        mayAct: false,
    },
    {
        name: "a digest is exactly freshMs old",
        now: 20_000,
        peers: [{ sureAgeMs: 3_000 }, undefined],
        mayAct: true,
    },
    {
        name: "the digest is older than freshMs",
        now: 20_000,
        peers: [{ sureAgeMs: 3_001 }, undefined],
        mayAct: false,
    },
    {
        name: "a peer holds a newer table",
        now: 20_000,
        peers: [upToDate, { tableRevision: 8 }],
        mayAct: false,
    },
    {
        name: "a peer holds an older table",
        now: 20_000,
        peers: [upToDate, { tableRevision: 6 }],
        mayAct: true,
    },
    {
        name: "a peer reached the store after its lease ended",
        now: 20_000,
        peers: [upToDate, { contactAgeMs: 9_000 }],
        mayAct: false,
    },
    {
        name: "a peer reached the store before its lease ended",
        now: 20_000,
        peers: [upToDate, { contactAgeMs: 10_000 }],
        mayAct: true,
    },
    {
        name: "the outage lasts longer than tolerated",
        now: 70_000,
        peers: [upToDate, upToDate],
        contactAt: 9_999,
        mayAct: false,
    },
    {
        name: "the table does not list it",
        now: 20_000,
        peers: [upToDate, upToDate],
        isMember: false,
        mayAct: false,
    },
];

function makeAuthority(clock: FakeClock, { now, peers, contactAt, isMember }: Case): Authority {
    const names = peers.map((...[, index]) => `p${index}`);
    return new Authority({
        clock,
        memberId: "self",
        getCell: () => CELL,
        listMemberIds: () => isMember === false ? names : ["self", ...names],
        getTableRevision: () => TABLE_REVISION,
        getDigest: memberId => makeReceivedDigest(peers[names.indexOf(memberId)], now),
        getLastStoreContact: () => contactAt ?? LEASE_END,
    });
}

function makeReceivedDigest(peer: Peer | undefined, now: number): ReceivedDigest | undefined {
    if (peer === undefined) {
        return undefined;
    }
    const digest = {
        tableRevision: peer.tableRevision ?? TABLE_REVISION,
        storeContactAgeMs: peer.contactAgeMs ?? now,
    } as ReceivedDigest["digest"];
    return { digest, receivedAt: now, createdAfter: now - (peer.sureAgeMs ?? 0) };
}

describe("an entry may act", () => {
    for (const each of cases) {
        it(`${each.mayAct ? "" : "not "}when ${each.name}`, async () => {
            const clock = new FakeClock();
            const authority = makeAuthority(clock, each);
            authority.renewLease(0);
            await clock.step(each.now);
            assert.equal(authority.mayAct(), each.mayAct);
        });
    }

    it("never without a lease, and not after it was dropped", async () => {
        const clock = new FakeClock();
        const authority = makeAuthority(clock, {
            name: "",
            now: 0,
            peers: [upToDate, upToDate],
            mayAct: false,
        });
        assert.equal(authority.mayAct(), false);
        authority.renewLease(0);
        authority.dropLease();
        await clock.step(100);
        assert.equal(authority.mayAct(), false);
    });
});

describe("a table is known by a majority", () => {
    const tables: readonly {
        readonly revisions: readonly (number | undefined)[];
        readonly known: boolean;
    }[] = [
        { revisions: [5, undefined], known: true },
        { revisions: [4, undefined], known: false },
        { revisions: [5, undefined, undefined], known: false },
        { revisions: [5, 6, 4], known: true },
    ];
    for (const { revisions, known } of tables) {
        it(`${known ? "" : "not "}with revisions ${revisions.map(each => each ?? "none").join(", ")} beside its own`, () => {
            const names = revisions.map((...[, index]) => `p${index}`);
            const getDigest = (memberId: string): ReceivedDigest | undefined => {
                const tableRevision = revisions[names.indexOf(memberId)];
                const digest = { tableRevision } as ReceivedDigest["digest"];
                return tableRevision === undefined ? undefined : { digest, receivedAt: 0, createdAfter: 0 };
            };
            assert.equal(isKnownByMajority(["self", ...names], "self", 5, getDigest), known);
        });
    }
});
