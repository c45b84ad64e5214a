/** Outcomes of requests and tasks. The callers' interface, the logs and the metrics use the same terms. */

/** Kinds of outcome. */
export const OutcomeKind = {
    /** It ran once and returned its complete answer. */
    done: "done",
    /** It ran and failed, as reported by the worker. */
    failed: "failed",
    /** It provably did not run: it was never sent, or the worker refused it. */
    notRun: "notRun",
    /** It was sent or about to be sent, and whether it ran is unknown. It is never started again. */
    mayHaveRun: "mayHaveRun",
    /** It was cancelled by its caller. */
    cancelled: "cancelled",
} as const;

/** Reasons for which work did not run. */
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
        /** The complete answer of the worker. */
        readonly answer: Uint8Array;
        /** Media type of the answer. */
        readonly contentType: string;
        /** Worker that ran it. */
        readonly workerId: string;
    }
    | {
        readonly kind: "failed";
        /** Error message of the worker. */
        readonly message: string;
        readonly workerId: string;
    }
    | {
        readonly kind: "notRun";
        readonly reason: NotRunReason;
        /** What the caller can do, as text. */
        readonly remedy: string;
        /** Time in milliseconds after which a retry is worthwhile; undefined if it never is. */
        readonly retryAfterMs?: number;
    }
    | {
        readonly kind: "mayHaveRun";
        /** Why it is unknown whether the work ran. */
        readonly message: string;
    }
    | {
        readonly kind: "cancelled";
        /** Whether the work had started before it was cancelled. */
        readonly started: boolean;
    };

/**
 * Builds the outcome of work that provably did not run.
 * @param remedy - What the caller can do, as text.
 * @param retryAfterMs - Time in milliseconds after which a retry is worthwhile; omit it if it never is.
 */
export function buildNotRun(reason: NotRunReason, remedy: string, retryAfterMs?: number): Outcome {
    return { kind: "notRun", reason, remedy, retryAfterMs };
}
