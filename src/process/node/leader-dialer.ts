/** A follower's link to its leader. */
import type { Clock, Millis } from "../../common/clock.js";
import type { LinkNetwork, LinkSocket } from "../../connection/link-network.js";
import { LINK_TICK_MS, LinkSide, NodeLink } from "../../connection/node-link.js";
import { acceptNote } from "./link-note.js";
import type { LinkPeer } from "./link-note.js";
import type { NodeNote, StatusNote } from "./messages.js";

/** How an attempt to reach a node ended. */
export type DialResult =
    | { readonly kind: "up"; readonly link: LeaderLink; }
    /** Nothing listens there. */
    | { readonly kind: "refused"; }
    | { readonly kind: "silent"; };

/** What a link to the leader tells its owner. */
export interface LeaderLinkOwner {
    buildStatus(): StatusNote;
    handleCall(body: unknown): Promise<unknown>;
    handleNote(link: LeaderLink, note: NodeNote): void;
    /** Factor by which the leader is given more time than usual before its link counts as silent. */
    readonly slowness?: number;
}

/** Time for a connection, and for the first status over it. */
const DIAL_TIMEOUT_MS: Millis = 500;

const LATE_TURNS = 3;
const MAX_EXTRA_TICKS = 12;

/** A link to the leader. */
export class LeaderLink implements LinkPeer {
    /** Last status of the other end. */
    status: StatusNote | undefined;

    /**
     * @param link - The connection.
     * @param closed - Resolves when the link is closed.
     * @param firstStatus - Resolves when the other end has said who it is.
     */
    constructor(
        readonly link: NodeLink,
        readonly closed: Promise<string>,
        readonly firstStatus: Promise<StatusNote>,
    ) {}
}

/**
 * Opens a link.
 * @param network - Reaches the address.
 * @param address - `host:port`.
 * @param clock - For the link.
 * @param owner - Told of what arrives.
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
        let settleStatus: (note: StatusNote) => void = () => undefined;
        const firstStatus = new Promise<StatusNote>(resolve => {
            settleStatus = resolve;
        });
        const closed = new Promise<string>(resolve => {
            settleClosed = resolve;
        });
        const link = new NodeLink(socket, clock, {
            buildBeat: () => owner.buildStatus(),
            handleCall: body => owner.handleCall(body),
            handleNote: body => {
                const note = acceptNote(leaderLink, body);
                if (note?.kind === "status") {
                    settleStatus(note);
                }
                if (note !== undefined) {
                    owner.handleNote(leaderLink, note);
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

/** An end that has said that it is late is given the time of a few of its turns more. */
function computeExtraTicks(status: StatusNote | undefined, slowness: number): number {
    const extraMs = (status?.latenessMs ?? 0) * LATE_TURNS;
    const usualTicks = LinkSide.follower.maxQuietTicks;
    return Math.max(
        Math.round(usualTicks * (slowness - 1)),
        Math.min(MAX_EXTRA_TICKS, Math.round(extraMs / LINK_TICK_MS)),
    );
}
