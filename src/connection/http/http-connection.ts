/** A client's connection, as the HTTP parser of a server sees it: it carries one request at a time. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import type { Clock, Millis, Timer } from "../../common/clock.js";
import { hasBody } from "./body-reader.js";
import type { ConnectionRecord, ConnectionTable } from "./connection-table.js";
import type { TurnQueue } from "./turn-queue.js";

/** Dependencies of an {@link HttpConnection}. */
export interface HttpConnectionOptions {
    readonly socket: Socket;
    readonly table: ConnectionTable;
    readonly record: ConnectionRecord;
    /** Shared by all connections of a process. */
    readonly turns: TurnQueue;
    readonly clock: Clock;
    /** Time without progress after which a client that does not read its response is disconnected. */
    readonly writeTimeoutMs: Millis;
}

/** Largest part of the received bytes that is parsed at once. */
const MAX_SLICE_BYTES = 4_096;
const MAX_WRITE_BYTES = 65_536;
const END_OF_HEADERS = "\r\n\r\n";
/** Written if the response to an unfinished request has not begun. */
const REFUSAL = [
    "HTTP/1.1 503 Service Unavailable",
    "retry-after: 1",
    "content-length: 0",
    "connection: close",
].join("\r\n") + END_OF_HEADERS;

/**
 * Passes received bytes on to the parser up to the end of a request, and the rest after the response. Node's own parser
 * would build all requests that one read brought, and would let the client have the whole turn of the event loop.
 */
export class HttpConnection extends Duplex {
    /** Bytes that were passed on to the parser. */
    bytesRead = 0;

    private readonly socket: Socket;
    private readonly table: ConnectionTable;
    private readonly record: ConnectionRecord;
    /** Received bytes that were not passed on yet. */
    private waiting: Buffer | undefined;
    /** Size of the received chunk that {@link waiting} is a part of, while it is held. */
    private waitingHeld = 0;
    /** Bytes that are held for the pending requests. */
    private requestHeld = 0;
    /** Value of {@link bytesRead} when the last response was finished. */
    private bytesServed = 0;
    private readonly exchanges = new Set<ServerResponse>();
    private lastRequest: IncomingMessage | undefined;
    /** Whether the parser is attached. */
    private isRead = false;
    private hasEnded = false;
    private isEndForwarded = false;
    private isScheduled = false;
    /** Whether written bytes wait for the client to read. */
    private isStalled = false;

    constructor(private readonly options: HttpConnectionOptions) {
        super({ allowHalfOpen: true });
        options.socket.setNoDelay(true);
        this.socket = options.socket;
        this.table = options.table;
        this.record = options.record;
        this.socket.on("data", chunk => this.receiveChunk(chunk));
        this.socket.on("end", () => {
            this.hasEnded = true;
            this.forwardNext();
        });
        this.socket.on("timeout", () => this.emit("timeout"));
        this.socket.on("error", error => this.destroy(error));
        this.socket.on("close", () => this.destroy());
    }

    get remoteAddress(): string | undefined {
        return this.socket.remoteAddress;
    }

    /** Returns whether no request has begun to arrive, nor waits for its response. */
    isIdle(): boolean {
        return this.exchanges.size === 0 && this.waiting === undefined && this.bytesRead === this.bytesServed;
    }

    /** As `net.Socket.setTimeout`, which the HTTP server uses for idle connections. */
    setTimeout(timeout: Millis): this {
        this.socket.setTimeout(timeout);
        return this;
    }

    /** As `net.Socket.destroySoon`: closes the connection after what was written is sent. */
    destroySoon(): void {
        if (this.writableFinished) {
            this.destroy();
            return;
        }
        this.once("finish", () => this.destroy());
        this.end();
    }

    /** Records that the headers of a request are complete. */
    startExchange(request: IncomingMessage, response: ServerResponse): void {
        this.lastRequest = request;
        this.exchanges.add(response);
        response.once("close", () => this.finishExchange(response));
        request.once("end", () => this.updateState());
        this.updateState();
    }

    /**
     * Holds bytes until the responses to all pending requests are finished.
     * @returns False if the process has no memory for them.
     */
    tryHold(bytes: number): boolean {
        const isHeld = this.table.tryHold(this.record, bytes);
        this.requestHeld += isHeld ? bytes : 0;
        return isHeld;
    }

    /** Closes the connection; refuses a request that is not complete if that is possible without waiting. */
    shed(): void {
        const [response, ...others] = this.exchanges;
        const canRefuse = response?.headersSent === false && others.length === 0 &&
            this.lastRequest?.complete === false && this.socket.writableLength === 0;
        if (canRefuse) {
            this.socket.write(REFUSAL);
        }
        this.destroy();
    }

    override resume(): this {
        super.resume();
        process.nextTick(() => this.forwardNext());
        return this;
    }

    override _read(): void {
        this.isRead = true;
        // What is pushed within this call would not be parsed at once.
        process.nextTick(() => this.forwardNext());
    }

    override _write(chunk: Buffer, _: BufferEncoding, callback: (error?: Error | null) => void): void {
        this.writeFrom(chunk, 0, callback);
    }

    override _writev(
        chunks: readonly { readonly chunk: Buffer; }[],
        callback: (error?: Error | null) => void,
    ): void {
        this.writeFrom(Buffer.concat(chunks.map(({ chunk }) => chunk)), 0, callback);
    }

    override _final(callback: (error?: Error | null) => void): void {
        this.socket.end(() => callback());
    }

    override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
        this.table.remove(this.record);
        this.waiting = undefined;
        this.socket.destroy();
        callback(error);
    }

    private receiveChunk(chunk: Buffer): void {
        // There is at most one chunk, since the socket is paused while it waits.
        this.waiting = chunk;
        this.forwardNext();
        if (this.waiting !== undefined && !this.destroyed) {
            this.socket.pause();
            this.waitingHeld = chunk.length;
            if (!this.table.tryHold(this.record, chunk.length)) {
                this.waitingHeld = 0;
                this.shed();
            }
        }
    }

    /** Passes one slice on, and leaves the rest to later turns of the event loop. */
    private forwardNext(): void {
        if (this.waiting !== undefined && this.canForward()) {
            const slice = takeSlice(this.waiting);
            this.bytesRead += slice.length;
            this.waiting = slice.length < this.waiting.length ?
                this.waiting.subarray(slice.length) :
                undefined;
            this.push(slice);
            this.scheduleRest();
        }
        if (this.waiting === undefined && !this.destroyed) {
            this.finishChunk();
        }
    }

    private canForward(): boolean {
        return this.isReading() && this.isRead && !this.isScheduled && this.readableFlowing === true &&
            !this.destroyed;
    }

    /** Returns whether the parser may have more: not while a request is handled, nor if one more has begun since. */
    private isReading(): boolean {
        return this.exchanges.size === 0 || (this.exchanges.size === 1 && !this.isLastWhole());
    }

    private isLastWhole(): boolean {
        const { lastRequest: request } = this;
        return request === undefined || request.complete || !hasBody(request);
    }

    /** Tells the table whether the server waits for the client. */
    private updateState(): void {
        const isWaiting = this.isStalled || this.isReading();
        if (isWaiting === (this.record.waitingSince !== undefined)) {
            return;
        }
        if (isWaiting) {
            this.table.startWaiting(this.record);
        }
        else {
            this.table.startServing(this.record);
        }
    }

    private scheduleRest(): void {
        if (this.waiting !== undefined && !this.isScheduled && this.isReading()) {
            this.isScheduled = true;
            this.options.turns.add(() => {
                this.isScheduled = false;
                this.forwardNext();
            });
        }
    }

    /** All that was received is passed on: reads more, or reports the end. */
    private finishChunk(): void {
        this.table.release(this.record, this.waitingHeld);
        this.waitingHeld = 0;
        if (this.hasEnded) {
            this.forwardEnd();
        }
        else if (this.socket.isPaused()) {
            this.socket.resume();
        }
    }

    private forwardEnd(): void {
        if (!this.isEndForwarded) {
            this.isEndForwarded = true;
            // A stream ends with a null chunk.
            // eslint-disable-next-line no-restricted-syntax
            this.push(null);
        }
    }

    private finishExchange(response: ServerResponse): void {
        this.exchanges.delete(response);
        if (this.destroyed) {
            return;
        }
        this.record.hasBeenServed = true;
        if (this.exchanges.size === 0) {
            this.bytesServed = this.bytesRead;
            this.table.release(this.record, this.requestHeld);
            this.requestHeld = 0;
        }
        this.updateState();
        this.scheduleRest();
    }

    /** Writes in parts, so that progress of a large response is seen. */
    private writeFrom(bytes: Buffer, start: number, callback: (error?: Error | null) => void): void {
        const end = Math.min(bytes.length, start + MAX_WRITE_BYTES);
        let stall: Timer | undefined;
        this.socket.write(bytes.subarray(start, end), error => {
            stall?.cancel();
            this.isStalled = false;
            if (error || end === bytes.length) {
                callback(error);
            }
            else {
                this.writeFrom(bytes, end, callback);
            }
        });
        if (this.socket.writableLength > 0) {
            this.isStalled = true;
            stall = this.options.clock.schedule(this.options.writeTimeoutMs, () => this.destroy());
        }
        this.updateState();
    }
}

/** Takes bytes from the start of a chunk, at most up to the end of the next headers. */
function takeSlice(chunk: Buffer): Buffer {
    const slice = chunk.subarray(0, MAX_SLICE_BYTES);
    const end = slice.indexOf(END_OF_HEADERS);
    return end < 0 ? slice : slice.subarray(0, end + END_OF_HEADERS.length);
}
