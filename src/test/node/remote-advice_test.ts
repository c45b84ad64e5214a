/** Malformed answers of other nodes to requests for advice. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { LinkCallResult } from "../../connection/node-link.js";
import type { AdviceCaller } from "../../process/dispatch/advice-dispatcher.js";
import type { LeadershipTerm } from "../../process/node/leadership-term.js";
import type { InboundLink } from "../../process/node/link-server.js";
import { addRemoteCaller } from "../../process/node/remote-advice.js";

function makeCaller(answer: LinkCallResult): AdviceCaller {
    const callers: AdviceCaller[] = [];
    const term = { addCaller: (caller: AdviceCaller) => callers.push(caller) };
    const inbound = { status: { nodeName: "node-2" }, link: { call: () => Promise.resolve(answer) } };
    addRemoteCaller(term as unknown as LeadershipTerm, inbound as unknown as InboundLink);
    assert(callers[0] !== undefined);
    return callers[0];
}

describe("addRemoteCaller", () => {
    const permits = [{ workerId: "w1", token: "token" }];
    const cases: { name: string; body: unknown; kind: string; }[] = [
        { name: "nothing", body: undefined, kind: "failed" },
        { name: "a number", body: 5, kind: "failed" },
        { name: "that the node does not lead", body: { kind: "notLeading" }, kind: "failed" },
        { name: "advice without an answer", body: { kind: "advised" }, kind: "failed" },
        { name: "an answer of no kind", body: { kind: "advised", answer: {} }, kind: "failed" },
        {
            name: "an answer without permits",
            body: { kind: "advised", answer: { kind: "done" } },
            kind: "failed",
        },
        {
            name: "a permit of no worker",
            body: { kind: "advised", answer: { kind: "done", permits: [undefined] } },
            kind: "failed",
        },
        { name: "a busy service", body: { kind: "advised", answer: { kind: "busy" } }, kind: "busy" },
        { name: "permits", body: { kind: "advised", answer: { kind: "done", permits } }, kind: "done" },
    ];
    for (const { name, body, kind } of cases) {
        it(`decodes ${name} as ${kind}`, async () => {
            // Guards against a malformed answer that ends the leader's process: access to a missing field
            // threw an error that nothing handled.
            const caller = makeCaller({ kind: "answered", body });
            const answer = await caller.requestPermits("step", ["w1"], 100);
            assert.equal(answer.kind, kind);
        });
    }
});
