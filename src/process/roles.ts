/**
 * Interfaces between the roles of an entry. Every entry runs all roles; each role owns its state, which the
 * others reach only through calls and messages.
 */
import type { Clock, Millis } from "../common/clock.js";
import type { Outcome } from "../common/outcome.js";
import type { Random } from "../common/random.js";
import type {
    AnswerBody,
    CallBody,
    DigestMessage,
    HomeReply,
    HomeRequest,
    NotificationBody,
    PlacerLoad,
    SliceStatus,
    UpdateNotification,
} from "../connection/messages.js";
import type { Caller, JobSpec, ServiceRequest } from "../request/work.js";
import type { SettingsVersion } from "../version/settings.js";
import type { StoreClient } from "./store-client.js";
import type { Log, Metrics } from "./telemetry.js";

/** Dependencies that every role receives. */
export interface RoleContext {
    /** Unique per incarnation of the entry process. */
    readonly memberId: string;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly store: StoreClient;
    readonly settings: SettingsSource;
    readonly peers: PeerHub;
    readonly ownership: OwnershipView;
}

/** Read access to the settings tree for the other roles. */
export interface SettingsSource {
    /** The version in force, or undefined until the first one has been read. */
    getCurrent(): SettingsVersion | undefined;
    /**
     * Whether this entry may act on its version: false once it can no longer rule out that another entry has
     * accepted a newer one.
     */
    isCurrent(): boolean;
    /** Calls back after each change of version. */
    subscribe(listener: (settings: SettingsVersion) => void): void;
}

/** Messages to other entries and to this one; those to the own member id are delivered immediately. */
export interface PeerHub {
    /** Calls a member; resolves with `notSent` or `lost` if no answer was received. */
    call(memberId: string, body: CallBody, timeoutMs: Millis): Promise<CallResult>;
    /** Sends a one-way notification; returns whether it was queued on a link. */
    notify(memberId: string, body: NotificationBody): boolean;
    /** The last digest received from a member; undefined if there was none. */
    getDigest(memberId: string): ReceivedDigest | undefined;
    /** Members whose link is up, including this one. */
    listReachable(): readonly string[];
}

/** A digest and when it was received. */
export interface ReceivedDigest {
    readonly digest: DigestMessage;
    readonly receivedAt: Millis;
    /**
     * An instant of this entry's clock that certainly precedes the creation of the digest: when the digest
     * that it echoes was sent. Rules that delayed messages must not mislead compute the age from here.
     */
    readonly createdAfter: Millis;
}

/** Result of a call to another entry. `lost`: no answer was received, and the call may have had an effect. */
export type CallResult =
    | { readonly kind: "answer"; readonly body: AnswerBody; }
    | { readonly kind: "notSent"; }
    | { readonly kind: "lost"; readonly message: string; };

/** Owner of a slice. */
export interface SliceOwner {
    readonly memberId: string;
    readonly epoch: number;
}

/** A member of the cell, as recorded in the ownership table. */
export interface Member {
    readonly memberId: string;
    readonly host: string;
    /** Port that accepts links from other entries. */
    readonly peerPort: number;
    /** Base URL for callers and operators, `http://host:port`. */
    readonly httpUrl: string;
    readonly failureDomain: string;
}

/** The ownership table, as this entry knows it. */
export interface OwnershipView {
    /** Revision of the table; 0 until the first one has been read. */
    getRevision(): number;
    listMembers(): readonly Member[];
    getWorkerSliceOwner(slice: number): SliceOwner | undefined;
    getHomeSliceOwner(slice: number): SliceOwner | undefined;
    /**
     * Whether this entry may send orders now: by the rules of docs/design/ownership.md, no other entry can
     * have taken over its authority. Check it immediately before each order.
     */
    mayAct(): boolean;
    /** End of the authority by the time rule alone; for workers that do not compare epochs. */
    getLeaseOnlyDeadline(): Millis;
    /** Calls back after each change of the table. */
    subscribe(listener: () => void): void;
}

/** The home role: keeps the jobs and keyed requests of the home slices that this entry owns. */
export interface HomeRole {
    /** Becomes owner of a slice: recovers it, fences the previous owner, takes a census, then resumes it. */
    openSlice(slice: number, epoch: number): void;
    /** Ends ownership: `handOver` flushes first; `lost` discards all state immediately. */
    closeSlice(slice: number, mode: "handOver" | "lost"): Promise<void>;
    handleRequest(slice: number, request: HomeRequest): Promise<HomeReply>;
    receiveUpdates(from: string, notification: UpdateNotification): void;
    /** Slices that are recovered and serve requests. */
    listReady(): readonly number[];
    /** Slices and counts for `status` and metrics. */
    getStatus(): HomeStatus;
}

/** Status of a home role. */
export interface HomeStatus {
    readonly slices: readonly { readonly slice: number; readonly epoch: number; readonly ready: boolean; }[];
    readonly jobs: number;
    readonly waitingTasks: number;
    readonly runningTasks: number;
}

/** The placer role: places work on the workers of the worker slices that this entry owns. */
export interface PlacerRole {
    openSlice(slice: number, epoch: number, predecessor: "none" | "released" | "lost"): void;
    closeSlice(slice: number, mode: "handOver" | "lost"): Promise<void>;
    handleCall(from: string, body: CallBody): Promise<AnswerBody>;
    receiveNotification(from: string, notification: NotificationBody): void;
    listSlices(): readonly SliceStatus[];
    getLoad(): PlacerLoad;
    listWorkers(): readonly WorkerStatus[];
    /** Explains why tasks of a job wait here, or where they run; empty if it knows none of them. */
    explain(jobId: string): readonly string[];
}

/** A worker as its placer sees it, for operators. */
export interface WorkerStatus {
    readonly workerId: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly slice: number;
    /** `attaching`, `new`, `open`, `handingOver`, `leaving`, `ejected`, `unreachable`. */
    readonly state: string;
    readonly freeSlots: number;
    readonly slots: number;
    readonly tasks: number;
    readonly use: PlacerLoad["free"];
    readonly capacity: PlacerLoad["free"];
}

/** What the callers' HTTP interface requires of the entry. */
export interface CallerGateway {
    /** The outcome with which all new work is currently refused, or undefined while work is accepted. */
    findRefusal(): Outcome | undefined;
    /** Runs a service request to its final outcome; never rejects. */
    runService(request: ServiceRequest): Promise<ServiceResult>;
    /** Makes the id of a job. Equal team and idempotency key give the same id at every entry. */
    makeJobId(caller: Caller, spec: JobSpec): string;
    /** Sends a request to the owner of a job's home slice, on whichever entry it is; never rejects. */
    callHome(jobId: string, request: HomeRequest, timeoutMs: Millis): Promise<HomeReply>;
}

/** Outcome of a service request and how it was reached. */
export interface ServiceResult {
    readonly outcome: Outcome;
    /** Attempts made on workers. */
    readonly attempts: number;
    /** Whether this is the stored outcome of an earlier request with the same idempotency key. */
    readonly repeated: boolean;
    /** Settings version under which the request was decided. */
    readonly treeVersion: number;
}
