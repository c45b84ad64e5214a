/** Entries of a home slice's log: everything that must survive the owner, and nothing else. */
import type { Millis } from "../../../common/clock.js";
import type { Outcome } from "../../../common/outcome.js";
import type { Caller, JobSpec } from "../../../request/work.js";

/** An outcome as stored, with the answer in base64. */
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

/** First and last index of a range of tasks, both inclusive. */
export type IndexRange = readonly [first: number, last: number];

/** One entry of the log. */
export type HomeEntry =
    /** A new owner took over; from here on the previous owner is fenced. */
    | { readonly kind: "opened"; readonly memberId: string; readonly epoch: number; }
    | {
        readonly kind: "jobAccepted";
        readonly jobId: string;
        readonly caller: Caller;
        readonly spec: JobSpec;
        readonly wallMs: number;
    }
    /** Start markers: from here on these tasks may be running. Written for tasks that are not repeatable. */
    | {
        readonly kind: "tasksStarting";
        readonly jobId: string;
        readonly ranges: readonly IndexRange[];
        /** The attempt that the marker is for; omitted if it is for several, as for a gang. */
        readonly attempt?: string;
    }
    | { readonly kind: "tasksEnded"; readonly jobId: string; readonly ends: readonly TaskEnd[]; }
    /** An attempt certainly ended without ending the task, which waits again. */
    | {
        readonly kind: "taskRequeued";
        readonly jobId: string;
        readonly index: number;
        readonly failures: number;
        readonly checkpoint?: string;
    }
    /**
     * The caller cancelled the job. `never`: tasks without an attempt that certainly never started; `maybe`:
     * tasks without a current attempt for which that cannot be proved. The others end when their attempts
     * end.
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
        /** Time from this log entry after which no attempt can still be in flight. */
        readonly settleMs: Millis;
        readonly branch: string;
    }
    | { readonly kind: "requestEnded"; readonly requestKey: string; readonly outcome: StoredOutcome; }
    /** The request certainly did not run: its key is free again. */
    | { readonly kind: "requestDropped"; readonly requestKey: string; }
    /** Ended work whose retention is over is removed. */
    | {
        readonly kind: "expired";
        readonly jobIds: readonly string[];
        readonly requestKeys: readonly string[];
    };

/**
 * Converts an outcome to the form that the log stores.
 */
export function encodeOutcome(outcome: Outcome): StoredOutcome {
    if (outcome.kind !== "done") {
        return outcome;
    }
    return { ...outcome, answer: Buffer.from(outcome.answer).toString("base64") };
}

/**
 * Converts a stored outcome back.
 */
export function decodeOutcome(stored: StoredOutcome): Outcome {
    if (stored.kind !== "done") {
        return stored;
    }
    return { ...stored, answer: new Uint8Array(Buffer.from(stored.answer, "base64")) };
}

/**
 * Packs task indexes into ranges.
 * @param indexes - Indexes in ascending order.
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
