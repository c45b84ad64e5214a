/**
 * Frames on a TCP link between entries: the length as a four-byte big-endian integer, then one CBOR value.
 */
import { Encoder, setSizeLimits } from "cbor-x";

/** Size of the length prefix of each frame. */
export const FRAME_HEADER_BYTES = 4;

/**
 * Largest frame after the handshake. The largest body that settings allow and the largest answer of a worker
 * are 64 MiB each; the rest is for the other fields of the message.
 */
export const MAX_FRAME_BYTES = 72 * 1_048_576;

/**
 * Most elements of one array or object in a frame, so that a forged header cannot make the decoder reserve
 * more memory.
 */
const MAX_ELEMENTS = 1_000_000;

setSizeLimits({ maxArraySize: MAX_ELEMENTS, maxMapSize: MAX_ELEMENTS, maxObjectSize: MAX_ELEMENTS });

const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Why a byte stream could not be decoded. Nothing after such a fault can be read. */
export type FrameFault =
    | { readonly kind: "oversized"; readonly bytes: number; readonly limit: number; }
    | { readonly kind: "empty"; }
    | { readonly kind: "notCbor"; readonly message: string; };

/**
 * Describes a fault for a log line.
 */
export function describeFrameFault(fault: FrameFault): string {
    switch (fault.kind) {
        case "oversized":
            return `frame of ${fault.bytes} bytes exceeds the limit of ${fault.limit} bytes`;
        case "empty":
            return "frame of length 0";
        case "notCbor":
            return `frame is not valid CBOR: ${fault.message}`;
    }
}

/**
 * Encodes one value as a frame.
 * @param value - Data without functions or cycles.
 * @returns Header and body.
 */
export function encodeFrame(value: unknown): Buffer {
    const body = cbor.encode(value);
    const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, FRAME_HEADER_BYTES);
    return frame;
}

/** Decodes a byte stream of any fragmentation into frames. Its memory use is bounded by the frame limit. */
export class FrameDecoder {
    private readonly header = Buffer.alloc(FRAME_HEADER_BYTES);
    private headerFilled = 0;
    private body: Buffer | undefined;
    private bodyFilled = 0;
    private fault: FrameFault | undefined;
    private limit: number;

    /** @param limit - Largest size of one frame's body, in bytes. */
    constructor(limit: number) {
        this.limit = limit;
    }

    /** Sets the limit for frames whose length has not been read yet. */
    setLimit(limit: number): void {
        this.limit = limit;
    }

    /**
     * Decodes the next bytes of the stream.
     * @param chunk - Any number of bytes; it may begin and end within a frame.
     * @param receive - Called with each decoded value, in order. Returns false to stop decoding for good.
     * @returns The first fault of the stream, if any; after a fault nothing more is decoded.
     */
    push(chunk: Buffer, receive: (value: unknown) => boolean): FrameFault | undefined {
        let offset = 0;
        while (offset < chunk.length && this.fault === undefined) {
            offset = this.body === undefined ?
                this.readHeader(chunk, offset) :
                this.readBody(chunk, offset, this.body);
            if (
                this.body !== undefined && this.bodyFilled === this.body.length && !this.finishFrame(receive)
            ) {
                break;
            }
        }
        return this.fault;
    }

    private readHeader(chunk: Buffer, offset: number): number {
        const count = Math.min(FRAME_HEADER_BYTES - this.headerFilled, chunk.length - offset);
        chunk.copy(this.header, this.headerFilled, offset, offset + count);
        this.headerFilled += count;
        if (this.headerFilled < FRAME_HEADER_BYTES) {
            return offset + count;
        }
        return this.startBody(chunk, offset + count);
    }

    /** Allocates the body; a body that lies completely within the chunk is used in place, without a copy. */
    private startBody(chunk: Buffer, offset: number): number {
        const bytes = this.header.readUInt32BE(0);
        this.headerFilled = 0;
        if (bytes === 0) {
            this.fault = { kind: "empty" };
            return offset;
        }
        if (bytes > this.limit) {
            this.fault = { kind: "oversized", bytes, limit: this.limit };
            return offset;
        }
        if (chunk.length - offset >= bytes) {
            this.body = chunk.subarray(offset, offset + bytes);
            this.bodyFilled = bytes;
            return offset + bytes;
        }
        this.body = Buffer.allocUnsafe(bytes);
        this.bodyFilled = 0;
        return offset;
    }

    private readBody(chunk: Buffer, offset: number, body: Buffer): number {
        const count = Math.min(body.length - this.bodyFilled, chunk.length - offset);
        chunk.copy(body, this.bodyFilled, offset, offset + count);
        this.bodyFilled += count;
        return offset + count;
    }

    private finishFrame(receive: (value: unknown) => boolean): boolean {
        const body = this.body ?? Buffer.alloc(0);
        this.body = undefined;
        let value: unknown;
        try {
            value = cbor.decode(body);
        }
        catch (error) {
            this.fault = { kind: "notCbor", message: error instanceof Error ? error.message : String(error) };
            return false;
        }
        return receive(value);
    }
}
