/** Takes in what the other end of a link between nodes says, whichever end opened it. */
import type { NodeLink } from "../../connection/node-link.js";
import { hasKind } from "./messages.js";
import type { NodeNote, StatusNote } from "./messages.js";

/** The other end of a link. */
export interface LinkPeer {
    readonly link: NodeLink;
    /** Its last status; undefined before the first. */
    status: StatusNote | undefined;
}

/**
 * Takes in a note: a status is kept with the link.
 * @param peer - Who sent it.
 * @param body - As received.
 * @returns The note; undefined where it is of no known shape, and then the link is closed.
 */
export function acceptNote(peer: LinkPeer, body: unknown): NodeNote | undefined {
    if (!hasKind(body)) {
        peer.link.close("a note of an unknown kind");
        return undefined;
    }
    const note = body as NodeNote;
    if (note.kind === "status") {
        peer.status = note;
    }
    return note;
}
