/** What a fault run leaves behind for the checker: what ran, what callers and operators were told, and when. */
import type { Millis } from "../../common/clock.js";
import type { Outcome } from "../../common/outcome.js";
import type { HomeReply } from "../../connection/messages.js";
import type { JobSpec, JobView } from "../../request/work.js";
import type { JournalCapacity, JournalRun } from "../../stand-ins/index.js";

/** One service request as its caller sent it. */
export interface AskedRequest {
    readonly requestId: string;
    /** Equal for all asks that are the same work: the idempotency key, or the request id without one. */
    readonly workId: string;
    readonly repeatable: boolean;
    readonly memberId: string;
    readonly sentAt: Millis;
    readonly deadline: Millis;
    /** What a right answer says. */
    readonly expected: string;
    outcome?: Outcome;
    answeredAt?: Millis;
}

/** One job and all that its caller was told of it. */
export interface AskedJob {
    readonly spec: JobSpec;
    /** What a right answer of each task says. */
    readonly expected: string;
    /** Known once an entry was asked. */
    jobId?: string;
    /** Answers to the asks to accept it; undefined for one that never came. */
    readonly submits: (HomeReply | undefined)[];
    acceptedAt?: Millis;
    cancelledAt?: Millis;
    /** The last view that was shown. */
    view?: JobView;
}

/** An edit that an operator was told is accepted. */
export interface AcceptedEdit {
    readonly version: number;
    readonly acceptedAt: Millis;
}

/** Settings version of a member at an instant, and whether it takes new work under it. */
export interface SettingsSample {
    readonly memberId: string;
    readonly at: Millis;
    readonly version: number;
    readonly acts: boolean;
}

/** First sign, visible to the system, that a worker leaves. */
export interface LeavingSignal {
    readonly workerId: string;
    readonly at: Millis;
    /** End of the signal, if the worker came back. */
    until?: Millis;
}

/** A member that was asked to leave in order. */
export interface ShutdownRecord {
    readonly memberId: string;
    readonly at: Millis;
    /** Whether no other fault struck: then every request in flight there must be answered by what became of it. */
    readonly undisturbed: boolean;
}

/** A member that died or was paused: callers connected to it get no answer. */
export interface MemberOutage {
    readonly memberId: string;
    readonly at: Millis;
    readonly until?: Millis;
}

/** Everything that a run leaves behind. */
export interface Evidence {
    readonly runs: readonly JournalRun[];
    readonly capacities: readonly JournalCapacity[];
    readonly requests: readonly AskedRequest[];
    readonly jobs: readonly AskedJob[];
    readonly edits: readonly AcceptedEdit[];
    readonly samples: readonly SettingsSample[];
    readonly leaving: readonly LeavingSignal[];
    readonly shutdowns: readonly ShutdownRecord[];
    readonly outages: readonly MemberOutage[];
    /** Instant at which the run ended, long after the last fault. */
    readonly endedAt: Millis;
}
