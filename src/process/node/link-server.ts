/** Takes links from other nodes and keeps those that are up. */
import { createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { Clock } from "../../common/clock.js";
import { NodeLink } from "../../connection/node-link.js";
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
    private readonly server: Server;

    /**
     * @param clock - For the links.
     * @param log - For sockets that fail.
     * @param owner - Told of what arrives.
     */
    constructor(
        private readonly clock: Clock,
        private readonly log: Log,
        private readonly owner: LinkServerOwner,
    ) {
        this.server = createServer(socket => this.acceptSocket(socket));
    }

    /** Starts to listen; rejects if the port cannot be had. Resolves with the port. */
    open(host: string, port: number): Promise<number> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => {
                const address = this.server.address();
                resolve(typeof address === "object" ? address?.port ?? port : port);
            });
        });
    }

    /** Closes the port and all links. */
    close(): void {
        this.server.close();
        this.links.forEach(({ link }) => link.close("this node shuts down"));
    }

    private acceptSocket(socket: Socket): void {
        const link = new NodeLink(socket, this.clock, {
            buildBeat: () => this.owner.buildStatus(),
            handleCall: body => this.owner.handleCall(body),
            handleNote: body => this.receiveNote(inbound, body),
            handleClosed: message => {
                this.links.delete(inbound);
                this.log.info("linkClosed", { peer: inbound.status?.nodeName, message });
                this.owner.handleClosed(inbound);
            },
        });
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
