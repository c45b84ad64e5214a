/** Entries of a home slice's log: everything that must outlast the owner, and nothing else. */
import type { Millis } from "../../../common/clock.js";
import type { Outcome } from "../../../common/outcome.js";
import type { Caller, JobSpec } from "../../../request/work.js";

/** An outcome as it is written: the answer's bytes as base64. */
export type StoredOutcome =
    | Exclude<Outcome, { readonly kind: "done"; }>
    | {
        readonly kind: "done";
        readonly answer: string;
        readonly contentType: string;
        readonly workerId: string;
    };

/** How one task of a job ended. */
export interface TaskEnd {
    readonly index: number;
    readonly outcome: StoredOutcome;
    readonly workerId?: string;
    readonly attempts: number;
}

/** First and last index of a run of tasks, both included. */
export type IndexRange = readonly [first: number, last: number];

/** One entry of the log. */
export type HomeEntry =
    /** A new owner took over; from here on the owner before is fenced. */
    | { readonly kind: "opened"; readonly memberId: string; readonly epoch: number; }
    | {
        readonly kind: "jobAccepted";
        readonly jobId: string;
        readonly caller: Caller;
        readonly spec: JobSpec;
        readonly wallMs: number;
    }
    /** Start markers: these tasks may be running from here on. Written for tasks that are not repeatable. */
    | {
        readonly kind: "tasksStarting";
        readonly jobId: string;
        readonly ranges: readonly IndexRange[];
        /** The one attempt that it is for; left out where it is for several, as of a gang. */
        readonly attempt?: string;
    }
    | { readonly kind: "tasksEnded"; readonly jobId: string; readonly ends: readonly TaskEnd[]; }
    /** An attempt surely ended without an end of the task, which goes back to waiting. */
    | {
        readonly kind: "taskRequeued";
        readonly jobId: string;
        readonly index: number;
        readonly failures: number;
        readonly checkpoint?: string;
    }
    /**
     * The caller cancelled. `never`: tasks without an attempt that surely never started; `maybe`: tasks without
     * an attempt now, of which that cannot be proved. The others end when their attempts do.
     */
    | {
        readonly kind: "jobCancelled";
        readonly jobId: string;
        readonly never: readonly IndexRange[];
        readonly maybe: readonly IndexRange[];
    }
    /** Start marker of a service request. */
    | {
        readonly kind: "requestStarting";
        readonly requestKey: string;
        readonly fingerprint: string;
        readonly repeatable: boolean;
        /** Time after which no try of it can still be under way, counted from this entry. */
        readonly settleMs: Millis;
        readonly branch: string;
    }
    | { readonly kind: "requestEnded"; readonly requestKey: string; readonly outcome: StoredOutcome; }
    /** The request surely did not run: its key is free again. */
    | { readonly kind: "requestDropped"; readonly requestKey: string; }
    /** Ended work past its retention is forgotten. */
    | {
        readonly kind: "expired";
        readonly jobIds: readonly string[];
        readonly requestKeys: readonly string[];
    };

/**
 * Converts an outcome for the log.
 * @param outcome - The outcome as the rest of the system knows it.
 */
export function encodeOutcome(outcome: Outcome): StoredOutcome {
    if (outcome.kind !== "done") {
        return outcome;
    }
    return { ...outcome, answer: Buffer.from(outcome.answer).toString("base64") };
}

/**
 * Converts an outcome back.
 * @param stored - The outcome as written.
 */
export function decodeOutcome(stored: StoredOutcome): Outcome {
    if (stored.kind !== "done") {
        return stored;
    }
    return { ...stored, answer: new Uint8Array(Buffer.from(stored.answer, "base64")) };
}

/**
 * Packs task indexes into ranges.
 * @param indexes - Indexes in rising order.
 */
export function packRanges(indexes: Iterable<number>): IndexRange[] {
    const ranges: [number, number][] = [];
    for (const index of indexes) {
        const last = ranges.at(-1);
        if (last !== undefined && last[1] === index - 1) {
            last[1] = index;
        }
        else {
            ranges.push([index, index]);
        }
    }
    return ranges;
}
