/**
 * Messages between entries, as tagged unions. `src/connection/message-schema.ts` checks them on receipt.
 *
 * @remarks Three shapes: a `digest` is sent regularly and replaces the one before; a `call` expects one
 * `answer`; a `note` expects nothing. Whoever sends a note repeats it or asks later whether it arrived.
 */
import type { Millis } from "../common/clock.js";
import type { Outcome } from "../common/outcome.js";
import type { Resources } from "../common/resources.js";
import type { Caller, JobSpec, JobView } from "../request/work.js";
import type {
    AcknowledgeNote,
    ConfirmNote,
    HomeFence,
    PlaceNote,
    PlaceOrder,
    TaskUpdate,
    UpdateNote,
    WithdrawNote,
} from "./task-messages.js";

export * from "./task-messages.js";

/** Any message on a link between entries. */
export type PeerMessage = DigestMessage | CallMessage | AnswerMessage | NoteMessage;

/** State that every entry tells every other a few times a second; also the heartbeat. */
export interface DigestMessage {
    readonly kind: "digest";
    /** Rises with each digest of one member; lower ones are dropped. */
    readonly sequence: number;
    /** Settings version in force at the sender. */
    readonly treeVersion: number;
    /** Revision of the ownership table that the sender holds. */
    readonly tableRevision: number;
    /** Milliseconds since the sender's last successful call to the store; -1 if it never had one. */
    readonly storeContactAgeMs: Millis;
    /** Whether the sender is shutting down and takes nothing new. */
    readonly draining: boolean;
    /** Members that the sender has heard of before but not lately. */
    readonly suspects: readonly string[];
    /**
     * Highest digest sequence that the sender had received from each member. Tells the receiver that this digest
     * was made after its own of that sequence, however long it lay in a buffer on the way.
     */
    readonly echoes: Readonly<Record<string, number>>;
    /** Worker slices that the sender owns, with the epoch, and whether all their workers are known. */
    readonly slices: readonly SliceStatus[];
    readonly load: PlacerLoad;
}

/** A worker slice as its owner sees it. */
export interface SliceStatus {
    readonly slice: number;
    readonly epoch: number;
    /** True once each worker of the slice is attached, or its tasks have surely ended. */
    readonly ready: boolean;
}

/** What a placer can take, for routing only: stale by up to a digest interval. */
export interface PlacerLoad {
    readonly workers: number;
    /** Free service slots over all open workers. */
    readonly freeSlots: number;
    readonly totalSlots: number;
    readonly queuedRequests: number;
    readonly queuedTasks: number;
    readonly free: Resources;
    readonly total: Resources;
    /** Largest free amount on one open worker, dimension by dimension. */
    readonly largestFree: Resources;
    /** Largest capacity of one worker, dimension by dimension. */
    readonly largestWorker: Resources;
    /** Running use by team, for quotas: team to amount. */
    readonly teamUse: Readonly<Record<string, Resources>>;
}

/** A question to another entry. */
export interface CallMessage {
    readonly kind: "call";
    readonly callId: string;
    /** Milliseconds the asker waits, counted from sending. */
    readonly timeoutMs: Millis;
    readonly body: CallBody;
}

/** The one answer to a {@link CallMessage}. */
export interface AnswerMessage {
    readonly kind: "answer";
    readonly callId: string;
    readonly body: AnswerBody;
}

/** A message without an answer. */
export interface NoteMessage {
    readonly kind: "note";
    readonly body: NoteBody;
}

/** What an entry may ask of another. */
export type CallBody =
    | ServeCall
    | HomeCall
    | CensusCall
    | ReserveCall
    | TreeCall
    | TableCall
    | ForceCall
    | ExplainCall;
/** The answer to each call, or why there is none. */
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
/** What entries tell each other of tasks. */
export type NoteBody = PlaceNote | ConfirmNote | WithdrawNote | AcknowledgeNote | UpdateNote;

/** Runs a service request on a worker of the receiver. */
export interface ServeCall {
    readonly kind: "serve";
    readonly requestId: string;
    /** Distinguishes the tries of one request. */
    readonly attempt: string;
    readonly caller: Caller;
    readonly branch: string;
    readonly body: Uint8Array;
    readonly contentType: string;
    /** Milliseconds left until the caller's deadline when it was sent. */
    readonly deadlineMs: Millis;
    /** Workers that failed an earlier try. */
    readonly avoid: readonly string[];
    /** Set when the request is not repeatable: the home that wrote its start marker. */
    readonly home?: HomeFence;
}

/** What became of the request. */
export interface ServeAnswer {
    readonly kind: "served";
    readonly outcome: Outcome;
    /** Whether a try elsewhere is safe: it surely did not run, or it ended as a failure. */
    readonly retrySafe: boolean;
}

/** A request to the owner of a home slice. */
export interface HomeCall {
    readonly kind: "home";
    readonly homeSlice: number;
    readonly request: HomeRequest;
}

/** What callers ask of the owner of their work. */
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
        /** A service request that is not repeatable or carries an idempotency key. */
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

/** What the owner of the work answers. */
export interface HomeAnswer {
    readonly kind: "home";
    readonly reply: HomeReply;
}

/** What became of a caller's request. */
export type HomeReply =
    | { readonly kind: "job"; readonly job: JobView; readonly created: boolean; }
    | { readonly kind: "explanation"; readonly lines: readonly string[]; }
    | { readonly kind: "outcome"; readonly outcome: Outcome; readonly repeated: boolean; }
    | { readonly kind: "notFound"; }
    /** The idempotency key was used before with other content. */
    | { readonly kind: "keyConflict"; readonly message: string; }
    /** Nothing was accepted or changed; `retryAfterMs` says when to come back. */
    | { readonly kind: "refused"; readonly outcome: Outcome; }
    /** It may or may not have been accepted: ask again with the same id or key. */
    | { readonly kind: "uncertain"; readonly message: string; };

/** Asks a placer for everything it knows of the work of a home slice; fences older homes. */
export interface CensusCall {
    readonly kind: "census";
    readonly homeSlice: number;
    readonly epoch: number;
    /** Orders with a lower sequence are refused from now on. */
    readonly floor: number;
}

/** All that the placer knows of the home slice's work. */
export interface CensusAnswer {
    readonly kind: "census";
    /** Worker slices covered: owned by the sender and ready. */
    readonly slices: readonly SliceStatus[];
    /** Attempts queued, running or ended and not acknowledged. */
    readonly tasks: readonly TaskUpdate[];
}

/** Holds resources for tasks of a gang, all of those asked for or none. */
export interface ReserveCall {
    readonly kind: "reserve";
    readonly gangId: string;
    readonly home: HomeFence;
    readonly orders: readonly PlaceOrder[];
    /** How long the hold lasts without a commit. */
    readonly holdMs: Millis;
}

/** How much of the gang found room. */
export interface ReserveAnswer {
    readonly kind: "reserved";
    /** How many of the orders are held, counted from the first. */
    readonly held: number;
    /** When more may become free, by estimate, in milliseconds from now. */
    readonly moreAfterMs?: Millis;
}

/** Asks for the settings tree when the store is out of reach. */
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

/** Asks for the ownership table when the store is out of reach. */
export interface TableCall {
    readonly kind: "table";
}

/** The ownership table as the answering entry last read it. */
export interface TableAnswer {
    readonly kind: "table";
    readonly text: string;
    readonly revision: number;
}

/** Tells a settings version to another entry and asks when it is in force there. */
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

/** Asks a placer why the tasks of a job wait there or run where they run. */
export interface ExplainCall {
    readonly kind: "explain";
    readonly jobId: string;
}

/** What the placer knows of the tasks. */
export interface ExplainAnswer {
    readonly kind: "explained";
    /** In words, a bounded number; empty when the placer knows nothing of the job. */
    readonly lines: readonly string[];
}

/** The call could not be handled; it had no effect. */
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
