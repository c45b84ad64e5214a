/** Messages between the nodes of a cluster. */
import type { Millis } from "../../common/clock.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";

/** Calls of a follower to its leader. */
export interface ServeCall {
    readonly kind: "serve";
    readonly request: CallerRequest;
}

/** Calls of a leader to its followers. */
export interface AdviseCall {
    readonly kind: "advise";
    readonly step: string;
    readonly workerIds: readonly string[];
    readonly timeoutMs: Millis;
}

/** Any call, whichever end leads. */
export type NodeCall = ServeCall | AdviseCall;

/** Answers, by the kind of call. */
export type NodeAnswer =
    | { readonly kind: "served"; readonly reply: CallerReply; }
    | { readonly kind: "advised"; readonly answer: AdviceAnswer; }
    /** The node that was asked does not lead. */
    | { readonly kind: "notLeading"; };

/** The regular beat of a link's end. */
export interface StatusNote {
    readonly kind: "status";
    readonly nodeName: string;
    /** `host:port` where this end takes links. */
    readonly address: string;
    /** Epoch under which this end leads; undefined where it does not. */
    readonly leadsEpoch: number | undefined;
    /** Whether it leads and has not loaded the journal yet. */
    readonly isLoading: boolean;
    /** The leader that this end follows, or is; undefined where it knows none. */
    readonly leader: LeaderHint | undefined;
    /** Epoch of the leader that this end is, or has heard a moment ago. */
    readonly heardEpoch: number | undefined;
    /** How long the leader's writes have gone without any answer of the store; 0 where none waits. */
    readonly storeSilenceMs: Millis;
    /** By how much the leader's own timers were late within the last second; 0 for a node that does not lead. */
    readonly latenessMs: Millis;
    readonly configVersion: number;
    /** Processor time of this end's VM, in cores. */
    readonly cores: number;
    /** Whether the node is shutting down. */
    readonly isDraining: boolean;
}

/** Where a leader was seen. Hints of higher epochs are newer. */
export interface LeaderHint {
    readonly epoch: number;
    readonly address: string;
}

/** A node that the leader has a link with, or the leader itself. */
export interface NodeMember {
    readonly address: string;
    /** Processor time of its VM, in cores. */
    readonly cores: number;
}

/** The leader's nodes, so that they find a leader without the store. */
export interface MembersNote {
    readonly kind: "members";
    readonly members: readonly NodeMember[];
}

/** A follower with much more processor time, which the store answers, is ready to lead in place of this epoch. */
export interface OfferNote {
    readonly kind: "offer";
    readonly epoch: number;
}

/** A configuration that the other end does not have yet. */
export interface ConfigNote {
    readonly kind: "config";
    readonly config: ClusterConfig;
}

/** The sender lacks a configuration that the other end has said to have. */
export interface ConfigWantedNote {
    readonly kind: "configWanted";
    /** What the sender has. */
    readonly version: number;
}

/** The leader gives its place up: the node that hears this claims it at once. */
export interface HandoverNote {
    readonly kind: "handover";
    readonly epoch: number;
}

/** Any message without an answer. */
export type NodeNote = StatusNote | ConfigNote | ConfigWantedNote | HandoverNote | MembersNote | OfferNote;

/** Tells whether a received body has the shape of a message: only nodes of the same cluster speak on links. */
export function hasKind(body: unknown): body is { readonly kind: string; } {
    return typeof body === "object" && Boolean(body) &&
        typeof (body as { kind?: unknown; }).kind === "string";
}
