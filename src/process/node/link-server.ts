/** Takes links from other nodes and keeps those that are up. */
import type { Clock, Timer } from "../../common/clock.js";
import type { LinkListener, LinkNetwork, LinkSocket } from "../../connection/link-network.js";
import { encodeBeatFrame, LINK_TICK_MS, LinkSide, NodeLink } from "../../connection/node-link.js";
import type { Log } from "../telemetry.js";
import { acceptNote } from "./link-note.js";
import type { LinkPeer } from "./link-note.js";
import type { NodeNote, StatusNote } from "./messages.js";

/** A link that another node opened. */
export type InboundLink = LinkPeer;

/** What the server tells its owner. */
export interface LinkServerOwner {
    buildStatus(): StatusNote;
    handleCall(body: unknown): Promise<unknown>;
    handleNote(inbound: InboundLink, note: NodeNote): void;
    handleClosed(inbound: InboundLink): void;
}

/** The server; see the module comment. */
export class LinkServer {
    /** The links that are up. */
    readonly links = new Set<InboundLink>();
    private listener: LinkListener | undefined;
    private timer: Timer | undefined;

    /**
     * @param network - Where links come from.
     * @param clock - For the links.
     * @param log - For sockets that fail.
     * @param owner - Told of what arrives.
     */
    constructor(
        private readonly network: LinkNetwork,
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly owner: LinkServerOwner,
    ) {}

    /** Starts to listen; rejects if the port cannot be had. Resolves with the port. */
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

    /** All followers get the same status: it is encoded once. */
    private tickLinks(): void {
        let frame: Buffer | undefined;
        const encodeBeat = (): Buffer => frame ??= encodeBeatFrame(this.owner.buildStatus());
        for (const { link } of [...this.links]) {
            link.tick(0, encodeBeat);
        }
    }

    private acceptSocket(socket: LinkSocket): void {
        const link = new NodeLink(socket, this.clock, {
            buildBeat: () => this.owner.buildStatus(),
            handleCall: body => this.owner.handleCall(body),
            handleNote: body => this.receiveNote(inbound, body),
            handleClosed: message => {
                this.links.delete(inbound);
                this.log.info("linkClosed", { peer: inbound.status?.nodeName, message });
                this.owner.handleClosed(inbound);
            },
        }, LinkSide.leader);
        const inbound: InboundLink = { link, status: undefined };
        this.links.add(inbound);
    }

    private receiveNote(inbound: InboundLink, body: unknown): void {
        const note = acceptNote(inbound, body);
        if (note !== undefined) {
            this.owner.handleNote(inbound, note);
        }
    }
}
