/**
 * Links between entries. Messages on a link arrive in order or not at all; a broken link loses what was
 * under way. Neither delivery nor loss is reported, so every protocol above repeats or asks.
 */
import type { PeerMessage } from "../../connection/messages.js";

/** A member that links are kept to. */
export interface PeerAddress {
    readonly memberId: string;
    /** IP number. */
    readonly host: string;
    readonly port: number;
}

/** What a peer port tells its owner. */
export interface PeerListener {
    /** A message arrived from a member. */
    receiveMessage(memberId: string, message: PeerMessage): void;
    /** The link to a member came up or broke. */
    handleLinkChange(memberId: string, up: boolean): void;
}

/** Sends messages to other entries. */
export interface PeerPort {
    /** Keeps links to exactly these members, in both directions. */
    setPeers(peers: readonly PeerAddress[]): void;
    /** Sends if the link is up and its buffer has room; returns whether the message was queued. */
    send(memberId: string, message: PeerMessage): boolean;
    /** Installs the listener; called once, before the first message. */
    install(listener: PeerListener): void;
    close(): Promise<void>;
}
