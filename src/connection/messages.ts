/**
 * Messages between entries, as tagged unions. `src/connection/message-schema.ts` validates them on receipt.
 *
 * @remarks There are three kinds of exchange. A `digest` is sent regularly and replaces the previous one. A
 * `call` expects one `answer`. A `note` is a notification without an answer; its sender repeats it, or asks
 * later whether it arrived.
 */
import type { Millis } from "../common/clock.js";
import type { Outcome } from "../common/outcome.js";
import type { Resources } from "../common/resources.js";
import type { Caller, JobSpec, JobView } from "../request/work.js";
import type {
    AcknowledgeNotification,
    ConfirmNotification,
    HomeFence,
    PlaceNotification,
    PlaceOrder,
    TaskUpdate,
    UpdateNotification,
    WithdrawNotification,
} from "./task-messages.js";

export * from "./task-messages.js";

/** Any message on a link between entries. */
export type PeerMessage = DigestMessage | CallMessage | AnswerMessage | NotificationMessage;

/** State that every entry sends to every other one several times a second. It is also the heartbeat. */
export interface DigestMessage {
    readonly kind: "digest";
    /** Increases with each digest of one member; a digest with a lower number is dropped. */
    readonly sequence: number;
    /** Settings version in force at the sender. */
    readonly treeVersion: number;
    /** Revision of the sender's copy of the ownership table. */
    readonly tableRevision: number;
    /** Milliseconds since the sender's last successful call to the store; -1 if there was none. */
    readonly storeContactAgeMs: Millis;
    /** Whether the sender is shutting down and accepts no new work. */
    readonly draining: boolean;
    /** Members that the sender received digests from, but not recently. */
    readonly suspects: readonly string[];
    /**
     * Highest digest sequence that the sender had received from each member. It proves to a receiver that
     * this digest was built after the receiver's own digest of that sequence, however long it was buffered on
     * the way.
     */
    readonly echoes: Readonly<Record<string, number>>;
    /** Worker slices that the sender owns. */
    readonly slices: readonly SliceStatus[];
    readonly load: PlacerLoad;
}

/** Status of a worker slice, as reported by its owner. */
export interface SliceStatus {
    readonly slice: number;
    readonly epoch: number;
    /** True once each worker of the slice is attached, or its tasks have certainly ended. */
    readonly ready: boolean;
}

/** Capacity and load of a placer. For routing only, since it may be as old as one digest interval. */
export interface PlacerLoad {
    readonly workers: number;
    /** Free service slots over all open workers. */
    readonly freeSlots: number;
    readonly totalSlots: number;
    readonly queuedRequests: number;
    readonly queuedTasks: number;
    readonly free: Resources;
    readonly total: Resources;
    /** Largest free amount on a single open worker, for each dimension separately. */
    readonly largestFree: Resources;
    /** Largest capacity of a single worker, for each dimension separately. */
    readonly largestWorker: Resources;
    /** Resources in use by running work, keyed by team; for quotas. */
    readonly teamUse: Readonly<Record<string, Resources>>;
}

/** A remote call to another entry. */
export interface CallMessage {
    readonly kind: "call";
    readonly callId: string;
    /** Time that the calling entry waits for the answer, in milliseconds from sending. */
    readonly timeoutMs: Millis;
    readonly body: CallBody;
}

/** The answer to a {@link CallMessage}. */
export interface AnswerMessage {
    readonly kind: "answer";
    readonly callId: string;
    readonly body: AnswerBody;
}

/** A one-way message; on the wire its kind is `note`. */
export interface NotificationMessage {
    readonly kind: "note";
    readonly body: NotificationBody;
}

/** Calls between entries. */
export type CallBody =
    | ServeCall
    | HomeCall
    | CensusCall
    | ReserveCall
    | TreeCall
    | TableCall
    | ForceCall
    | ExplainCall;
/** Answers to calls, including the one that reports an error. */
export type AnswerBody =
    | ServeAnswer
    | HomeAnswer
    | CensusAnswer
    | ReserveAnswer
    | TreeAnswer
    | TableAnswer
    | ForceAnswer
    | ExplainAnswer
    | ErrorAnswer;
/** Notifications between homes and placers about tasks. */
export type NotificationBody =
    | PlaceNotification
    | ConfirmNotification
    | WithdrawNotification
    | AcknowledgeNotification
    | UpdateNotification;

/** Runs a service request on a worker of the receiver. */
export interface ServeCall {
    readonly kind: "serve";
    readonly requestId: string;
    /** Distinguishes the attempts of one request. */
    readonly attempt: string;
    readonly caller: Caller;
    readonly branch: string;
    readonly body: Uint8Array;
    readonly contentType: string;
    /** Milliseconds left until the caller's deadline, at the time of sending. */
    readonly deadlineMs: Millis;
    /** Workers on which an earlier attempt failed. */
    readonly avoid: readonly string[];
    /** The home that wrote the start marker; set if the request is not repeatable. */
    readonly home?: HomeFence;
}

/** Outcome of a {@link ServeCall}. */
export interface ServeAnswer {
    readonly kind: "served";
    readonly outcome: Outcome;
    /** Whether an attempt elsewhere is safe: the request certainly did not run, or it ended as a failure. */
    readonly retrySafe: boolean;
}

/** A request to the owner of a home slice. */
export interface HomeCall {
    readonly kind: "home";
    readonly homeSlice: number;
    readonly request: HomeRequest;
}

/** Requests of callers, forwarded to the owner of the work's home slice. */
export type HomeRequest =
    | { readonly kind: "submitJob"; readonly jobId: string; readonly caller: Caller; readonly spec: JobSpec; }
    | { readonly kind: "showJob"; readonly jobId: string; readonly team: string | undefined; }
    | {
        readonly kind: "waitJob";
        readonly jobId: string;
        readonly team: string | undefined;
        readonly waitMs: Millis;
    }
    | { readonly kind: "cancelJob"; readonly jobId: string; readonly team: string | undefined; }
    | { readonly kind: "explainJob"; readonly jobId: string; readonly team: string | undefined; }
    | {
        /** A service request that is not repeatable or has an idempotency key. */
        readonly kind: "runRequest";
        readonly requestKey: string;
        readonly requestId: string;
        readonly caller: Caller;
        readonly branch: string;
        readonly body: Uint8Array;
        readonly contentType: string;
        readonly repeatable: boolean;
        readonly deadlineMs: Millis;
    };

/** Answer to a {@link HomeCall}. */
export interface HomeAnswer {
    readonly kind: "home";
    readonly reply: HomeReply;
}

/** Result of a {@link HomeRequest}. */
export type HomeReply =
    | { readonly kind: "job"; readonly job: JobView; readonly created: boolean; }
    | { readonly kind: "explanation"; readonly lines: readonly string[]; }
    | { readonly kind: "outcome"; readonly outcome: Outcome; readonly repeated: boolean; }
    | { readonly kind: "notFound"; }
    /** The idempotency key was used before with different content. */
    | { readonly kind: "keyConflict"; readonly message: string; }
    /** Nothing was accepted or changed; the outcome's `retryAfterMs` says when to retry. */
    | { readonly kind: "refused"; readonly outcome: Outcome; }
    /** The request may or may not have been accepted; retry with the same id or key. */
    | { readonly kind: "uncertain"; readonly message: string; };

/** Requests everything that a placer knows about the work of a home slice, and fences off older homes. */
export interface CensusCall {
    readonly kind: "census";
    readonly homeSlice: number;
    readonly epoch: number;
    /** The placer refuses orders with a lower sequence from now on. */
    readonly floor: number;
}

/** Everything that the placer knows about the home slice's work. */
export interface CensusAnswer {
    readonly kind: "census";
    /** Worker slices that the answer covers: those that the sender owns and that are ready. */
    readonly slices: readonly SliceStatus[];
    /** Attempts that are queued, running, or ended and not acknowledged yet. */
    readonly tasks: readonly TaskUpdate[];
}

/** Reserves resources for tasks of a gang; the answer says how many of the orders are held. */
export interface ReserveCall {
    readonly kind: "reserve";
    readonly gangId: string;
    readonly home: HomeFence;
    readonly orders: readonly PlaceOrder[];
    /** Time after which the reservation expires unless it is committed, in milliseconds. */
    readonly holdMs: Millis;
}

/** How many tasks of the gang got capacity. */
export interface ReserveAnswer {
    readonly kind: "reserved";
    /** Number of orders that are held, counted from the first one. */
    readonly held: number;
    /** Estimated time until more capacity becomes free, in milliseconds. */
    readonly moreAfterMs?: Millis;
}

/** Requests the settings tree while the store is unavailable. */
export interface TreeCall {
    readonly kind: "tree";
}

/** The settings tree as the answering entry last read it. */
export interface TreeAnswer {
    readonly kind: "tree";
    readonly version: number;
    /** The stored text of the tree. */
    readonly text: string;
    readonly revision: number;
}

/** Requests the ownership table while the store is unavailable. */
export interface TableCall {
    readonly kind: "table";
}

/** The ownership table as the answering entry last read it. */
export interface TableAnswer {
    readonly kind: "table";
    readonly text: string;
    readonly revision: number;
}

/** Sends a settings version to another entry and requests the version that is in force there. */
export interface ForceCall {
    readonly kind: "force";
    readonly version: number;
    readonly text: string;
    readonly revision: number;
}

/** The version that is now in force at the answering entry. */
export interface ForceAnswer {
    readonly kind: "forced";
    readonly version: number;
}

/** Requests an explanation from a placer why the tasks of a job wait there, or run where they run. */
export interface ExplainCall {
    readonly kind: "explain";
    readonly jobId: string;
}

/** Explanation of a placer. */
export interface ExplainAnswer {
    readonly kind: "explained";
    /** A bounded number of lines of text; empty if the placer does not know the job. */
    readonly lines: readonly string[];
}

/** The call could not be handled and had no effect. */
export interface ErrorAnswer {
    readonly kind: "error";
    readonly code: PeerErrorCode;
    readonly message: string;
}

/** Why a call was not handled. */
export const PeerErrorCode = {
    notOwner: "notOwner",
    notReady: "notReady",
    overloaded: "overloaded",
    invalid: "invalid",
} as const;
export type PeerErrorCode = (typeof PeerErrorCode)[keyof typeof PeerErrorCode];
