/**
 * One TCP connection between two nodes: calls with answers and notes, both ways, framed as in `frame-codec.ts`.
 *
 * @remarks The link owns its socket. It never reconnects. A connection can go silent without a reset, so both ends
 * send regular beats, and an end that hears nothing for several of them closes. Silence is counted in this end's own ticks
 * rather than in time, since an end whose processor is full ticks seldom and reads late. The owner ticks all its links at
 * once, so that a process with many of them wakes up once.
 */
import { scheduleTimeout } from "../common/clock.js";
import type { Clock, Millis, Timer } from "../common/clock.js";
import { describeFrameFault, encodeFrame, FrameDecoder } from "./frame-codec.js";
import type { LinkSocket } from "./link-network.js";

/** How a call over a link ended. */
export type LinkAnswer =
    | { readonly kind: "answered"; readonly body: unknown; }
    /** No answer: the other end may have acted on it. */
    | { readonly kind: "lost"; readonly message: string; };

/** What a link tells its owner. */
export interface NodeLinkOwner {
    /** A call of the other end; the promise's value is sent back. */
    handleCall(body: unknown): Promise<unknown>;
    handleNote(body: unknown): void;
    /** Called once. */
    handleClosed(message: string): void;
    /** What the regular beat carries. */
    buildBeat(): unknown;
}

/** How an end of a link keeps time. */
export interface LinkCadence {
    /** Sends a beat with every so many ticks. */
    readonly sendEvery: number;
    /** Ticks without a sign of the other end after which the link is closed. */
    readonly maxQuietTicks: number;
}

/** A tick of all links of a process. */
export const LINK_TICK_MS: Millis = 150;
/** Followers say seldom that they are there: with hundreds of them, their beats would be most of what a leader hears. */
const FOLLOWER_SENDS_EVERY = 3;
const QUIET_BEATS = 4;

/** Who opens a link follows the other end, and wants to know soon that it is gone. */
export const LinkSide = {
    follower: { sendEvery: FOLLOWER_SENDS_EVERY, maxQuietTicks: QUIET_BEATS },
    leader: { sendEvery: 1, maxQuietTicks: QUIET_BEATS * FOLLOWER_SENDS_EVERY },
} as const satisfies Readonly<Record<string, LinkCadence>>;

/** Largest frame: a job is at most a few hundred kilobytes, and so is a configuration with all its queues. */
const MAX_FRAME_BYTES = 8 * 1_048_576;
/** Bytes that may wait to be written before the link counts as broken. */
const MAX_BUFFERED_BYTES = 16 * 1_048_576;
/** Frames of a link. */
type Frame =
    | { readonly kind: "call"; readonly id: number; readonly body: unknown; }
    | { readonly kind: "answer"; readonly id: number; readonly body: unknown; }
    | { readonly kind: "note"; readonly body: unknown; };

interface PendingCall {
    readonly settle: (answer: LinkAnswer) => void;
    readonly timer: Timer;
}

/** A link; see the module comment. */
export class NodeLink {
    private readonly decoder = new FrameDecoder(MAX_FRAME_BYTES);
    private readonly pending = new Map<number, PendingCall>();
    private lastId = 0;
    private lastHeard: Millis;
    private ticks = 0;
    private quietTicks = 0;
    private closed = false;
    /** Whether the link was closed because nothing was heard any more. */
    wasSilent = false;

    /**
     * @param socket - Connected.
     * @param clock - Times beats and calls.
     * @param owner - Told of what arrives.
     * @param cadence - Of this end.
     */
    constructor(
        private readonly socket: LinkSocket,
        private readonly clock: Clock,
        private readonly owner: NodeLinkOwner,
        private readonly cadence: LinkCadence,
    ) {
        this.lastHeard = clock.now();
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receiveChunk(chunk));
        socket.on("error", error => this.close(error.message));
        socket.on("close", () => this.close("closed by the other end"));
        this.note(owner.buildBeat());
    }

    /** Sends a call and waits for its answer. */
    call(body: unknown, timeout: Millis): Promise<LinkAnswer> {
        if (this.closed) {
            return Promise.resolve({ kind: "lost", message: "the link is closed" });
        }
        this.lastId += 1;
        const id = this.lastId;
        return new Promise(resolve => {
            const timer = scheduleTimeout(this.clock, timeout, () => {
                this.settle(id, { kind: "lost", message: `no answer within ${timeout} ms` });
            });
            this.pending.set(id, { settle: resolve, timer });
            this.send({ kind: "call", id, body });
        });
    }

    /** Sends a message without an answer. */
    note(body: unknown): void {
        this.send({ kind: "note", body });
    }

    /** Closes the link; calls under way are lost. */
    close(message: string): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.socket.destroy();
        for (const id of [...this.pending.keys()]) {
            this.settle(id, { kind: "lost", message });
        }
        this.owner.handleClosed(message);
    }

    /** Tells whether it is over, whichever end closed it. */
    isClosed(): boolean {
        return this.closed;
    }

    /** Returns how long ago the other end was last heard. */
    getSilenceMs(): Millis {
        return this.clock.now() - this.lastHeard;
    }

    /**
     * Sends a beat if one is due, or closes a link that is silent. Call it every {@link LINK_TICK_MS}.
     * @param extraTicks - How many more quiet ticks the other end is given, as one that is known to be late.
     * @param encodeBeat - Builds the frame of the beat; links that tick together may share one.
     */
    tick(extraTicks = 0, encodeBeat = (): Buffer => encodeBeatFrame(this.owner.buildBeat())): void {
        if (this.quietTicks > this.cadence.maxQuietTicks + extraTicks) {
            this.wasSilent = true;
            this.close(`nothing heard for ${Math.round(this.getSilenceMs())} ms`);
            return;
        }
        this.quietTicks += 1;
        this.ticks += 1;
        if (this.ticks % this.cadence.sendEvery === 0) {
            this.sendBytes(encodeBeat());
        }
    }

    private send(frame: Frame): void {
        this.sendBytes(encodeFrame(frame));
    }

    private sendBytes(bytes: Buffer): void {
        if (this.closed) {
            return;
        }
        if (this.socket.writableLength > MAX_BUFFERED_BYTES) {
            this.close("the other end does not read");
            return;
        }
        this.socket.write(bytes);
    }

    private receiveChunk(chunk: Buffer): void {
        this.lastHeard = this.clock.now();
        this.quietTicks = 0;
        const fault = this.decoder.push(chunk, value => {
            this.receiveFrame(value);
            return !this.closed;
        });
        if (fault !== undefined) {
            this.close(describeFrameFault(fault));
        }
    }

    private receiveFrame(value: unknown): void {
        if (!isFrame(value)) {
            this.close("a frame of an unknown kind");
            return;
        }
        switch (value.kind) {
            case "call":
                void this.replyToCall(value.id, value.body);
                return;
            case "answer":
                this.settle(value.id, { kind: "answered", body: value.body });
                return;
            case "note":
                this.owner.handleNote(value.body);
                return;
        }
    }

    /** A call that fails closes the link, so that its end knows, and the reason is logged with the closing. */
    private async replyToCall(id: number, body: unknown): Promise<void> {
        try {
            const answer = await this.owner.handleCall(body);
            this.send({ kind: "answer", id, body: answer });
        }
        catch (error) {
            this.close(`a call failed: ${String(error)}`);
        }
    }

    private settle(id: number, answer: LinkAnswer): void {
        const pending = this.pending.get(id);
        if (pending !== undefined) {
            this.pending.delete(id);
            pending.timer.cancel();
            pending.settle(answer);
        }
    }
}

/** Encodes a beat for {@link NodeLink.tick}. */
export function encodeBeatFrame(body: unknown): Buffer {
    return encodeFrame({ kind: "note", body } satisfies Frame);
}

function isFrame(value: unknown): value is Frame {
    if (typeof value !== "object" || !value || !("kind" in value)) {
        return false;
    }
    if (value.kind === "note") {
        return "body" in value;
    }
    const hasId = "id" in value && typeof value.id === "number";
    return hasId && (value.kind === "call" || value.kind === "answer");
}
