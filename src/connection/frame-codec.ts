/**
 * Frames on a TCP link between entries: a length of four bytes, most significant first, then one CBOR value.
 */
import { Encoder, setSizeLimits } from "cbor-x";

/** Bytes of the length before each frame. */
export const FRAME_HEADER_BYTES = 4;

/**
 * Largest frame after the handshake: the largest body that settings allow, or a worker's largest answer, each of
 * 64 MiB, with room for what goes with it.
 */
export const MAX_FRAME_BYTES = 72 * 1_048_576;

/** Elements of one array or object in a frame; a forged header must not reserve memory for more. */
const MAX_ELEMENTS = 1_000_000;

setSizeLimits({ maxArraySize: MAX_ELEMENTS, maxMapSize: MAX_ELEMENTS, maxObjectSize: MAX_ELEMENTS });

const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Why a stream of bytes is not a stream of frames. Nothing after such a fault can be read. */
export type FrameFault =
    | { readonly kind: "oversized"; readonly bytes: number; readonly limit: number; }
    | { readonly kind: "empty"; }
    | { readonly kind: "notCbor"; readonly message: string; };

/**
 * Says in words what is wrong with a stream.
 * @param fault - The fault.
 * @returns Words for a log line.
 */
export function describeFrameFault(fault: FrameFault): string {
    switch (fault.kind) {
        case "oversized":
            return `frame of ${fault.bytes} bytes is over the limit of ${fault.limit}`;
        case "empty":
            return "frame without content";
        case "notCbor":
            return `frame is not CBOR: ${fault.message}`;
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

/** Cuts a stream of bytes into frames, however it is fragmented. Memory is bounded by the frame limit. */
export class FrameDecoder {
    private readonly header = Buffer.alloc(FRAME_HEADER_BYTES);
    private headerFilled = 0;
    private body: Buffer | undefined;
    private bodyFilled = 0;
    private fault: FrameFault | undefined;
    private limit: number;

    /** @param limit - Most bytes of one frame's body. */
    constructor(limit: number) {
        this.limit = limit;
    }

    /** Sets the limit for frames whose length has not been read yet. */
    setLimit(limit: number): void {
        this.limit = limit;
    }

    /**
     * Takes in bytes.
     * @param chunk - Any number of bytes.
     * @param receive - Called with each value, in order; returns false to stop reading for good.
     * @returns The first fault of the stream; once there is one, nothing more is read.
     */
    push(chunk: Buffer, receive: (value: unknown) => boolean): FrameFault | undefined {
        let offset = 0;
        while (offset < chunk.length && this.fault === undefined) {
            offset = this.body === undefined ?
                this.takeHeader(chunk, offset) :
                this.takeBody(chunk, offset, this.body);
            if (
                this.body !== undefined && this.bodyFilled === this.body.length && !this.finishFrame(receive)
            ) {
                break;
            }
        }
        return this.fault;
    }

    private takeHeader(chunk: Buffer, offset: number): number {
        const count = Math.min(FRAME_HEADER_BYTES - this.headerFilled, chunk.length - offset);
        chunk.copy(this.header, this.headerFilled, offset, offset + count);
        this.headerFilled += count;
        if (this.headerFilled < FRAME_HEADER_BYTES) {
            return offset + count;
        }
        return this.startBody(chunk, offset + count);
    }

    /** Reserves the body; one that lies whole in the chunk is used in place, without a copy. */
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

    private takeBody(chunk: Buffer, offset: number, body: Buffer): number {
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
