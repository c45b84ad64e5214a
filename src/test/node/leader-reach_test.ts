/** When a node claims the place of a leader that it cannot reach. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LeaderView } from "../../process/leadership/leader-record.js";
import { LeaderReach } from "../../process/node/leader-reach.js";

const ALIVE: LeaderView = {
    record: { epoch: 3, nodeName: "n", address: "10.0.0.1:1", life: "l" },
    revision: 1,
    isAlive: true,
};
const LAPSED: LeaderView = { ...ALIVE, isAlive: false };

interface Attempt {
    readonly view: LeaderView;
    readonly kind: "refused" | "silent";
    readonly at: number;
    readonly claims: boolean;
}

describe("LeaderReach", () => {
    const cases: { name: string; attempts: readonly Attempt[]; }[] = [
        {
            name: "claims once the store no longer hears the leader",
            attempts: [{ view: LAPSED, kind: "silent", at: 0, claims: true }],
        },
        {
            name: "claims when nothing listens at its address, twice",
            attempts: [
                { view: ALIVE, kind: "refused", at: 0, claims: false },
                { view: ALIVE, kind: "refused", at: 100, claims: true },
            ],
        },
        {
            name: "does not count a silence as a refusal",
            attempts: [
                { view: ALIVE, kind: "refused", at: 0, claims: false },
                { view: ALIVE, kind: "silent", at: 100, claims: false },
                { view: ALIVE, kind: "refused", at: 200, claims: false },
            ],
        },
        {
            name: "claims after a long silence, and then only after a longer one",
            attempts: [
                { view: ALIVE, kind: "silent", at: 0, claims: false },
                { view: ALIVE, kind: "silent", at: 2_400, claims: false },
                { view: ALIVE, kind: "silent", at: 2_600, claims: true },
                { view: ALIVE, kind: "silent", at: 2_700, claims: false },
            ],
        },
    ];
    for (const { name, attempts } of cases) {
        it(name, () => {
            const reach = new LeaderReach();
            for (const { view, kind, at, claims } of attempts) {
                assert.equal(reach.decideOnFailure(view, kind, at) !== undefined, claims, `at ${at}`);
            }
        });
    }

    it("does not claim back at once what it has just lost", () => {
        // Guards against two nodes, out of reach of each other, that take the leadership from each other over and over.
        const reach = new LeaderReach();
        reach.observeDeposed(1_000);
        reach.decideOnFailure(ALIVE, "refused", 1_000);
        assert.equal(reach.decideOnFailure(ALIVE, "refused", 1_100), undefined);
        assert.notEqual(reach.decideOnFailure(ALIVE, "refused", 4_100), undefined);
    });

    // Guards against claims from a new leader that has no lease yet.
    const losses = [
        {
            name: "does not wait for a leader whose link went silent and whose lease is gone",
            lost: [3, 900, true],
            view: LAPSED,
            claims: true,
        },
        {
            name: "tries a leader that closed the link, though its lease is gone",
            lost: [3, 900, false],
            view: LAPSED,
            claims: false,
        },
        {
            name: "tries again a leader that the store still hears",
            lost: [3, 900, true],
            view: ALIVE,
            claims: false,
        },
        {
            name: "tries a leader to which no link was lost lately",
            lost: [3, -9_000, true],
            view: LAPSED,
            claims: false,
        },
        {
            name: "tries the leader that came after the one it lost",
            lost: [2, 900, true],
            view: LAPSED,
            claims: false,
        },
    ] as const;
    for (const { name, lost: [epoch, at, wasSilent], view, claims } of losses) {
        it(name, () => {
            const reach = new LeaderReach();
            reach.observeLinkLost(epoch, at, wasSilent);
            assert.equal(reach.decideBeforeAttempt(view, 1_000) !== undefined, claims);
        });
    }
});
