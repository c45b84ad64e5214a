/** Cutting of text between characters. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { splitUtf8, truncateText } from "../../common/utf8.js";

const CASES = [
    { name: "returns nothing for an empty text", text: "", maxBytes: 4, parts: [] },
    { name: "keeps a text that fits", text: "abcd", maxBytes: 4, parts: ["abcd"] },
    { name: "splits at the limit", text: "abcde", maxBytes: 4, parts: ["abcd", "e"] },
    { name: "counts bytes", text: "éééé", maxBytes: 4, parts: ["éé", "éé"] },
    { name: "cuts no character of two bytes", text: "abcé", maxBytes: 4, parts: ["abc", "é"] },
    { name: "cuts no character of four bytes", text: "a🏰b", maxBytes: 4, parts: ["a", "🏰", "b"] },
    { name: "makes each part at least a character long", text: "🏰🏰", maxBytes: 1, parts: ["🏰", "🏰"] },
];

describe("splitUtf8", () => {
    for (const { name, text, maxBytes, parts } of CASES) {
        it(name, () => {
            assert.deepEqual(splitUtf8(text, maxBytes), parts);
        });
    }

    it("gives parts within the limit that can be encoded and make up the text", () => {
        // Guards against text that changes when its parts are stored one by one.
        const texts = fc.string({ unit: "binary", maxLength: 60 });
        fc.assert(
            fc.property(texts, fc.integer({ min: 4, max: 20 }), (text, maxBytes) => {
                const stored = splitUtf8(text, maxBytes).map(part => Buffer.from(part));
                assert.ok(stored.every(({ length }) => length > 0 && length <= maxBytes));
                assert.equal(stored.map(part => part.toString()).join(""), text);
            }),
            { seed: 59, numRuns: 2_000 },
        );
    });
});

describe("truncateText", () => {
    const cases = [
        { name: "keeps a text that fits", text: "abc", maxLength: 3, expected: "abc" },
        { name: "cuts at the limit", text: "abcd", maxLength: 3, expected: "abc" },
        { name: "keeps a character that ends at the limit", text: "a🏰b", maxLength: 3, expected: "a🏰" },
        { name: "leaves out a character that it would cut", text: "ab🏰", maxLength: 3, expected: "ab" },
        {
            name: "keeps a whole text that ends with a long character",
            text: "a🏰",
            maxLength: 3,
            expected: "a🏰",
        },
    ];
    for (const { name, text, maxLength, expected } of cases) {
        it(name, () => {
            assert.equal(truncateText(text, maxLength), expected);
        });
    }
});
