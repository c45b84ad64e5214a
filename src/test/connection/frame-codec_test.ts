/**
 * Frames are decoded from streams of any fragmentation; invalid input ends the stream with a specific fault.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { encodeFrame, FrameDecoder } from "../../connection/frame-codec.js";

const LIMIT = 100;

function collectValues(decoder: FrameDecoder, chunks: readonly Buffer[]) {
    const values: unknown[] = [];
    let fault;
    for (const chunk of chunks) {
        fault = decoder.push(chunk, value => {
            values.push(value);
            return true;
        });
    }
    return { values, fault };
}

function splitAt(bytes: Buffer, cuts: readonly number[]): Buffer[] {
    const offsets = [...new Set(cuts.map(cut => cut % (bytes.length + 1)))].sort((left, right) =>
        left - right
    );
    const edges = [0, ...offsets, bytes.length];
    return edges.slice(1).map((edge, index) => bytes.subarray(edges[index], edge));
}

describe("FrameDecoder", () => {
    it("decodes what was sent, however the stream is fragmented", () => {
        const value = fc.record({ kind: fc.string(), count: fc.integer(), body: fc.uint8Array() });
        fc.assert(
            fc.property(fc.array(value), fc.array(fc.nat(5_000)), (sent, cuts) => {
                const stream = Buffer.concat(sent.map(encodeFrame));
                const { values, fault } = collectValues(new FrameDecoder(10_000), splitAt(stream, cuts));
                assert.equal(fault, undefined);
                const plain = values.map(received => {
                    const { kind, count, body } = received as (typeof sent)[number];
                    return { kind, count, body: [...body] };
                });
                assert.deepEqual(
                    plain,
                    sent.map(({ kind, count, body }) => ({ kind, count, body: [...body] })),
                );
            }),
            { seed: 1_301 },
        );
    });

    it("never throws on bytes that are not frames", () => {
        fc.assert(
            fc.property(fc.array(fc.uint8Array({ maxLength: 300 })), chunks => {
                collectValues(new FrameDecoder(LIMIT), chunks.map(chunk => Buffer.from(chunk)));
            }),
            { seed: 1_302, numRuns: 500 },
        );
    });

    const oversized = Buffer.alloc(4);
    oversized.writeUInt32BE(LIMIT + 1);
    const cases = [
        { name: "a length over the limit", stream: oversized, kind: "oversized" },
        { name: "a length of zero", stream: Buffer.alloc(4), kind: "empty" },
        { name: "a truncated body", stream: Buffer.from([0, 0, 0, 1, 0x61]), kind: "notCbor" },
        { name: "bytes after the value", stream: Buffer.from([0, 0, 0, 2, 1, 1]), kind: "notCbor" },
        {
            name: "deep nesting",
            stream: Buffer.concat([Buffer.from([0, 0, 0, 99]), Buffer.alloc(99, 0x81)]),
            kind: "notCbor",
        },
        {
            name: "a forged array size",
            stream: Buffer.from([0, 0, 0, 5, 0x9a, 0x7f, 0xff, 0xff, 0xff]),
            kind: "notCbor",
        },
    ];
    for (const { name, stream, kind } of cases) {
        it(`stops decoding at ${name}`, () => {
            const afterwards = encodeFrame("after");
            const { values, fault } = collectValues(new FrameDecoder(LIMIT), [stream, afterwards]);
            assert.deepEqual(values, []);
            assert.equal(fault?.kind, kind);
        });
    }

    it("waits for the rest of a truncated frame", () => {
        const { values, fault } = collectValues(new FrameDecoder(LIMIT), [
            encodeFrame("whole").subarray(0, -1),
        ]);
        assert.deepEqual({ values, fault }, { values: [], fault: undefined });
    });
});
