/** How long callers wait for an answer that nobody can give. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { CallerReply } from "../../process/leader/requests.js";
import { serveCaller } from "../../process/node/caller-way.js";
import type { WayToLeader } from "../../process/node/caller-way.js";
import type { LeaderSeat } from "../../process/node/leader-seat.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { makeSpec } from "../leader/leader-cell.js";
import { makeAddress } from "./node-cell.js";

const PATIENCE_MS = 3_000;

function makeWay(clock: FakeClock, serve: () => Promise<CallerReply>): WayToLeader {
    // Only the seat's `serve` is used by what is tested here.
    const seat = { serve } as unknown as LeaderSeat;
    return {
        clock,
        hasConfig: () => true,
        getSeat: () => seat,
        getLink: () => undefined,
        offerConfig: () => false,
    };
}

describe("a caller of a leader whose store is silent", () => {
    it("is told in time to ask again that nobody knows", async () => {
        // The store went silent while a job's acceptance was under way. The caller was held until its time was over, and
        // then had none left to ask another node.
        const clock = new FakeClock();
        const way = makeWay(clock, () => new Promise(() => undefined));
        const request = { kind: "submit", ...makeAddress(1), spec: makeSpec({}) } as const;
        const reply = await clock.wait(serveCaller(way, request, PATIENCE_MS), PATIENCE_MS / 2);
        assert.equal(reply.kind, "unknown");
    });

    it("gets an answer that comes within that time", async () => {
        const clock = new FakeClock();
        const way = makeWay(clock, () =>
            new Promise(resolve => {
                clock.schedule(1_000, () => resolve({ kind: "accepted" }));
            }));
        const request = { kind: "submit", ...makeAddress(1), spec: makeSpec({}) } as const;
        const reply = await clock.wait(serveCaller(way, request, PATIENCE_MS), PATIENCE_MS / 2);
        assert.equal(reply.kind, "accepted");
    });
});
