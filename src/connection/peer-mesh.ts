/** Links to all other entries of the cell over TCP: the {@link PeerPort} of the running system. */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { Clock, Millis, Timer } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { PeerAddress, PeerListener, PeerPort } from "../process/ports/peer-port.js";
import type { Log, Metrics } from "../process/telemetry.js";
import type { PeerMessage } from "./messages.js";
import { openPort } from "./open-port.js";
import { DEFAULT_LINK_LIMITS, isNumberedBy, PeerLink } from "./peer-link.js";
import type { LinkCloseReason, LinkIdentity, LinkOwner, PeerLinkLimits } from "./peer-link.js";

/** What a mesh is made from. */
export interface PeerMeshOptions extends LinkIdentity {
    /** IP number to listen on. */
    readonly host: string;
    /** Port to listen on; 0 lets the operating system pick one. */
    readonly port: number;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly limits?: Partial<PeerMeshLimits>;
}

/** Limits of a mesh. */
export interface PeerMeshLimits extends PeerLinkLimits {
    /** Connections of strangers that may be in their handshake at once. */
    readonly maxHandshakes: number;
    readonly minBackoffMs: Millis;
    readonly maxBackoffMs: Millis;
}

/** Limits of the running system. */
export const DEFAULT_MESH_LIMITS: PeerMeshLimits = {
    ...DEFAULT_LINK_LIMITS,
    maxHandshakes: 128,
    minBackoffMs: 50,
    maxBackoffMs: 2_000,
};

/** A {@link PeerPort} that listens. */
export interface PeerMesh extends PeerPort {
    /** The port that it listens on. */
    readonly port: number;
}

/** What the mesh knows of one member. */
interface Peer {
    address: PeerAddress;
    link: PeerLink | undefined;
    dialing: PeerLink | undefined;
    /** Highest link number that was up; lower ones are stale. */
    highestNumber: number;
    failures: number;
    timer: Timer | undefined;
}

/**
 * Opens the mesh's port.
 * @returns The mesh, listening; rejects if the port cannot be had.
 */
export async function createPeerMesh(options: PeerMeshOptions): Promise<PeerMesh> {
    const mesh = new TcpPeerMesh(options);
    await mesh.open();
    return mesh;
}

class TcpPeerMesh implements PeerMesh, LinkOwner {
    port = 0;

    private readonly limits: PeerMeshLimits;
    private readonly peers = new Map<string, Peer>();
    /** Accepted connections whose handshake is not over. */
    private readonly strangers = new Set<PeerLink>();
    private readonly server: Server;
    private listener: PeerListener | undefined;
    private lastLinkNumber = 0;
    private closed = false;

    constructor(private readonly options: PeerMeshOptions) {
        this.limits = { ...DEFAULT_MESH_LIMITS, ...options.limits };
        this.server = createServer({ noDelay: true }, socket => this.acceptSocket(socket));
    }

    async open(): Promise<void> {
        this.port = await openPort(this.server, this.options.host, this.options.port);
        this.server.on("error", error => {
            this.options.log.warn("CR1307", "peerListenError", { message: error.message });
        });
    }

    install(listener: PeerListener): void {
        this.listener = listener;
    }

    setPeers(addresses: readonly PeerAddress[]): void {
        const wanted = new Map(addresses.map(address => [address.memberId, address]));
        wanted.delete(this.options.memberId);
        for (const [memberId, peer] of [...this.peers]) {
            if (!wanted.has(memberId)) {
                this.dropPeer(memberId, peer);
            }
        }
        for (const [memberId, address] of wanted) {
            const peer = this.peers.get(memberId);
            if (peer === undefined) {
                this.addPeer(address);
            }
            else {
                peer.address = address;
            }
        }
    }

    send(memberId: string, message: PeerMessage): boolean {
        const queued = this.peers.get(memberId)?.link?.send(message) ?? false;
        if (!queued) {
            this.options.metrics.count("peer.notSent", 1, { kind: message.kind });
        }
        return queued;
    }

    async close(): Promise<void> {
        this.closed = true;
        for (const [memberId, peer] of [...this.peers]) {
            this.dropPeer(memberId, peer);
        }
        for (const stranger of [...this.strangers]) {
            stranger.close({ message: "this entry is shutting down" });
        }
        await new Promise<void>(resolve => {
            this.server.close(() => resolve());
        });
    }

    isMember(memberId: string): boolean {
        return this.peers.has(memberId);
    }

    getNextLinkNumber(): number {
        return ++this.lastLinkNumber;
    }

    handleLinkUp(link: PeerLink): boolean {
        this.strangers.delete(link);
        const peer = this.peers.get(link.memberId);
        if (peer === undefined || link.linkNumber <= peer.highestNumber) {
            return false;
        }
        const older = peer.link;
        peer.highestNumber = link.linkNumber;
        peer.link = link;
        peer.failures = 0;
        peer.timer?.cancel();
        if (older !== undefined) {
            // Announced as down first: answers that were under way on the older link will never come.
            this.listener?.handleLinkChange(link.memberId, false);
            older.close({ message: "replaced by a newer link" });
        }
        this.settleDial(peer, link);
        this.options.log.info("peerLinkUp", { peer: link.memberId, linkNumber: link.linkNumber });
        this.options.metrics.count("peer.linkUp");
        this.listener?.handleLinkChange(link.memberId, true);
        return true;
    }

    receiveMessage(link: PeerLink, message: PeerMessage): void {
        // A replaced link may still hold frames; what it brings is older than what the newer link brought.
        if (this.peers.get(link.memberId)?.link === link) {
            this.listener?.receiveMessage(link.memberId, message);
        }
    }

    handleLinkClosed(link: PeerLink, reason: LinkCloseReason): void {
        this.strangers.delete(link);
        this.logClosed(link, reason);
        for (const peer of this.peers.values()) {
            if (peer.link === link) {
                peer.link = undefined;
                this.listener?.handleLinkChange(peer.address.memberId, false);
                this.scheduleDial(peer);
            }
            if (peer.dialing === link) {
                peer.dialing = undefined;
                peer.failures += 1;
                this.scheduleDial(peer);
            }
        }
    }

    /** Gives up a dial that is no longer needed, unless the other end may count on it already. */
    private settleDial(peer: Peer, link: PeerLink): void {
        const { dialing } = peer;
        if (dialing === link) {
            peer.dialing = undefined;
        }
        else if (dialing?.linkNumber === 0 && isNumberedBy(this.options.memberId, link.memberId)) {
            peer.dialing = undefined;
            dialing.close({ message: "the other end connected first" });
        }
    }

    private logClosed(link: PeerLink, reason: LinkCloseReason): void {
        const fields = { peer: link.memberId || undefined, message: reason.message };
        this.options.metrics.count("peer.linkClosed", 1, { code: reason.code ?? "none" });
        if (reason.code === undefined) {
            this.options.log.debug("peerLinkClosed", fields);
        }
        else {
            this.options.log.warn(reason.code, "peerLinkClosed", fields);
        }
    }

    private addPeer(address: PeerAddress): void {
        const peer: Peer = {
            address,
            link: undefined,
            dialing: undefined,
            highestNumber: 0,
            failures: 0,
            timer: undefined,
        };
        this.peers.set(address.memberId, peer);
        if (isNumberedBy(this.options.memberId, address.memberId)) {
            this.connectTo(peer);
            return;
        }
        // Left to the other end for a moment, so that there is seldom a second link to replace the first.
        this.scheduleDial(peer, FIRST_DIAL_DOUBLINGS);
    }

    private dropPeer(memberId: string, peer: Peer): void {
        this.peers.delete(memberId);
        peer.timer?.cancel();
        peer.dialing?.close({ message: "no longer a member" });
        if (peer.link !== undefined) {
            this.listener?.handleLinkChange(memberId, false);
            peer.link.close({ message: "no longer a member" });
        }
    }

    private acceptSocket(socket: Socket): void {
        if (this.closed || this.strangers.size >= this.limits.maxHandshakes) {
            this.options.metrics.count("peer.handshakeShed");
            socket.destroy();
            return;
        }
        this.strangers.add(this.createLink(socket, undefined));
    }

    private createLink(socket: Socket, expectedId: string | undefined): PeerLink {
        return new PeerLink({
            socket,
            side: expectedId === undefined ? "acceptor" : "dialer",
            identity: this.options,
            expectedId,
            limits: this.limits,
            clock: this.options.clock,
            owner: this,
        });
    }

    private connectTo(peer: Peer): void {
        const { memberId, host, port } = peer.address;
        const isWanted = !this.closed && this.peers.get(memberId) === peer;
        if (!isWanted || peer.link !== undefined || peer.dialing !== undefined) {
            return;
        }
        peer.dialing = this.createLink(connect({ host, port, noDelay: true }), memberId);
    }

    /**
     * Dials again after a wait that doubles with each failure, half of it random.
     *
     * @remarks Failure guarded against: an entry that restarts is dialled by all others in the same instant,
     * and again each time it refuses. The random half spreads them.
     */
    private scheduleDial(peer: Peer, doublings = peer.failures): void {
        const { minBackoffMs, maxBackoffMs } = this.limits;
        const wait = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(doublings, MAX_DOUBLINGS));
        const delay = wait / 2 + this.options.random.pickFraction() * wait / 2;
        peer.timer?.cancel();
        peer.timer = this.options.clock.schedule(delay, () => this.connectTo(peer));
    }
}

const MAX_DOUBLINGS = 20;
const FIRST_DIAL_DOUBLINGS = 2;
