/** Links to all other entries of the cell over TCP: the {@link PeerPort} of the running system. */
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { Clock, Millis, Timer } from "../common/clock.js";
import type { Random } from "../common/random.js";
import type { PeerAddress, PeerListener, PeerPort } from "../process/ports/peer-port.js";
import type { Log, Metrics } from "../process/telemetry.js";
import type { PeerMessage } from "./messages.js";
import { openPort } from "./open-port.js";
import { DEFAULT_LINK_LIMITS, isLinkNumberAssigner, PeerLink } from "./peer-link.js";
import type { LinkCloseReason, LinkIdentity, LinkOwner, PeerLinkLimits } from "./peer-link.js";

/** Options of {@link createPeerMesh}. */
export interface PeerMeshOptions extends LinkIdentity {
    /** IP address to listen on. */
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
    /** Most accepted connections in their handshake at once; further ones are closed immediately. */
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

/** A {@link PeerPort} that listens on a TCP port. */
export interface PeerMesh extends PeerPort {
    /** The port that it listens on. */
    readonly port: number;
}

/** State of the mesh for one other member. */
interface Peer {
    address: PeerAddress;
    link: PeerLink | undefined;
    dialing: PeerLink | undefined;
    /** Highest number of a link that was up; links with an equal or lower number are refused. */
    highestLinkNumber: number;
    failures: number;
    timer: Timer | undefined;
}

/**
 * Creates a mesh and opens its port.
 * @returns The listening mesh; rejects if the port cannot be opened.
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
    /** Accepted connections whose handshake is not complete. */
    private readonly handshakes = new Set<PeerLink>();
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
        for (const link of [...this.handshakes]) {
            link.close({ message: "this entry is shutting down" });
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
        this.handshakes.delete(link);
        const peer = this.peers.get(link.memberId);
        if (peer === undefined || link.linkNumber <= peer.highestLinkNumber) {
            return false;
        }
        const older = peer.link;
        peer.highestLinkNumber = link.linkNumber;
        peer.link = link;
        peer.failures = 0;
        peer.timer?.cancel();
        if (older !== undefined) {
            // Reported as down first, since answers in flight on the older link will never arrive.
            this.listener?.handleLinkChange(link.memberId, false);
            older.close({ message: "replaced by a newer link" });
        }
        this.finishDial(peer, link);
        this.options.log.info("peerLinkUp", { peer: link.memberId, linkNumber: link.linkNumber });
        this.options.metrics.count("peer.linkUp");
        this.listener?.handleLinkChange(link.memberId, true);
        return true;
    }

    receiveMessage(link: PeerLink, message: PeerMessage): void {
        // A replaced link may still deliver buffered frames, which are older than those of the newer link.
        if (this.peers.get(link.memberId)?.link === link) {
            this.listener?.receiveMessage(link.memberId, message);
        }
    }

    handleLinkClosed(link: PeerLink, reason: LinkCloseReason): void {
        this.handshakes.delete(link);
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

    /** Cancels a dial that is no longer needed, unless the other end may already consider its link as up. */
    private finishDial(peer: Peer, link: PeerLink): void {
        const { dialing } = peer;
        if (dialing === link) {
            peer.dialing = undefined;
        }
        else if (dialing?.linkNumber === 0 && isLinkNumberAssigner(this.options.memberId, link.memberId)) {
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
            highestLinkNumber: 0,
            failures: 0,
            timer: undefined,
        };
        this.peers.set(address.memberId, peer);
        if (isLinkNumberAssigner(this.options.memberId, address.memberId)) {
            this.connectTo(peer);
            return;
        }
        // The other end dials first, so that a second link that replaces the first one is rare.
        this.scheduleDial(peer, FIRST_DIAL_BACKOFF_DOUBLINGS);
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
        if (this.closed) {
            socket.destroy();
            return;
        }
        const [oldest] = this.handshakes;
        if (oldest !== undefined && this.handshakes.size >= this.limits.maxHandshakes) {
            this.options.metrics.count("peer.handshakeShed");
            oldest.close({ message: "gave way to a newer connection" });
        }
        this.handshakes.add(this.createLink(socket, undefined));
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
     * Schedules the next dial with exponential backoff, half of which is random.
     *
     * @remarks Without the random half, all other entries would dial a restarting entry at the same instant,
     * and again after each refusal.
     */
    private scheduleDial(peer: Peer, doublings = peer.failures): void {
        const { minBackoffMs, maxBackoffMs } = this.limits;
        const wait = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(doublings, MAX_BACKOFF_DOUBLINGS));
        const delay = wait / 2 + this.options.random.pickFraction() * wait / 2;
        peer.timer?.cancel();
        peer.timer = this.options.clock.schedule(delay, () => this.connectTo(peer));
    }
}

const MAX_BACKOFF_DOUBLINGS = 20;
const FIRST_DIAL_BACKOFF_DOUBLINGS = 2;
