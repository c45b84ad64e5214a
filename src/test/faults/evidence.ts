/**
 * Evidence that a fault run records for the checker: what ran, and which replies callers and operators got
 * when.
 */
import type { Millis } from "../../common/clock.js";
import type { Outcome } from "../../common/outcome.js";
import type { HomeReply } from "../../connection/messages.js";
import type { JobSpec, JobView } from "../../request/work.js";
import type { JournalCapacity, JournalRun } from "../../stand-ins/index.js";

/** One service request as its caller sent it. */
export interface SentRequest {
    readonly requestId: string;
    /** Equal for all requests for the same work: the idempotency key, or the request id if there is no key. */
    readonly workId: string;
    readonly repeatable: boolean;
    readonly memberId: string;
    readonly sentAt: Millis;
    readonly deadline: Millis;
    /** Content of a correct answer. */
    readonly expected: string;
    outcome?: Outcome;
    answeredAt?: Millis;
}

/** One job and the replies that its caller got. */
export interface SubmittedJob {
    readonly spec: JobSpec;
    /** Content of a correct answer of each task. */
    readonly expected: string;
    /** Set at the first submission attempt. */
    jobId?: string;
    /** Replies to the submission attempts; undefined where none arrived. */
    readonly submits: (HomeReply | undefined)[];
    acceptedAt?: Millis;
    cancelledAt?: Millis;
    /** The most recent view that an entry returned. */
    view?: JobView;
}

/** An edit whose acceptance was reported to the operator. */
export interface AcceptedEdit {
    readonly version: number;
    readonly acceptedAt: Millis;
}

/** Settings version of a member at an instant, and whether the member accepts new work under it. */
export interface SettingsSample {
    readonly memberId: string;
    readonly at: Millis;
    readonly version: number;
    readonly acceptsWork: boolean;
}

/** First signal, visible to the system, that a worker leaves. */
export interface LeavingSignal {
    readonly workerId: string;
    readonly at: Millis;
    /** End of the signal, if the worker returned to service. */
    until?: Millis;
}

/** A member that was asked to shut down gracefully. */
export interface ShutdownRecord {
    readonly memberId: string;
    readonly at: Millis;
    /** Whether no other fault occurred; then every request in flight there must get its true outcome. */
    readonly undisturbed: boolean;
}

/** A period in which a member was dead or paused, so that callers connected to it get no answer. */
export interface MemberOutage {
    readonly memberId: string;
    readonly at: Millis;
    readonly until?: Millis;
}

/** All evidence of a run. */
export interface Evidence {
    readonly runs: readonly JournalRun[];
    readonly capacities: readonly JournalCapacity[];
    readonly requests: readonly SentRequest[];
    readonly jobs: readonly SubmittedJob[];
    readonly edits: readonly AcceptedEdit[];
    readonly samples: readonly SettingsSample[];
    readonly leaving: readonly LeavingSignal[];
    readonly shutdowns: readonly ShutdownRecord[];
    readonly outages: readonly MemberOutage[];
    /** End of the run, long after the last fault. */
    readonly endedAt: Millis;
}
