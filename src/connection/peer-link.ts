/**
 * One TCP connection between two entries. The link owns its socket: no other code reads, writes or closes it.
 *
 * @remarks A link goes through the states handshake, up and closed. It never reconnects; `peer-mesh.ts` opens
 * a new link instead.
 */
import type { Socket } from "node:net";
import type { z } from "zod";
import type { Clock, Millis, Timer } from "../common/clock.js";
import { describeFrameFault, encodeFrame, FrameDecoder, MAX_FRAME_BYTES } from "./frame-codec.js";
import {
    computeProof,
    confirmSchema,
    helloSchema,
    makeNonce,
    MAX_HANDSHAKE_BYTES,
    PROTOCOL_VERSION,
    readySchema,
    refusalSchema,
    verifyProof,
    welcomeSchema,
} from "./handshake.js";
import type { HandshakeSide, HandshakeTranscript, Hello, Welcome } from "./handshake.js";
import { checkPeerMessage } from "./message-schema.js";
import type { PeerMessage } from "./messages.js";

/** Limits of a link. */
export interface PeerLinkLimits {
    readonly maxFrameBytes: number;
    /** Unsent bytes above which further messages are not queued. */
    readonly maxBufferedBytes: number;
    readonly handshakeTimeoutMs: Millis;
    /** A heartbeat is sent when nothing else was sent for this long. */
    readonly heartbeatMs: Millis;
    /** The link is closed when nothing was received for this long. */
    readonly idleTimeoutMs: Millis;
}

/** Limits of the running system. */
export const DEFAULT_LINK_LIMITS: PeerLinkLimits = {
    maxFrameBytes: MAX_FRAME_BYTES,
    maxBufferedBytes: 32 * 1_048_576,
    handshakeTimeoutMs: 2_000,
    heartbeatMs: 500,
    idleTimeoutMs: 3_000,
};

/** Identity and credentials of this end. */
export interface LinkIdentity {
    readonly memberId: string;
    readonly cell: string;
    readonly secret: string;
}

/** Why a link was closed. `code` is set if the reason is logged as a warning for operators. */
export interface LinkCloseReason {
    readonly code?: string;
    readonly message: string;
}

/** Callbacks of a link to the mesh. */
export interface LinkOwner {
    /** Returns whether links to this member are accepted. */
    isMember(memberId: string): boolean;
    /** Assigns the number of a link; called only at the end that {@link isLinkNumberAssigner} names. */
    getNextLinkNumber(): number;
    /** Called after the handshake, before any message. Returns false if an equal or newer link is up. */
    handleLinkUp(link: PeerLink): boolean;
    receiveMessage(link: PeerLink, message: PeerMessage): void;
    /** Called exactly once. */
    handleLinkClosed(link: PeerLink, reason: LinkCloseReason): void;
}

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
    readonly socket: Socket;
    readonly side: HandshakeSide;
    readonly identity: LinkIdentity;
    /** The member that was dialed; undefined at the accepting end. */
    readonly expectedId?: string;
    readonly limits: PeerLinkLimits;
    readonly clock: Clock;
    readonly owner: LinkOwner;
}

/** Warning codes, described in docs/WARNINGS.md. */
const LinkCode = {
    badFrame: "CR1301",
    badMessage: "CR1302",
    badHandshake: "CR1303",
    wrongSecret: "CR1304",
    otherVersion: "CR1305",
    idle: "CR1306",
} as const;

const HEARTBEAT_FRAME = encodeFrame({ kind: "beat" });

/**
 * Returns whether this end assigns the numbers of the links to the other one.
 *
 * @remarks When both ends dial at once, each could keep a different link and close the one that the other
 * keeps, again and again. Since one end numbers all links of the pair and both ends keep the highest number,
 * they agree on one link in whatever order the frames arrive.
 */
export function isLinkNumberAssigner(ownId: string, otherId: string): boolean {
    return ownId < otherId;
}

/** One end of a link between two entries. */
export class PeerLink {
    /** Member id of the other end; empty until the other end has sent it. */
    memberId = "";
    /** Increases with each link of the pair; 0 until known. */
    linkNumber = 0;

    private state: "handshake" | "up" | "closed" = "handshake";
    private readonly decoder = new FrameDecoder(MAX_HANDSHAKE_BYTES);
    private readonly ownNonce = makeNonce();
    private transcript: HandshakeTranscript | undefined;
    private handleFrame: (value: unknown) => void;
    private lastSentAt: Millis;
    private lastReceivedAt: Millis;
    private timer: Timer | undefined;
    private corked = false;

    constructor(private readonly options: PeerLinkOptions) {
        this.lastSentAt = options.clock.now();
        this.lastReceivedAt = this.lastSentAt;
        this.handleFrame = options.side === "dialer" ?
            value => this.handleWelcome(value) :
            value => this.handleHello(value);
        options.socket.on("data", (chunk: Buffer) => this.receiveChunk(chunk));
        options.socket.on("error", (error: Error) => this.close({ message: error.message }));
        options.socket.on("close", () => this.close({ message: "the other end closed the connection" }));
        options.socket.on("end", () => this.close({ message: "the other end closed the connection" }));
        this.timer = options.clock.schedule(
            options.limits.handshakeTimeoutMs,
            () => this.close({ code: LinkCode.badHandshake, message: "the handshake timed out" }),
        );
        if (options.side === "dialer") {
            this.writeFrame(encodeFrame(this.buildHello()));
        }
    }

    /**
     * Sends a message.
     * @returns False if the message was not sent: the link is not up, too many bytes are unsent, or the
     * message is larger than a frame may be.
     */
    send(message: PeerMessage): boolean {
        const { socket, limits } = this.options;
        if (this.state !== "up" || socket.writableLength > limits.maxBufferedBytes) {
            return false;
        }
        const frame = encodeFrame(message);
        if (frame.length > limits.maxFrameBytes) {
            return false;
        }
        this.writeFrame(frame);
        return true;
    }

    /** Returns the number of unsent bytes. */
    countBuffered(): number {
        return this.options.socket.writableLength;
    }

    /** Closes the link immediately; messages in flight in either direction are lost. */
    close(reason: LinkCloseReason): void {
        if (this.state === "closed") {
            return;
        }
        this.state = "closed";
        this.timer?.cancel();
        this.options.socket.destroy();
        this.options.owner.handleLinkClosed(this, reason);
    }

    private receiveChunk(chunk: Buffer): void {
        if (this.state === "closed") {
            return;
        }
        this.lastReceivedAt = this.options.clock.now();
        const fault = this.decoder.push(chunk, value => {
            this.handleFrame(value);
            return this.getState() !== "closed";
        });
        if (fault !== undefined) {
            this.close({ code: LinkCode.badFrame, message: describeFrameFault(fault) });
        }
    }

    /** Keeps the compiler from narrowing `state`, which changes within the callback of the decoder. */
    private getState(): string {
        return this.state;
    }

    private writeFrame(frame: Buffer): void {
        const { socket, clock } = this.options;
        this.lastSentAt = clock.now();
        if (!this.corked) {
            // Frames written in the same turn of the event loop are sent in one system call.
            this.corked = true;
            socket.cork();
            process.nextTick(() => {
                this.corked = false;
                socket.uncork();
            });
        }
        socket.write(frame);
    }

    private buildHello(): Hello {
        const { memberId, cell } = this.options.identity;
        return { kind: "hello", version: PROTOCOL_VERSION, cell, memberId, nonce: this.ownNonce };
    }

    /** Parses a handshake frame. Closes the link and returns undefined if the frame is not valid. */
    private parseFrame<Schema extends z.ZodType>(
        schema: Schema,
        value: unknown,
    ): z.infer<Schema> | undefined {
        const result = schema.safeParse(value);
        if (result.success) {
            return result.data;
        }
        const refusal = refusalSchema.safeParse(value);
        this.close({
            code: LinkCode.badHandshake,
            message: refusal.success ?
                `the other end refused the link: ${refusal.data.reason}` :
                "the other end does not speak this protocol",
        });
        return undefined;
    }

    private refuse(code: string | undefined, message: string): void {
        this.state = "closed";
        this.timer?.cancel();
        this.options.socket.end(encodeFrame({ kind: "refused", reason: message }));
        this.options.socket.destroySoon();
        this.options.owner.handleLinkClosed(this, { code, message });
    }

    private handleHello(value: unknown): void {
        const hello = this.parseFrame(helloSchema, value);
        if (hello === undefined || !this.checkIdentity(hello)) {
            return;
        }
        const { identity } = this.options;
        this.transcript = {
            cell: identity.cell,
            dialerId: hello.memberId,
            acceptorId: identity.memberId,
            dialerNonce: hello.nonce,
            acceptorNonce: this.ownNonce,
        };
        this.handleFrame = frame => this.handleConfirm(frame);
        this.writeFrame(encodeFrame({
            kind: "welcome",
            version: PROTOCOL_VERSION,
            cell: identity.cell,
            memberId: identity.memberId,
            nonce: this.ownNonce,
            proof: computeProof(identity.secret, "acceptor", this.transcript),
        }));
    }

    private handleWelcome(value: unknown): void {
        const welcome = this.parseFrame(welcomeSchema, value);
        if (welcome === undefined || !this.checkIdentity(welcome)) {
            return;
        }
        const { identity } = this.options;
        const transcript = {
            cell: identity.cell,
            dialerId: identity.memberId,
            acceptorId: welcome.memberId,
            dialerNonce: this.ownNonce,
            acceptorNonce: welcome.nonce,
        };
        if (!verifyProof(identity.secret, "acceptor", transcript, welcome.proof)) {
            this.refuse(LinkCode.wrongSecret, "the shared secrets differ");
            return;
        }
        this.linkNumber = this.getOwnLinkNumber();
        this.handleFrame = frame => this.handleReady(frame);
        const proof = computeProof(identity.secret, "dialer", transcript);
        this.writeFrame(encodeFrame({ kind: "confirm", proof, linkNumber: this.linkNumber }));
    }

    private handleConfirm(value: unknown): void {
        const confirm = this.parseFrame(confirmSchema, value);
        if (confirm === undefined || this.transcript === undefined) {
            return;
        }
        if (!verifyProof(this.options.identity.secret, "dialer", this.transcript, confirm.proof)) {
            this.refuse(LinkCode.wrongSecret, "the shared secrets differ");
            return;
        }
        this.linkNumber = this.getOwnLinkNumber() || confirm.linkNumber;
        this.writeFrame(encodeFrame({ kind: "ready", linkNumber: this.linkNumber }));
        this.startMessages();
    }

    private handleReady(value: unknown): void {
        const ready = this.parseFrame(readySchema, value);
        if (ready !== undefined) {
            this.linkNumber = ready.linkNumber;
            this.startMessages();
        }
    }

    private getOwnLinkNumber(): number {
        const { identity, owner } = this.options;
        return isLinkNumberAssigner(identity.memberId, this.memberId) ? owner.getNextLinkNumber() : 0;
    }

    private checkIdentity(other: Hello | Welcome): boolean {
        const { identity, expectedId, owner } = this.options;
        if (other.version !== PROTOCOL_VERSION) {
            const versions = `${other.version} there, ${PROTOCOL_VERSION} here`;
            this.refuse(LinkCode.otherVersion, `the protocol versions differ: ${versions}`);
            return false;
        }
        if (other.cell !== identity.cell) {
            this.refuse(
                LinkCode.badHandshake,
                `the cells differ: ${other.cell} there, ${identity.cell} here`,
            );
            return false;
        }
        if (expectedId !== undefined && other.memberId !== expectedId) {
            // The address now belongs to another VM. This is not a fault: the ownership table will be
            // updated.
            this.refuse(undefined, `the address belongs to ${other.memberId} now`);
            return false;
        }
        if (other.memberId === identity.memberId || !owner.isMember(other.memberId)) {
            // This end does not know the member yet, or has removed it. The other end dials again.
            this.refuse(undefined, `${other.memberId} is not a member here`);
            return false;
        }
        this.memberId = other.memberId;
        return true;
    }

    private startMessages(): void {
        this.timer?.cancel();
        this.state = "up";
        this.decoder.setLimit(this.options.limits.maxFrameBytes);
        this.handleFrame = value => this.handleMessage(value);
        if (!this.options.owner.handleLinkUp(this)) {
            this.close({ message: "a newer link to the same member is up" });
            return;
        }
        this.scheduleHeartbeat();
    }

    private handleMessage(value: unknown): void {
        if (isHeartbeat(value)) {
            return;
        }
        const check = checkPeerMessage(value);
        if (check.kind === "invalid") {
            this.close({ code: LinkCode.badMessage, message: `malformed message: ${check.fault}` });
            return;
        }
        this.options.owner.receiveMessage(this, check.message);
    }

    private scheduleHeartbeat(): void {
        this.timer = this.options.clock.schedule(this.options.limits.heartbeatMs, () => this.checkIdleTime());
    }

    private checkIdleTime(): void {
        const { clock, limits, socket } = this.options;
        const idleMs = clock.now() - this.lastReceivedAt;
        if (idleMs >= limits.idleTimeoutMs) {
            // If the other VM failed or was partitioned off, no FIN arrives and the socket would stay open
            // for minutes. A live peer sends at least its heartbeats, so the idle time detects this.
            const message = `nothing received for ${Math.round(idleMs)} ms`;
            this.close({ code: LinkCode.idle, message });
            return;
        }
        if (clock.now() - this.lastSentAt >= limits.heartbeatMs && socket.writableLength === 0) {
            this.writeFrame(HEARTBEAT_FRAME);
        }
        this.scheduleHeartbeat();
    }
}

function isHeartbeat(value: unknown): boolean {
    return typeof value === "object" && value !== undefined &&
        (value as { readonly kind?: unknown; } | undefined)?.kind === "beat";
}
