/**
 * One TCP connection between two nodes. Either end can make calls and send notifications, framed as in
 * `frame-codec.ts`.
 *
 * @remarks The link owns its socket and never reconnects. Since a connection can die without a reset, both
 * ends send heartbeats, and an end that receives nothing for several intervals closes the link. The idle
 * period is counted in this end's own ticks rather than in time, because a process on an overloaded CPU both
 * ticks and reads late. The owner ticks all its links together, so that a process with many links wakes up
 * once per tick.
 */
import { scheduleTimeout } from "../common/clock.js";
import type { Clock, Millis, Timer } from "../common/clock.js";
import { describeFrameFault, encodeFrame, FrameDecoder } from "./frame-codec.js";
import type { LinkSocket } from "./link-network.js";

/** How a call over a link ended. */
export type LinkCallResult =
    | { readonly kind: "answered"; readonly body: unknown; }
    /** No answer arrived; the other end may have executed the call. */
    | { readonly kind: "lost"; readonly message: string; };

/** Callbacks of a link to its owner. */
export interface NodeLinkOwner {
    /** Handles a call from the other end; the promise's value is sent back as the answer. */
    handleCall(body: unknown): Promise<unknown>;
    handleNotification(body: unknown): void;
    /** Called exactly once, with the reason. */
    handleClosed(message: string): void;
    /** Builds the body of the regular heartbeat. */
    buildHeartbeat(): unknown;
}

/** Heartbeat timing of one end of a link, in ticks of {@link LINK_TICK_MS}. */
export interface HeartbeatTiming {
    /** Ticks between two heartbeats. */
    readonly sendEvery: number;
    /** Ticks without any received data after which the link is closed. */
    readonly maxQuietTicks: number;
}

/** Interval at which a process ticks all its links. */
export const LINK_TICK_MS: Millis = 150;
/**
 * Followers send heartbeats less often: those of hundreds of followers would be most of the messages to a
 * leader.
 */
const FOLLOWER_HEARTBEAT_TICKS = 3;
const MAX_MISSED_HEARTBEATS = 4;

/** Timing by side. The end that opens a link follows the other one, and has to notice its failure soon. */
export const LinkSide = {
    follower: { sendEvery: FOLLOWER_HEARTBEAT_TICKS, maxQuietTicks: MAX_MISSED_HEARTBEATS },
    leader: { sendEvery: 1, maxQuietTicks: MAX_MISSED_HEARTBEATS * FOLLOWER_HEARTBEAT_TICKS },
} as const satisfies Readonly<Record<string, HeartbeatTiming>>;

/**
 * Largest frame. A job takes at most a few hundred kilobytes, and so does a configuration with all its
 * queues.
 */
const MAX_FRAME_BYTES = 8 * 1_048_576;
/** Largest frame of an end that has not sent its status yet. */
const MAX_FIRST_FRAME_BYTES = 16_384;
/** Unsent bytes above which the link is closed, since the other end does not read. */
const MAX_BUFFERED_BYTES = 16 * 1_048_576;
type Frame =
    | { readonly kind: "call"; readonly id: number; readonly body: unknown; }
    | { readonly kind: "answer"; readonly id: number; readonly body: unknown; }
    | { readonly kind: "note"; readonly body: unknown; };

interface PendingCall {
    readonly settle: (answer: LinkCallResult) => void;
    readonly timer: Timer;
}

/** One end of a link between two nodes. */
export class NodeLink {
    private readonly decoder = new FrameDecoder(MAX_FIRST_FRAME_BYTES);
    private readonly pending = new Map<number, PendingCall>();
    private lastId = 0;
    private lastReceivedAt: Millis;
    private ticks = 0;
    private silentTicks = 0;
    private closed = false;
    /** Whether this end closed the link because nothing was received any more. */
    wasSilent = false;

    /**
     * @param socket - A connected socket, owned by the link from now on.
     * @param owner - Receives the calls and notifications of the other end.
     * @param timing - Heartbeat timing of this end.
     */
    constructor(
        private readonly socket: LinkSocket,
        private readonly clock: Clock,
        private readonly owner: NodeLinkOwner,
        private readonly timing: HeartbeatTiming,
    ) {
        this.lastReceivedAt = clock.now();
        socket.setNoDelay(true);
        socket.on("data", chunk => this.receiveChunk(chunk));
        socket.on("error", error => this.close(error.message));
        socket.on("close", () => this.close("closed by the other end"));
        this.notify(owner.buildHeartbeat());
    }

    /** Sends a call and waits for its answer; never rejects. */
    call(body: unknown, timeout: Millis): Promise<LinkCallResult> {
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

    /** Sends a notification, which has no answer. Does nothing if the link is closed. */
    notify(body: unknown): void {
        this.send({ kind: "note", body });
    }

    /** Closes the link; pending calls end as `lost`. */
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

    /** Accepts frames of full size from now on, since the other end has identified itself as a node. */
    acceptLargeFrames(): void {
        this.decoder.setLimit(MAX_FRAME_BYTES);
    }

    /** Returns whether the link is closed, whichever end closed it. */
    isClosed(): boolean {
        return this.closed;
    }

    /** Returns the time since data was last received from the other end. */
    getSilenceMs(): Millis {
        return this.clock.now() - this.lastReceivedAt;
    }

    /**
     * Sends a heartbeat if one is due, or closes the link if it was idle too long.
     * Call it every {@link LINK_TICK_MS}.
     * @param extraTicks - Additional idle ticks allowed to an end that is known to be slow.
     * @param encodeHeartbeat - Builds the frame of the heartbeat; links that tick together may share one.
     */
    tick(
        extraTicks = 0,
        encodeHeartbeat = (): Buffer => encodeHeartbeatFrame(this.owner.buildHeartbeat()),
    ): void {
        if (this.silentTicks > this.timing.maxQuietTicks + extraTicks) {
            this.wasSilent = true;
            this.close(`nothing received for ${Math.round(this.getSilenceMs())} ms`);
            return;
        }
        this.silentTicks += 1;
        this.ticks += 1;
        if (this.ticks % this.timing.sendEvery === 0) {
            this.sendBytes(encodeHeartbeat());
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
            this.close("the other end does not read: too many unsent bytes");
            return;
        }
        this.socket.write(bytes);
    }

    private receiveChunk(chunk: Buffer): void {
        this.lastReceivedAt = this.clock.now();
        this.silentTicks = 0;
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
            this.close("received a frame of an unknown kind");
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
                this.owner.handleNotification(value.body);
                return;
        }
    }

    /**
     * Handles a call. If the handler fails, the link is closed, which ends the call at the other end and logs
     * the reason.
     */
    private async replyToCall(id: number, body: unknown): Promise<void> {
        try {
            const answer = await this.owner.handleCall(body);
            this.send({ kind: "answer", id, body: answer });
        }
        catch (error) {
            this.close(`the handler of a call failed: ${String(error)}`);
        }
    }

    private settle(id: number, answer: LinkCallResult): void {
        const pending = this.pending.get(id);
        if (pending !== undefined) {
            this.pending.delete(id);
            pending.timer.cancel();
            pending.settle(answer);
        }
    }
}

/** Encodes a heartbeat frame for {@link NodeLink.tick}. */
export function encodeHeartbeatFrame(body: unknown): Buffer {
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
