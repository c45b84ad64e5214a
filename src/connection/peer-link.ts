/**
 * One TCP connection between two entries. The link owns its socket: nobody else reads, writes or closes it.
 *
 * @remarks States: handshake, up, closed. It never reconnects; `peer-mesh.ts` opens a new link.
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
    /** Bytes that may wait to be written; a message that finds more waiting is not queued. */
    readonly maxBufferedBytes: number;
    readonly handshakeTimeoutMs: Millis;
    /** A beat is sent when nothing else was for this long. */
    readonly heartbeatMs: Millis;
    /** The link is closed when nothing arrived for this long. */
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

/** Who this end is. */
export interface LinkIdentity {
    readonly memberId: string;
    readonly cell: string;
    readonly secret: string;
}

/** Why a link was closed. `code` is set where an operator should know. */
export interface LinkCloseReason {
    readonly code?: string;
    readonly message: string;
}

/** What a link tells the mesh. */
export interface LinkOwner {
    /** Whether links to this member are wanted. */
    isMember(memberId: string): boolean;
    /** Numbers a link: called at the end with the lower member id only, see {@link isNumberedBy}. */
    getNextLinkNumber(): number;
    /** The handshake is over; messages follow. Returns false if an equal or newer link is up. */
    handleLinkUp(link: PeerLink): boolean;
    receiveMessage(link: PeerLink, message: PeerMessage): void;
    /** Called once. */
    handleLinkClosed(link: PeerLink, reason: LinkCloseReason): void;
}

/** What a link is made from. */
export interface PeerLinkOptions {
    readonly socket: Socket;
    readonly side: HandshakeSide;
    readonly identity: LinkIdentity;
    /** The member that was dialled; undefined at the accepting end. */
    readonly expectedId?: string;
    readonly limits: PeerLinkLimits;
    readonly clock: Clock;
    readonly owner: LinkOwner;
}

/** Codes of docs/WARNINGS.md. */
const LinkCode = {
    badFrame: "CR1301",
    badMessage: "CR1302",
    badHandshake: "CR1303",
    wrongSecret: "CR1304",
    otherVersion: "CR1305",
    idle: "CR1306",
} as const;

const BEAT = encodeFrame({ kind: "beat" });

/**
 * Tells which end numbers the links of a pair.
 *
 * @remarks Failure guarded against: both ends dial at once, each keeps another of the two links and closes the
 * one that the other kept, over and over. Since one end numbers all links of the pair and both keep the
 * highest number, they always keep the same one, in whatever order the frames arrive.
 */
export function isNumberedBy(ownId: string, otherId: string): boolean {
    return ownId < otherId;
}

/** A link; see the module comment. */
export class PeerLink {
    /** The other end's member id; empty until it has said it. */
    memberId = "";
    /** Rises with each link of the pair; 0 until known. */
    linkNumber = 0;

    private state: "handshake" | "up" | "closed" = "handshake";
    private readonly decoder = new FrameDecoder(MAX_HANDSHAKE_BYTES);
    private readonly ownNonce = makeNonce();
    private transcript: HandshakeTranscript | undefined;
    private step: (value: unknown) => void;
    private lastSentAt: Millis;
    private lastHeardAt: Millis;
    private timer: Timer | undefined;
    private corked = false;

    constructor(private readonly options: PeerLinkOptions) {
        this.lastSentAt = options.clock.now();
        this.lastHeardAt = this.lastSentAt;
        this.step = options.side === "dialer" ?
            value => this.takeWelcome(value) :
            value => this.takeHello(value);
        options.socket.on("data", (chunk: Buffer) => this.receiveChunk(chunk));
        options.socket.on("error", (error: Error) => this.close({ message: error.message }));
        options.socket.on("close", () => this.close({ message: "the other end closed the connection" }));
        options.socket.on("end", () => this.close({ message: "the other end closed the connection" }));
        this.timer = options.clock.schedule(
            options.limits.handshakeTimeoutMs,
            () => this.close({ code: LinkCode.badHandshake, message: "the handshake took too long" }),
        );
        if (options.side === "dialer") {
            this.writeFrame(encodeFrame(this.buildHello()));
        }
    }

    /**
     * Sends a message.
     * @returns False if the link is not up or too much waits already; the message is then not sent at all.
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

    /** Bytes that wait to be written. */
    countBuffered(): number {
        return this.options.socket.writableLength;
    }

    /** Ends the link at once; what is under way in either direction is lost. */
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
        this.lastHeardAt = this.options.clock.now();
        const fault = this.decoder.push(chunk, value => {
            this.step(value);
            return this.getState() !== "closed";
        });
        if (fault !== undefined) {
            this.close({ code: LinkCode.badFrame, message: describeFrameFault(fault) });
        }
    }

    /** Read through a method, since the state changes within calls that the compiler cannot see. */
    private getState(): string {
        return this.state;
    }

    private writeFrame(frame: Buffer): void {
        const { socket, clock } = this.options;
        this.lastSentAt = clock.now();
        if (!this.corked) {
            // Frames of one turn of the event loop leave in one system call.
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

    /** Parses a handshake frame, or closes the link and returns undefined. */
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

    private takeHello(value: unknown): void {
        const hello = this.parseFrame(helloSchema, value);
        if (hello === undefined || !this.acceptIdentity(hello)) {
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
        this.step = frame => this.takeConfirm(frame);
        this.writeFrame(encodeFrame({
            kind: "welcome",
            version: PROTOCOL_VERSION,
            cell: identity.cell,
            memberId: identity.memberId,
            nonce: this.ownNonce,
            proof: computeProof(identity.secret, "acceptor", this.transcript),
        }));
    }

    private takeWelcome(value: unknown): void {
        const welcome = this.parseFrame(welcomeSchema, value);
        if (welcome === undefined || !this.acceptIdentity(welcome)) {
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
        this.linkNumber = this.getOwnNumber();
        this.step = frame => this.takeReady(frame);
        const proof = computeProof(identity.secret, "dialer", transcript);
        this.writeFrame(encodeFrame({ kind: "confirm", proof, linkNumber: this.linkNumber }));
    }

    private takeConfirm(value: unknown): void {
        const confirm = this.parseFrame(confirmSchema, value);
        if (confirm === undefined || this.transcript === undefined) {
            return;
        }
        if (!verifyProof(this.options.identity.secret, "dialer", this.transcript, confirm.proof)) {
            this.refuse(LinkCode.wrongSecret, "the shared secrets differ");
            return;
        }
        this.linkNumber = this.getOwnNumber() || confirm.linkNumber;
        this.writeFrame(encodeFrame({ kind: "ready", linkNumber: this.linkNumber }));
        this.startMessages();
    }

    private takeReady(value: unknown): void {
        const ready = this.parseFrame(readySchema, value);
        if (ready !== undefined) {
            this.linkNumber = ready.linkNumber;
            this.startMessages();
        }
    }

    private getOwnNumber(): number {
        const { identity, owner } = this.options;
        return isNumberedBy(identity.memberId, this.memberId) ? owner.getNextLinkNumber() : 0;
    }

    private acceptIdentity(other: Hello | Welcome): boolean {
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
            // The address was given to another VM since: no fault, the table will change.
            this.refuse(undefined, `the address belongs to ${other.memberId} now`);
            return false;
        }
        if (other.memberId === identity.memberId || !owner.isMember(other.memberId)) {
            // A member that this end has not heard of yet, or no longer wants; it tries again.
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
        this.step = value => this.takeMessage(value);
        if (!this.options.owner.handleLinkUp(this)) {
            this.close({ message: "a newer link to the same member is up" });
            return;
        }
        this.scheduleBeat();
    }

    private takeMessage(value: unknown): void {
        if (isBeat(value)) {
            return;
        }
        const check = checkPeerMessage(value);
        if (check.kind === "invalid") {
            this.close({ code: LinkCode.badMessage, message: `malformed message: ${check.fault}` });
            return;
        }
        this.options.owner.receiveMessage(this, check.message);
    }

    private scheduleBeat(): void {
        this.timer = this.options.clock.schedule(this.options.limits.heartbeatMs, () => this.checkSilence());
    }

    private checkSilence(): void {
        const { clock, limits, socket } = this.options;
        const silentMs = clock.now() - this.lastHeardAt;
        if (silentMs >= limits.idleTimeoutMs) {
            // Failure guarded against: the other VM is gone or cut off and sends no FIN, so the socket stays
            // open for minutes. It shows as silence, since a live peer sends at least its beats.
            const message = `nothing arrived for ${Math.round(silentMs)} ms`;
            this.close({ code: LinkCode.idle, message });
            return;
        }
        if (clock.now() - this.lastSentAt >= limits.heartbeatMs && socket.writableLength === 0) {
            this.writeFrame(BEAT);
        }
        this.scheduleBeat();
    }
}

function isBeat(value: unknown): boolean {
    return typeof value === "object" && value !== undefined &&
        (value as { readonly kind?: unknown; } | undefined)?.kind === "beat";
}
