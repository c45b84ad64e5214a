/** What misbehaving clients send on one connection, as chunks of bytes. */

/** Payloads by name. */
export type PayloadName = keyof typeof payloads;

/** Where a payload is addressed to. */
export interface PayloadTarget {
    readonly host: string;
    /** Path of the request. */
    readonly path: string;
    /** Size of the largest body that the server accepts. */
    readonly maxBodyBytes: number;
}

type Payload = (target: PayloadTarget) => Iterable<Buffer>;

/** Bytes of each write; what one read of a server usually returns. */
const WRITE_BYTES = 65_536;
const LARGE_CHUNK_BYTES = 65_536;
const TINY_CHUNKS = 98_000;
/** Bytes of requests that are sent ahead on one connection. */
const AHEAD_BYTES = 4 * 1_048_576;
const LONG_HEADER_BYTES = 12_000;
/** Largest frame of a link between nodes, less the part that is never sent. */
const PARTIAL_FRAME_BYTES = 7 * 1_048_576;

/** The payloads. All of them are finite; a connection stays open after the last byte. */
export const payloads = {
    /** Sends nothing. */
    silent: () => [],
    /** Headers without an end. */
    openHeaders: target => [Buffer.from(`${buildHead("GET", target)}x-padding: ${"p".repeat(8_000)}`)],
    /** A chunked body in chunks of one byte, without its end. */
    tinyChunks: target => [
        Buffer.from(`${buildHead("POST", target)}transfer-encoding: chunked\r\n\r\n`),
        ...buildRepeated("1\r\nx\r\n", TINY_CHUNKS * 6),
    ],
    /** A chunked body in large chunks that stops just short of the size limit. */
    largeChunks: target => [
        Buffer.from(`${buildHead("POST", target)}transfer-encoding: chunked\r\n\r\n`),
        ...buildLargeChunks(target.maxBodyBytes - 1_024),
    ],
    /** A declared body that stops after its first part. */
    partialBody: target => [
        Buffer.from(`${buildHead("POST", target)}content-length: ${target.maxBodyBytes}\r\n\r\n`),
        Buffer.alloc(16_384, "x"),
    ],
    /** A declared body of which the last kilobyte is missing. */
    almostWholeBody: target => [
        Buffer.from(`${buildHead("POST", target)}content-length: ${target.maxBodyBytes}\r\n\r\n`),
        Buffer.alloc(target.maxBodyBytes - 1_024, "x"),
    ],
    /** Whole bodies of as many empty objects as fit, one request after the other. */
    manyObjects: target => buildManyObjects(target),
    /** A request that waits for `100 Continue` and sends no body. */
    expectContinue: target => [
        Buffer.from(
            `${
                buildHead("POST", target)
            }expect: 100-continue\r\ncontent-length: ${target.maxBodyBytes}\r\n\r\n`,
        ),
    ],
    /** Small requests sent ahead. */
    requestsAhead: target => buildRepeated(`${buildHead("GET", target)}\r\n`, AHEAD_BYTES),
    /** Requests with long headers sent ahead. */
    longRequestsAhead: target =>
        buildRepeated(
            `${buildHead("GET", target)}x-padding: ${"p".repeat(LONG_HEADER_BYTES)}\r\n\r\n`,
            AHEAD_BYTES,
        ),
    /** Small bodies sent ahead. */
    bodiesAhead: target =>
        buildRepeated(`${buildHead("POST", target)}content-length: 1\r\n\r\n{`, AHEAD_BYTES),
    /** Requests for another protocol sent ahead. */
    upgradesAhead: target =>
        buildRepeated(`${buildHead("GET", target)}connection: upgrade\r\nupgrade: x\r\n\r\n`, AHEAD_BYTES),
    /** The start of a large length-prefixed frame. */
    partialFrame: () => [buildLength(8 * 1_048_576), ...splitBytes(Buffer.alloc(PARTIAL_FRAME_BYTES, 0))],
} as const satisfies Readonly<Record<string, Payload>>;

function buildHead(method: string, { path, host }: PayloadTarget): string {
    return `${method} ${path} HTTP/1.1\r\nhost: ${host}\r\n`;
}

/** Yields a text over and over, in writes of {@link WRITE_BYTES}, up to about a number of bytes. */
function* buildRepeated(text: string, bytes: number): Iterable<Buffer> {
    const block = Buffer.from(text.repeat(Math.ceil(WRITE_BYTES / text.length)));
    for (let sent = 0; sent < bytes; sent += block.length) {
        yield block;
    }
}

function* buildLargeChunks(bytes: number): Iterable<Buffer> {
    for (let sent = 0; sent < bytes; sent += LARGE_CHUNK_BYTES) {
        const length = Math.min(LARGE_CHUNK_BYTES, bytes - sent);
        yield Buffer.from(`${length.toString(16)}\r\n${"x".repeat(length)}\r\n`);
    }
}

function* buildManyObjects(target: PayloadTarget): Iterable<Buffer> {
    const objects = "{},".repeat(Math.floor(target.maxBodyBytes / 3) - 20);
    const body = `{"steps":[${objects}{}]}`;
    const request = `${buildHead("POST", target)}content-length: ${body.length}\r\n\r\n${body}`;
    for (let count = 0; count < 4; count++) {
        yield Buffer.from(request);
    }
}

function buildLength(bytes: number): Buffer {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(bytes);
    return header;
}

function* splitBytes(bytes: Buffer): Iterable<Buffer> {
    for (let start = 0; start < bytes.length; start += WRITE_BYTES) {
        yield bytes.subarray(start, start + WRITE_BYTES);
    }
}
