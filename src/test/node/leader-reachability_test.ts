/** When a node claims the leadership of a leader that it cannot reach. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LeaderView } from "../../process/leadership/leader-record.js";
import { LeaderReachability } from "../../process/node/leader-reachability.js";

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
            name: "claims once the leader's lease has expired",
            attempts: [{ view: LAPSED, kind: "silent", at: 0, claims: true }],
        },
        {
            name: "claims after two refused connections",
            attempts: [
                { view: ALIVE, kind: "refused", at: 0, claims: false },
                { view: ALIVE, kind: "refused", at: 100, claims: true },
            ],
        },
        {
            name: "does not count an unanswered attempt as a refusal",
            attempts: [
                { view: ALIVE, kind: "refused", at: 0, claims: false },
                { view: ALIVE, kind: "silent", at: 100, claims: false },
                { view: ALIVE, kind: "refused", at: 200, claims: false },
            ],
        },
        {
            name: "claims after a timeout, and then only after a longer one",
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
            const reachability = new LeaderReachability();
            for (const { view, kind, at, claims } of attempts) {
                assert.equal(reachability.decideOnFailure(view, kind, at) !== undefined, claims, `at ${at}`);
            }
        });
    }

    it("does not claim back at once a leadership that it has just lost", () => {
        // Guards against two partitioned nodes that claim the leadership from each other over and over.
        const reachability = new LeaderReachability();
        reachability.observeDeposed(1_000);
        reachability.decideOnFailure(ALIVE, "refused", 1_000);
        assert.equal(reachability.decideOnFailure(ALIVE, "refused", 1_100), undefined);
        assert.notEqual(reachability.decideOnFailure(ALIVE, "refused", 4_100), undefined);
    });

    // Guards against replacing a new leader that has no lease yet.
    const losses = [
        {
            name: "does not try a leader whose link timed out and whose lease has expired",
            lost: [3, 900, true],
            view: LAPSED,
            claims: true,
        },
        {
            name: "tries a leader that closed the link, though its lease has expired",
            lost: [3, 900, false],
            view: LAPSED,
            claims: false,
        },
        {
            name: "tries a leader again whose lease is live",
            lost: [3, 900, true],
            view: ALIVE,
            claims: false,
        },
        {
            name: "tries a leader whose link was not lost recently",
            lost: [3, -9_000, true],
            view: LAPSED,
            claims: false,
        },
        {
            name: "tries the successor of the leader whose link it lost",
            lost: [2, 900, true],
            view: LAPSED,
            claims: false,
        },
    ] as const;
    for (const { name, lost: [epoch, at, wasSilent], view, claims } of losses) {
        it(name, () => {
            const reachability = new LeaderReachability();
            reachability.observeLinkLost(epoch, at, wasSilent);
            assert.equal(reachability.decideBeforeAttempt(view, 1_000) !== undefined, claims);
        });
    }
});
