/**
 * Interface of the placement core, which decides which worker takes which request or task, and when.
 *
 * @remarks It does no I/O and is deterministic: time and random source are passed in, and equal calls give
 * equal decisions. A placer has the only instance for its workers, so capacity needs no lock. A `start`
 * decision has already allocated the resources; a placer that cannot carry it out calls `release`.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { PlacerLoad } from "../../connection/messages.js";
import type { WorkKind } from "../../request/work.js";
import type { SettingsVersion } from "../../version/settings.js";

/** A worker, as described to the core. */
export interface WorkerView {
    readonly workerId: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly capacity: Resources;
    readonly slots: number;
    readonly maxConnections: number;
    /** Used by processes outside this scheduler, such as the operators' old scripts. */
    readonly foreignUse: Resources;
}

/** A request or task to be placed on a worker. */
export interface WorkItem {
    /** Attempt id; unique. */
    readonly id: string;
    readonly kind: WorkKind;
    readonly branch: string;
    readonly team: string;
    readonly callerId: string;
    readonly urgent: boolean;
    readonly repeatable: boolean;
    /** Resource demand of a task; a service request takes one slot and no resources. */
    readonly resources: Resources;
    /** Declared run time, in milliseconds. */
    readonly estimateMs: Millis;
    /** Instant at which the item began to wait; may be before it reached this placer. */
    readonly queuedAt: Millis;
    /** Instant after which the answer is useless; undefined for tasks. */
    readonly deadline?: Millis;
    /** Ids of workers to choose only if no other can take the item. */
    readonly avoid: readonly string[];
    /** Set for tasks of a gang, which start only through {@link PlacementCore.reserve} and `commitHold`. */
    readonly gangId?: string;
}

/** Result of {@link PlacementCore.enqueue}. */
export type EnqueueResult =
    | { readonly kind: "queued"; }
    /** Refused for now. */
    | { readonly kind: "shed"; readonly reason: ShedReason; readonly retryAfterMs: Millis; }
    /** The demand exceeds the capacity of every worker of this placer. */
    | { readonly kind: "neverFits"; readonly largest: Resources; };

export const ShedReason = {
    queueFull: "queueFull",
    deadline: "deadline",
    branchUnknown: "branchUnknown",
    branchOff: "branchOff",
} as const;
export type ShedReason = (typeof ShedReason)[keyof typeof ShedReason];

/** Steps by which a running task is preempted, the mildest first. */
export const PreemptionStep = {
    checkpoint: "checkpoint",
    throttle: "throttle",
    stop: "stop",
} as const;
export type PreemptionStep = (typeof PreemptionStep)[keyof typeof PreemptionStep];

/** A decision; decisions are to be carried out in the order in which they are returned. */
export type Decision =
    | {
        readonly kind: "start";
        readonly item: WorkItem;
        readonly workerId: string;
        /** Text for the log and `explain`. */
        readonly reason: string;
        readonly runnersUp: readonly string[];
    }
    | {
        readonly kind: "preempt";
        readonly victimId: string;
        readonly workerId: string;
        readonly step: PreemptionStep;
        /** The item or gang for which resources are freed. */
        readonly forItemId: string;
        readonly reason: string;
    }
    | {
        readonly kind: "shed";
        readonly item: WorkItem;
        readonly reason: ShedReason;
        readonly retryAfterMs: Millis;
    }
    | {
        /** The branch is in shadow mode: the decision is only logged, and the item has left the queue. */
        readonly kind: "shadow";
        readonly item: WorkItem;
        readonly workerId: string | undefined;
        readonly reason: string;
    };

/** Outcome of a run, from which run times are estimated. */
export interface RunSample {
    readonly ranMs: Millis;
    readonly failed: boolean;
    /** Measured usage, if the worker reported it. */
    readonly usage?: Resources;
}

/** Result of {@link PlacementCore.reserve}. */
export interface HoldResult {
    /** Number of items held, counted from the first; may be 0. */
    readonly held: number;
    /** Estimated time in milliseconds until more members can be held. */
    readonly moreAfterMs?: Millis;
}

/** The placement decisions of one placer. */
export interface PlacementCore {
    /** Applies new settings; queued items of branches that were removed or turned off are shed. */
    setSettings(settings: SettingsVersion): void;
    /**
     * Sets how much of each team's quota this placer may use. A team with a quota that is left out may use
     * nothing; an empty map means no limits.
     */
    setTeamShares(shares: ReadonlyMap<string, Resources>): void;
    /** Adds a worker, closed for new work, or updates its capacity and foreign use. */
    upsertWorker(worker: WorkerView): void;
    /** Removes a worker and everything on it; returns the ids of those items. */
    removeWorker(workerId: string): readonly string[];
    /** Opens or closes a worker for new work; running work continues. */
    setWorkerOpen(workerId: string, open: boolean): void;
    enqueue(item: WorkItem, now: Millis): EnqueueResult;
    /** Removes an item from the queue; returns whether it was queued. */
    withdraw(itemId: string): boolean;
    /** Allocates an item that already runs on a worker, even beyond its capacity (then nothing new fits). */
    adopt(workerId: string, item: WorkItem, now: Millis): void;
    /** Releases what a started, adopted or held item occupies; returns whether it was known. */
    release(itemId: string, now: Millis, sample?: RunSample): boolean;
    /** Makes the decisions that are possible now, up to a limit per call. */
    decide(now: Millis, random: Random): readonly Decision[];
    /**
     * @returns Instant at which `decide` should run again even if nothing else happens; undefined for never.
     */
    getNextDecisionAt(now: Millis): Millis | undefined;
    /** Holds resources for as many of a gang's items as fit now, until `expiresAt`. */
    reserve(gangId: string, items: readonly WorkItem[], expiresAt: Millis, now: Millis): HoldResult;
    /** Turns a hold into start decisions for its items; empty if the hold has expired or was released. */
    commitHold(gangId: string, now: Millis): readonly Decision[];
    /** Releases a gang's hold and reservations. */
    releaseHold(gangId: string): void;
    getLoad(): PlacerLoad;
    /** @returns Id of the worker on which an item runs or is held, or undefined. */
    findWorkerOf(itemId: string): string | undefined;
    /** @returns Reasons why an item waits or why it was placed where it is, as text; empty if unknown. */
    explain(itemId: string, now: Millis): readonly string[];
}
