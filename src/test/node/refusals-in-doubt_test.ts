/** The outcome of a request that a leader may already have acted on. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RefusalReason } from "../../process/leader/requests.js";
import type { CallerReply, CallerRequest } from "../../process/leader/requests.js";
import type { LeadershipTerm } from "../../process/node/leadership-term.js";
import { serveCaller } from "../../process/node/serve-caller.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { makeSpec } from "../leader/leader-cell.js";
import { makeAddress, makeConfig } from "./cluster-fixture.js";

const CALLER_TIMEOUT_MS = 3_000;
const LOST: CallerReply = { kind: "unknown", message: "the link was closed" };
const REFUSED: CallerReply = { kind: "refused", reason: RefusalReason.storeAway, retryAfterMs: 1_000 };

interface Case {
    readonly name: string;
    /** Answers of consecutive leaders; the last answer is repeated. */
    readonly answers: readonly CallerReply[];
    readonly expected: CallerReply["kind"];
}

const CASES: readonly Case[] = [
    { name: "refused by the only leader", answers: [REFUSED], expected: "refused" },
    {
        name: "refused by a leader after another one may have acted",
        answers: [LOST, REFUSED],
        expected: "unknown",
    },
    {
        name: "for a queue that was removed after another leader may have acted",
        answers: [LOST, { kind: "noQueue" }],
        expected: "unknown",
    },
    {
        name: "with a key that was revoked after another leader may have acted",
        answers: [LOST, { kind: "unauthorized", reason: "unknownKey" }],
        expected: "unknown",
    },
    {
        name: "with a key that changed its account after another leader may have acted",
        answers: [LOST, { kind: "jobIdTaken" }],
        expected: "unknown",
    },
    { name: "for a queue that does not exist", answers: [{ kind: "noQueue" }], expected: "noQueue" },
    { name: "malformed", answers: [LOST, { kind: "malformed" }], expected: "malformed" },
    {
        name: "accepted by a leader after a refusal in doubt",
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
                // Guards against a false refusal: a leader accepts the request, but its link is lost before
                // the answer. The next leader is cut off from the store and refuses. The caller was told
                // "refused" although the first leader had run the job or cancelled it.
                const clock = new FakeClock();
                let attempt = 0;
                const serve = (): Promise<CallerReply> =>
                    Promise.resolve(answers[Math.min(attempt++, answers.length - 1)] ?? LOST);
                const reply = await clock.wait(
                    serveCaller(
                        {
                            clock,
                            getConfig: () => makeConfig(1),
                            isConfigAsNewAsLeaders: () => true,
                            // The code under test only calls `serve`.
                            getTerm: () => ({ serve }) as unknown as LeadershipTerm,
                            getLink: () => undefined,
                            offerConfig: () => false,
                        },
                        request,
                        CALLER_TIMEOUT_MS,
                    ),
                    CALLER_TIMEOUT_MS,
                );
                assert.equal(reply.kind, expected);
            });
        }
    }
});
