/** What callers ask of the cluster and what they are told, between any node and the leader. */
import type { Millis } from "../../common/clock.js";
import type { JobPhase } from "../jobs/job-events.js";
import type { JobSpec } from "../jobs/job-spec.js";

/** A request of a caller: its queue is found by host and path. */
export interface QueueAddress {
    readonly host: string;
    readonly path: string;
}

/** What callers may ask. */
export type CallerRequest =
    | ({ readonly kind: "submit"; readonly spec: JobSpec; } & QueueAddress)
    | ({ readonly kind: "show"; } & QueueAddress)
    | ({ readonly kind: "cancel"; } & QueueAddress);

/** Why a request was refused. It has then not been carried out. */
export const RefusalReason = {
    /** The store does not answer, so nothing can be accepted for good. */
    storeAway: "storeAway",
    /** No node leads at the moment. */
    noLeader: "noLeader",
    /** The leader has no processor time left for more jobs. */
    overloaded: "overloaded",
    /** No configuration has been seen yet. */
    noConfig: "noConfig",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** What callers are told. */
export type CallerReply =
    /** The job is stored, or was before. */
    | { readonly kind: "accepted"; }
    /** It surely has not been carried out and will not be. */
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: Millis; }
    /** No queue has this host and path. */
    | { readonly kind: "noQueue"; }
    | { readonly kind: "state"; readonly phase: JobPhase; }
    | { readonly kind: "pending"; readonly count: number; }
    /** The cancellation is durable, or the job had ended. */
    | { readonly kind: "cancelled"; }
    /** No such job. */
    | { readonly kind: "noJob"; }
    /** The path names neither a queue nor a job. */
    | { readonly kind: "malformed"; }
    /** Nobody can tell whether it was carried out; asking again is safe. */
    | { readonly kind: "unknown"; readonly message: string; };
