/** Handles notifications from the other end of a link between nodes, whichever end opened the link. */
import type { NodeLink } from "../../connection/node-link.js";
import { hasKind } from "./messages.js";
import type { NodeNotification, NodeStatus } from "./messages.js";

/** The other end of a link. */
export interface LinkPeer {
    readonly link: NodeLink;
    /** The other end's last status; undefined before the first. */
    status: NodeStatus | undefined;
}

/**
 * Accepts a notification, and stores a status with the link.
 * @param peer - The sender.
 * @returns The notification; undefined if it has no kind, in which case the link is closed.
 */
export function acceptNotification(peer: LinkPeer, body: unknown): NodeNotification | undefined {
    if (!hasKind(body)) {
        peer.link.close("a note of an unknown kind");
        return undefined;
    }
    const notification = body as NodeNotification;
    if (notification.kind === "status") {
        peer.status = notification;
        peer.link.acceptLargeFrames();
    }
    return notification;
}
