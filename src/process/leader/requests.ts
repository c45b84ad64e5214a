/** Requests of callers and the replies to them, as exchanged between any node and the leader. */
import type { Millis } from "../../common/clock.js";
import type { AccessDenial } from "../accounts/access.js";
import type { Credential } from "../accounts/credential.js";
import type { JobPhase } from "../jobs/job-events.js";
import type { JobSpec } from "../jobs/job-spec.js";

/** The host and path of a request, by which its queue is found, and the key with which it was sent. */
export interface QueueAddress {
    readonly host: string;
    readonly path: string;
    readonly credential?: Credential;
}

/** A request of a caller. */
export type CallerRequest =
    | ({ readonly kind: "submit"; readonly spec: JobSpec; } & QueueAddress)
    | ({ readonly kind: "show"; } & QueueAddress)
    | ({ readonly kind: "cancel"; } & QueueAddress);

/** Why a request was refused. A refused request has not been carried out. */
export const RefusalReason = {
    /** The store does not answer, so no acceptance can be made durable. */
    storeAway: "storeAway",
    /** No node leads at the moment. */
    noLeader: "noLeader",
    /** The leader has no processor time for more jobs. */
    overloaded: "overloaded",
    /** The queue's tasks have been crashing workers, and its waiting jobs use all that it may use. */
    queueOnProbation: "queueOnProbation",
    /** The accepted jobs need all the time that the nodes have for requests to the advice service. */
    adviceBacklog: "adviceBacklog",
    /** The store has not confirmed for too long that no key was revoked. */
    configUnconfirmed: "configUnconfirmed",
    /** Its client account has used up its rate of jobs, and there is no room for more. */
    rateExceeded: "rateExceeded",
    /** The quota of its client account could never hold what has to run at once. */
    quotaTooSmall: "quotaTooSmall",
    /** The job is larger than a value of the store may be. */
    jobTooLarge: "jobTooLarge",
    /** No configuration has been received yet. */
    noConfig: "noConfig",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

/** A reply to a caller. */
export type CallerReply =
    /** The job is durable, now or since an earlier request. */
    | { readonly kind: "accepted"; }
    /** The request has not been carried out and will not be. */
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: Millis; }
    /** Its key does not allow the request, which has not been carried out. */
    | { readonly kind: "unauthorized"; readonly reason: AccessDenial; }
    /** The id of the submitted job is that of another client account's job. */
    | { readonly kind: "jobIdTaken"; }
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
    /** It is not known whether the request was carried out; repeating it is safe. */
    | { readonly kind: "unknown"; readonly message: string; };
