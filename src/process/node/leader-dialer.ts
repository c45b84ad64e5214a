/** Opens links to a leader, or to another node that is queried for its status. */
import type { Clock, Millis } from "../../common/clock.js";
import type { LinkNetwork, LinkSocket } from "../../connection/link-network.js";
import { LINK_TICK_MS, LinkSide, NodeLink } from "../../connection/node-link.js";
import { acceptNotification } from "./link-peer.js";
import type { LinkPeer } from "./link-peer.js";
import type { NodeNotification, NodeStatus } from "./messages.js";

/** Result of an attempt to connect to a node. */
export type DialResult =
    | { readonly kind: "up"; readonly link: LeaderLink; }
    /** Nothing listens there. */
    | { readonly kind: "refused"; }
    | { readonly kind: "silent"; };

/** Callbacks of a link's owner. */
export interface LeaderLinkOwner {
    buildStatus(): NodeStatus;
    handleCall(body: unknown): Promise<unknown>;
    handleNotification(link: LeaderLink, notification: NodeNotification): void;
    /** Factor on the time after which the leader's link counts as silent; 1 by default. */
    readonly slowness?: number;
}

/** Time for a connection to be established. */
const DIAL_TIMEOUT_MS: Millis = 500;

const LATENESS_FACTOR = 3;
const MAX_EXTRA_TICKS = 12;

/** The opening end of a link to a node, usually the leader. */
export class LeaderLink implements LinkPeer {
    /** The other end's last status. */
    status: NodeStatus | undefined;

    /**
     * @param closed - Resolves with the reason when the link is closed.
     * @param firstStatus - Resolves when the other end's first status has arrived.
     */
    constructor(
        readonly link: NodeLink,
        readonly closed: Promise<string>,
        readonly firstStatus: Promise<NodeStatus>,
    ) {}
}

/**
 * Opens a link.
 * @param address - `host:port`.
 * @param clock - Drives heartbeats and timeouts of the link.
 * @param owner - Receives calls and notifications from the other end.
 */
export async function connectToLeader(
    network: LinkNetwork,
    address: string,
    clock: Clock,
    owner: LeaderLinkOwner,
): Promise<DialResult> {
    const result = await network.connect(address, DIAL_TIMEOUT_MS);
    return result.kind === "up" ? { kind: "up", link: openLink(result.socket) } : result;

    function openLink(socket: LinkSocket): LeaderLink {
        let settleClosed: (message: string) => void = () => undefined;
        let settleStatus: (notification: NodeStatus) => void = () => undefined;
        const firstStatus = new Promise<NodeStatus>(resolve => {
            settleStatus = resolve;
        });
        const closed = new Promise<string>(resolve => {
            settleClosed = resolve;
        });
        const link = new NodeLink(socket, clock, {
            buildHeartbeat: () => owner.buildStatus(),
            handleCall: body => owner.handleCall(body),
            handleNotification: body => {
                const notification = acceptNotification(leaderLink, body);
                if (notification?.kind === "status") {
                    settleStatus(notification);
                }
                if (notification !== undefined) {
                    owner.handleNotification(leaderLink, notification);
                }
            },
            handleClosed: message => settleClosed(message),
        }, LinkSide.follower);
        const leaderLink = new LeaderLink(link, closed, firstStatus);
        scheduleTick(leaderLink);
        return leaderLink;
    }

    function scheduleTick(leaderLink: LeaderLink): void {
        clock.schedule(LINK_TICK_MS, () => {
            if (!leaderLink.link.isClosed()) {
                leaderLink.link.tick(computeExtraTicks(leaderLink.status, owner.slowness ?? 1));
                scheduleTick(leaderLink);
            }
        });
    }
}

/** Extends the silence timeout on slow VMs, and by a few times the lateness that the leader reports. */
function computeExtraTicks(status: NodeStatus | undefined, slowness: number): number {
    const extraMs = (status?.latenessMs ?? 0) * LATENESS_FACTOR;
    const usualTicks = LinkSide.follower.maxQuietTicks;
    return Math.max(
        Math.round(usualTicks * (slowness - 1)),
        Math.min(MAX_EXTRA_TICKS, Math.round(extraMs / LINK_TICK_MS)),
    );
}
