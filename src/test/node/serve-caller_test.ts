/** Time limit of requests whose outcome stays unknown. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { NO_RESOURCES } from "../../common/resources.js";
import type { CallerReply } from "../../process/leader/requests.js";
import type { LeadershipTerm } from "../../process/node/leadership-term.js";
import { serveCaller } from "../../process/node/serve-caller.js";
import type { LeaderRoute } from "../../process/node/serve-caller.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { makeSpec } from "../leader/leader-cell.js";
import { makeAddress, makeConfig } from "./cluster-fixture.js";

const CALLER_TIMEOUT_MS = 3_000;

function makeRoute(clock: FakeClock, serve: () => Promise<CallerReply>): LeaderRoute {
    // The code under test only calls `serve`.
    const term = { serve } as unknown as LeadershipTerm;
    return {
        clock,
        getConfig: () => makeConfig(1),
        isConfigAsNewAsLeaders: () => true,
        getTerm: () => term,
        getLink: () => undefined,
        offerConfig: () => false,
    };
}

describe("a caller of a leader whose store does not answer", () => {
    it("gets an unknown outcome early enough to retry", async () => {
        // Guards against a caller that is held for its whole timeout when the store stops answering during a
        // submission, and has no time left to retry at another node.
        const clock = new FakeClock();
        const route = makeRoute(clock, () => new Promise(() => undefined));
        const request = { kind: "submit", ...makeAddress(1), spec: makeSpec({}) } as const;
        const reply = await clock.wait(serveCaller(route, request, CALLER_TIMEOUT_MS), CALLER_TIMEOUT_MS / 2);
        assert.equal(reply.kind, "unknown");
    });

    it("gets an answer that arrives within the time limit", async () => {
        const clock = new FakeClock();
        const route = makeRoute(clock, () =>
            new Promise(resolve => {
                clock.schedule(1_000, () => resolve({ kind: "accepted" }));
            }));
        const request = { kind: "submit", ...makeAddress(1), spec: makeSpec({}) } as const;
        const reply = await clock.wait(serveCaller(route, request, CALLER_TIMEOUT_MS), CALLER_TIMEOUT_MS / 2);
        assert.equal(reply.kind, "accepted");
    });
});

describe("a request with a key", () => {
    const account = { name: "a", keyDigests: ["digest"], weight: 1, quota: NO_RESOURCES };
    const config = makeConfig(1, { accounts: [account] });
    const accepted: CallerReply = { kind: "state", phase: "running" };
    const cases = [
        { name: "that an account has", credential: "digest", isNewest: true, calls: 1, kind: "state" },
        { name: "that no account has", credential: "x", isNewest: true, calls: 0, kind: "unauthorized" },
        { name: "that is missing", credential: undefined, isNewest: true, calls: 0, kind: "unauthorized" },
        { name: "that only the leader may know", credential: "x", isNewest: false, calls: 1, kind: "state" },
    ];
    for (const { name, credential, isNewest, calls, kind } of cases) {
        it(`${name} reaches the leader ${calls} times and ends as ${kind}`, async () => {
            const clock = new FakeClock();
            let served = 0;
            const route: LeaderRoute = {
                ...makeRoute(clock, () => {
                    served += 1;
                    return Promise.resolve(accepted);
                }),
                getConfig: () => config,
                isConfigAsNewAsLeaders: () => isNewest,
            };
            const request = { kind: "show", ...makeAddress(1), credential } as const;
            const reply = await clock.wait(serveCaller(route, request, CALLER_TIMEOUT_MS), CALLER_TIMEOUT_MS);
            assert.deepEqual([served, reply.kind], [calls, kind]);
        });
    }

    it("that is revoked while the leader answers shows nothing, but what was carried out is told", async () => {
        const replies: readonly CallerReply[] = [accepted, { kind: "accepted" }];
        const kinds: string[] = [];
        for (const given of replies) {
            const clock = new FakeClock();
            let current = config;
            const route: LeaderRoute = {
                ...makeRoute(clock, () => {
                    current = makeConfig(2, { accounts: [{ ...account, keyDigests: [] }] });
                    return Promise.resolve(given);
                }),
                getConfig: () => current,
            };
            const request = { kind: "show", ...makeAddress(1), credential: "digest" } as const;
            const reply = await clock.wait(serveCaller(route, request, CALLER_TIMEOUT_MS), CALLER_TIMEOUT_MS);
            kinds.push(reply.kind);
        }
        assert.deepEqual(kinds, ["unauthorized", "accepted"]);
    });
});
