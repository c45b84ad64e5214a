/** Accepts links from other nodes and keeps those that are open. */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { LinkListener, LinkNetwork, LinkSocket } from "../../connection/link-network.js";
import { encodeHeartbeatFrame, LINK_TICK_MS, LinkSide, NodeLink } from "../../connection/node-link.js";
import type { Log } from "../telemetry.js";
import { acceptNotification } from "./link-peer.js";
import type { LinkPeer } from "./link-peer.js";
import type { NodeNotification, NodeStatus } from "./messages.js";

/** A link that another node opened. */
export type InboundLink = LinkPeer;

/** Callbacks of the server's owner. */
export interface LinkServerOwner {
    buildStatus(): NodeStatus;
    handleCall(body: unknown): Promise<unknown>;
    handleNotification(inbound: InboundLink, notification: NodeNotification): void;
    handleClosed(inbound: InboundLink): void;
}

const FULL_REPORT_INTERVAL_MS: Millis = 1_000;

/** Listens for links from other nodes and sends heartbeats over them. */
export class LinkServer {
    /** The open links. */
    readonly links = new Set<InboundLink>();
    private listener: LinkListener | undefined;
    private timer: Timer | undefined;
    private lastFullAt: Millis = -Infinity;

    /**
     * @param clock - Drives heartbeats and timeouts of the links.
     * @param owner - Receives calls and notifications, and is notified of closed links.
     * @param maxLinks - Above this, links whose other end has not identified itself give way to new ones.
     */
    constructor(
        private readonly network: LinkNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly owner: LinkServerOwner,
        private readonly maxLinks: number,
    ) {}

    /**
     * Starts listening.
     * @returns The port in use.
     * @throws If the port cannot be opened.
     */
    async open(host: string, port: number): Promise<number> {
        this.listener = await this.network.listen(
            host,
            port,
            socket => this.acceptSocket(socket),
            error => this.log.warn("CR1633", "linkPortFailed", { message: error.message }),
        );
        this.scheduleTick();
        return this.listener.port;
    }

    /** Closes the port and all links. */
    close(): void {
        this.listener?.close();
        this.timer?.cancel();
        this.links.forEach(({ link }) => link.close("this node shuts down"));
    }

    private scheduleTick(): void {
        this.timer = this.clock.schedule(LINK_TICK_MS, () => {
            this.tickLinks();
            this.scheduleTick();
        });
    }

    /** Sends heartbeats. All followers get the same status, so it is encoded only once. */
    private tickLinks(): void {
        let frame: Buffer | undefined;
        const encodeBeat = (): Buffer => frame ??= encodeHeartbeatFrame(this.owner.buildStatus());
        for (const { link } of [...this.links]) {
            link.tick(0, encodeBeat);
        }
    }

    private acceptSocket(socket: LinkSocket): void {
        if (this.links.size >= this.maxLinks && !this.closeUnidentified()) {
            this.reportFull();
            socket.destroy();
            return;
        }
        const link = new NodeLink(socket, this.clock, {
            buildHeartbeat: () => this.owner.buildStatus(),
            handleCall: body => this.owner.handleCall(body),
            handleNotification: body => this.receiveNotification(inbound, body),
            handleClosed: message => {
                this.links.delete(inbound);
                this.log.info("linkClosed", { peer: inbound.status?.nodeName, message });
                this.owner.handleClosed(inbound);
            },
        }, LinkSide.leader);
        const inbound: InboundLink = { link, status: undefined };
        this.links.add(inbound);
    }

    private reportFull(): void {
        const now = this.clock.now();
        if (now - this.lastFullAt >= FULL_REPORT_INTERVAL_MS) {
            this.lastFullAt = now;
            this.log.warn("CR1633", "linkPortFailed", { message: `all ${this.maxLinks} links are in use` });
        }
    }

    /** Closes the oldest link whose other end has not identified itself; returns whether there was one. */
    private closeUnidentified(): boolean {
        for (const { link, status } of this.links) {
            if (status === undefined) {
                link.close("gave way to a newer link");
                return true;
            }
        }
        return false;
    }

    private receiveNotification(inbound: InboundLink, body: unknown): void {
        const notification = acceptNotification(inbound, body);
        if (notification !== undefined) {
            this.owner.handleNotification(inbound, notification);
        }
    }
}
