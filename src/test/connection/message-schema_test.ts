/** Validation accepts only messages of the declared types. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from "../../connection/frame-codec.js";
import { checkPeerMessage } from "../../connection/message-schema.js";
import { SAMPLE_DIGEST, SAMPLE_MESSAGES } from "./sample-messages.js";

function sendThroughFrame(value: unknown): unknown {
    let received: unknown;
    new FrameDecoder(MAX_FRAME_BYTES).push(encodeFrame(value), decoded => {
        received = decoded;
        return true;
    });
    return received;
}

describe("checkPeerMessage", () => {
    for (const message of SAMPLE_MESSAGES) {
        const name = "body" in message ? `${message.kind} ${message.body.kind}` : message.kind;
        it(`accepts a ${name} message unchanged`, () => {
            const check = checkPeerMessage(sendThroughFrame(message));
            assert.equal(check.kind, "valid", JSON.stringify(check));
            const back = check.kind === "valid" ? check.message : undefined;
            assert.equal(JSON.stringify(back), JSON.stringify(sendThroughFrame(message)));
        });
    }

    const cases = [
        { name: "a value that is not a message", value: 7, fault: /message/ },
        { name: "an unknown kind", value: { kind: "gossip" }, fault: /kind/ },
        { name: "a field of the wrong type", value: { ...SAMPLE_DIGEST, sequence: "1" }, fault: /sequence/ },
        { name: "a negative count", value: { ...SAMPLE_DIGEST, treeVersion: -1 }, fault: /treeVersion/ },
        { name: "a missing field", value: { ...SAMPLE_DIGEST, load: undefined }, fault: /load/ },
        {
            name: "a number that is not finite",
            value: { ...SAMPLE_DIGEST, storeContactAgeMs: NaN },
            fault: /Age/,
        },
        { name: "an unknown body", value: { kind: "note", body: { kind: "x" } }, fault: /body/ },
    ];
    for (const { name, value, fault } of cases) {
        it(`rejects ${name} and names the field`, () => {
            const check = checkPeerMessage(value);
            assert.equal(check.kind, "invalid");
            assert.match(check.kind === "invalid" ? check.fault : "", fault);
        });
    }

    it("never throws on arbitrary values", () => {
        fc.assert(
            fc.property(fc.anything(), value => {
                assert.equal(checkPeerMessage(value).kind, "invalid");
            }),
            { seed: 1_303, numRuns: 300 },
        );
    });

    it("drops fields that this version does not know", () => {
        const check = checkPeerMessage({ ...SAMPLE_DIGEST, colour: "green" });
        assert.equal(check.kind === "valid" && "colour" in check.message, false);
        assert.equal(check.kind, "valid");
    });
});
