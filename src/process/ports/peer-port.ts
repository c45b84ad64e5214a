/**
 * Links between entries. Messages on a link arrive in order or not at all; a broken link loses those in
 * flight. Neither delivery nor loss is reported, so every protocol on top must resend or query.
 */
import type { PeerMessage } from "../../connection/messages.js";

/** A member to keep links to. */
export interface PeerAddress {
    readonly memberId: string;
    /** IP address. */
    readonly host: string;
    readonly port: number;
}

/** Receives the events of a {@link PeerPort}. */
export interface PeerListener {
    /** Handles a message from a member. */
    receiveMessage(memberId: string, message: PeerMessage): void;
    /** Handles that the link to a member came up or broke. */
    handleLinkChange(memberId: string, up: boolean): void;
}

/** Sends messages to other entries. */
export interface PeerPort {
    /** Keeps links to exactly these members, in both directions. */
    setPeers(peers: readonly PeerAddress[]): void;
    /**
     * Sends a message if the link is up and its buffer is not full; returns whether the message was queued.
     */
    send(memberId: string, message: PeerMessage): boolean;
    /** Installs the listener; called once, before the first message. */
    install(listener: PeerListener): void;
    close(): Promise<void>;
}
