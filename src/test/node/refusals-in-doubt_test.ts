/** What a caller is told once a leader may have acted on its request. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RefusalReason } from "../../process/leader/requests.js";
import type { CallerReply, CallerRequest } from "../../process/leader/requests.js";
import { serveCaller } from "../../process/node/caller-way.js";
import type { LeaderSeat } from "../../process/node/leader-seat.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { makeSpec } from "../leader/leader-cell.js";
import { makeAddress } from "./node-cell.js";

const PATIENCE_MS = 3_000;
const LOST: CallerReply = { kind: "unknown", message: "the link was closed" };
const REFUSED: CallerReply = { kind: "refused", reason: RefusalReason.storeAway, retryAfterMs: 1_000 };

interface Case {
    readonly name: string;
    /** Answers of the leaders that are asked one after the other; the last one's is repeated. */
    readonly answers: readonly CallerReply[];
    readonly expected: CallerReply["kind"];
}

const CASES: readonly Case[] = [
    { name: "refused by the only leader asked", answers: [REFUSED], expected: "refused" },
    {
        name: "refused by a leader after another one may have acted",
        answers: [LOST, REFUSED],
        expected: "unknown",
    },
    {
        name: "accepted by a leader after a refusal that is in doubt",
        answers: [LOST, REFUSED, { kind: "accepted" }],
        expected: "accepted",
    },
];

const REQUESTS: readonly CallerRequest[] = [
    { kind: "submit", ...makeAddress(1), spec: makeSpec({}) },
    { kind: "cancel", ...makeAddress(1) },
];

describe("a caller's request", () => {
    for (const request of REQUESTS) {
        for (const { name, answers, expected } of CASES) {
            it(`to ${request.kind}, ${name}, ends as ${expected}`, async () => {
                // A leader takes the request and its link is lost before the answer. The next one that the node reaches is
                // cut off from the store and refuses it. The caller was told that the request was not carried out, though
                // the first leader had done so: a refused job ran, or a job whose cancelling was refused was gone.
                const clock = new FakeClock();
                let asked = 0;
                const serve = (): Promise<CallerReply> =>
                    Promise.resolve(answers[Math.min(asked++, answers.length - 1)] ?? LOST);
                const reply = await clock.wait(
                    serveCaller(
                        {
                            clock,
                            hasConfig: () => true,
                            // Only the seat's `serve` is used by what is tested here.
                            getSeat: () => ({ serve }) as unknown as LeaderSeat,
                            getLink: () => undefined,
                            offerConfig: () => false,
                        },
                        request,
                        PATIENCE_MS,
                    ),
                    PATIENCE_MS,
                );
                assert.equal(reply.kind, expected);
            });
        }
    }
});
