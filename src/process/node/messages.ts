/** Messages between the nodes of a cluster: calls, their answers, and notifications, which have no answer. */
import type { Millis } from "../../common/clock.js";
import type { ClusterConfig } from "../../version/cluster-config.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import type { AdviceAnswer } from "../ports/task-worker-port.js";

/** Call of a follower to its leader: a caller's request to serve. */
export interface ServeCall {
    readonly kind: "serve";
    readonly request: CallerRequest;
}

/** Call of a leader to a follower: requests permits from the advice service. */
export interface AdviseCall {
    readonly kind: "advise";
    readonly step: string;
    readonly workerIds: readonly string[];
    readonly timeoutMs: Millis;
}

/** Any call, from either end. */
export type NodeCall = ServeCall | AdviseCall;

/** Answers, by the kind of call. */
export type NodeAnswer =
    | { readonly kind: "served"; readonly reply: CallerReply; }
    | { readonly kind: "advised"; readonly answer: AdviceAnswer; }
    /** The node that was called does not lead. */
    | { readonly kind: "notLeading"; };

/** A node's status, which it sends as its heartbeat on each link. */
export interface NodeStatus {
    readonly kind: "status";
    readonly nodeName: string;
    /** `host:port` where this node accepts links. */
    readonly address: string;
    /** Epoch under which this node leads; undefined if it does not. */
    readonly leadsEpoch: number | undefined;
    /** Whether this node leads and has not loaded the journal yet. */
    readonly isLoading: boolean;
    /** The leader that this node follows, or is; undefined if it knows none. */
    readonly leader: LeaderHint | undefined;
    /** Epoch of the leader that this node is, or has recently received something from. */
    readonly heardEpoch: number | undefined;
    /** How long the leader's writes have waited without any answer from the store; 0 if none is waiting. */
    readonly storeSilenceMs: Millis;
    /** How late the leader's timers were within the last second; 0 for a node that does not lead. */
    readonly latenessMs: Millis;
    readonly configVersion: number;
    /** Processor time of this node's VM, in cores. */
    readonly cores: number;
    /** Whether the node is shutting down. */
    readonly isDraining: boolean;
}

/** A leader that a node knows of. A hint with a higher epoch is newer. */
export interface LeaderHint {
    readonly epoch: number;
    readonly address: string;
}

/** The leader, or a node with a link to it. */
export interface NodeMember {
    readonly address: string;
    /** Processor time of its VM, in cores. */
    readonly cores: number;
}

/** The leader's list of members, through which they can find a leader without the store. */
export interface MembersUpdate {
    readonly kind: "members";
    readonly members: readonly NodeMember[];
}

/** Offer to replace the leader of an epoch, by a much larger follower that can reach the store. */
export interface LeadershipOffer {
    readonly kind: "offer";
    readonly epoch: number;
}

/** A configuration that the receiver does not have yet. */
export interface ConfigUpdate {
    readonly kind: "config";
    readonly config: ClusterConfig;
}

/** Requests a configuration that is newer than the sender's, according to the receiver's status. */
export interface ConfigRequest {
    readonly kind: "configWanted";
    /** The sender's version. */
    readonly version: number;
}

/** The leader of an epoch has stepped down; the receiver is its successor and claims at once. */
export interface HandoverNotice {
    readonly kind: "handover";
    readonly epoch: number;
}

/** Any notification. */
export type NodeNotification =
    | NodeStatus
    | ConfigUpdate
    | ConfigRequest
    | HandoverNotice
    | MembersUpdate
    | LeadershipOffer;

/**
 * Returns whether a received body has a kind. Nothing else is checked, as only nodes of the same cluster
 * connect to each other.
 */
export function hasKind(body: unknown): body is { readonly kind: string; } {
    return typeof body === "object" && Boolean(body) &&
        typeof (body as { kind?: unknown; }).kind === "string";
}
