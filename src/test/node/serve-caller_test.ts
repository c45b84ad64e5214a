/** Time limit of requests whose outcome stays unknown. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
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
