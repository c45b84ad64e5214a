/**
 * How a request or task ended. The same words stand in the callers' interface, the logs and the metrics.
 */

/** The kinds of outcome, as constants. */
export const OutcomeKind = {
    /** It ran once and gave its whole answer. */
    done: "done",
    /** It ran and failed; the worker said so. */
    failed: "failed",
    /** It did not run, and that is proved: never sent, or refused by the worker. */
    notRun: "notRun",
    /** It was sent or about to be sent, and nobody can tell whether it ran. It is never started again. */
    mayHaveRun: "mayHaveRun",
    /** Its caller cancelled it. */
    cancelled: "cancelled",
} as const;

/** Why work that did not run was given up. */
export const NotRunReason = {
    overloaded: "overloaded",
    deadline: "deadline",
    neverFits: "neverFits",
    noWorker: "noWorker",
    storeUnavailable: "storeUnavailable",
    settingsUncertain: "settingsUncertain",
    branchOff: "branchOff",
    shuttingDown: "shuttingDown",
    refusedByWorker: "refusedByWorker",
    notOwner: "notOwner",
    linkDown: "linkDown",
    /** The idempotency key was used before with other content. */
    keyConflict: "keyConflict",
} as const;
export type NotRunReason = (typeof NotRunReason)[keyof typeof NotRunReason];

/** How a request or task ended. */
export type Outcome =
    | {
        readonly kind: "done";
        /** The whole answer of the worker, as bytes. */
        readonly answer: Uint8Array;
        /** Media type of the answer. */
        readonly contentType: string;
        /** Worker that ran it. */
        readonly workerId: string;
    }
    | {
        readonly kind: "failed";
        /** What the worker said. */
        readonly message: string;
        readonly workerId: string;
    }
    | {
        readonly kind: "notRun";
        readonly reason: NotRunReason;
        /** What the caller can do, in words. */
        readonly remedy: string;
        /** When asking again is worthwhile, in milliseconds from now; undefined where it never is. */
        readonly retryAfterMs?: number;
    }
    | {
        readonly kind: "mayHaveRun";
        /** Why nobody can tell. */
        readonly message: string;
    }
    | {
        readonly kind: "cancelled";
        /** Whether it had started before it was cancelled. */
        readonly started: boolean;
    };

/**
 * Builds the outcome of work that is proved not to have run.
 * @param reason - Why it was given up.
 * @param remedy - What the caller can do, in words.
 * @param retryAfterMs - When asking again is worthwhile, in milliseconds; leave out where it never is.
 */
export function buildNotRun(reason: NotRunReason, remedy: string, retryAfterMs?: number): Outcome {
    return { kind: "notRun", reason, remedy, retryAfterMs };
}
