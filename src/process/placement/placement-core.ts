/**
 * The decisions of one placer: which worker takes which request or task, and when.
 *
 * @remarks Pure of I/O and deterministic: time and random source are passed in, and equal calls give equal
 * decisions. The placer owns the only instance for its workers, so capacity needs no lock. A `start` decision
 * has already taken the resources; whoever cannot carry it out calls `release`.
 */
import type { Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { PlacerLoad } from "../../connection/messages.js";
import type { WorkKind } from "../../request/work.js";
import type { SettingsVersion } from "../../version/settings.js";

/** A worker as the core needs to know it. */
export interface WorkerView {
    readonly workerId: string;
    readonly rack: string;
    readonly failureDomain: string;
    readonly capacity: Resources;
    readonly slots: number;
    readonly maxConnections: number;
    /** Used by work of others, such as the operators' old scripts. */
    readonly foreignUse: Resources;
}

/** A request or task that wants a worker. */
export interface WorkItem {
    /** Attempt id; unique. */
    readonly id: string;
    readonly kind: WorkKind;
    readonly branch: string;
    readonly team: string;
    readonly callerId: string;
    readonly urgent: boolean;
    readonly repeatable: boolean;
    /** What a task needs; service requests need one slot and no resources. */
    readonly resources: Resources;
    /** Declared run time, in milliseconds. */
    readonly estimateMs: Millis;
    /** Instant at which its waiting began; may lie before it reached this placer. */
    readonly queuedAt: Millis;
    /** Instant after which it is worthless; undefined for tasks. */
    readonly deadline?: Millis;
    /** Workers not to be chosen if any other can. */
    readonly avoid: readonly string[];
    /** Set for tasks of a gang: they start by {@link PlacementCore.reserve} and `commitHold` only. */
    readonly gangId?: string;
}

/** Answer to {@link PlacementCore.enqueue}. */
export type EnqueueResult =
    | { readonly kind: "queued"; }
    /** Not taken now. */
    | { readonly kind: "shed"; readonly reason: ShedReason; readonly retryAfterMs: Millis; }
    /** No worker of this placer could hold it even when empty. */
    | { readonly kind: "neverFits"; readonly largest: Resources; };

export const ShedReason = {
    queueFull: "queueFull",
    deadline: "deadline",
    branchUnknown: "branchUnknown",
    branchOff: "branchOff",
} as const;
export type ShedReason = (typeof ShedReason)[keyof typeof ShedReason];

/** How running work is made to give way, cheapest loss first. */
export const PreemptionStep = {
    checkpoint: "checkpoint",
    throttle: "throttle",
    stop: "stop",
} as const;
export type PreemptionStep = (typeof PreemptionStep)[keyof typeof PreemptionStep];

/** One decision, in the order in which it is to be carried out. */
export type Decision =
    | {
        readonly kind: "start";
        readonly item: WorkItem;
        readonly workerId: string;
        /** In words, for the log and `explain`. */
        readonly reason: string;
        readonly runnersUp: readonly string[];
    }
    | {
        readonly kind: "preempt";
        readonly victimId: string;
        readonly workerId: string;
        readonly step: PreemptionStep;
        /** The urgent item that it makes room for. */
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
        /** The branch is in shadow: log what would have been done; the item is dropped from the queue. */
        readonly kind: "shadow";
        readonly item: WorkItem;
        readonly workerId: string | undefined;
        readonly reason: string;
    };

/** How a running item ended, for learning. */
export interface RunSample {
    readonly ranMs: Millis;
    readonly failed: boolean;
    /** Measured use, if the worker reported any. */
    readonly usage?: Resources;
}

/** What is held for a gang. */
export interface HoldResult {
    /** How many of the items are held, counted from the first; 0 or more. */
    readonly held: number;
    /** Estimate of when more could be held, in milliseconds from now. */
    readonly moreAfterMs?: Millis;
}

/** The decisions of one placer. */
export interface PlacementCore {
    /** Takes over a new version of the settings; queued items of branches that went off are shed. */
    setSettings(settings: SettingsVersion): void;
    /** Sets how much of each team's quota this placer may use; teams left out have none lent, no entry at all means no limit. */
    setTeamShares(shares: ReadonlyMap<string, Resources>): void;
    /** Adds a worker (closed at first) or updates its capacity and foreign use. */
    upsertWorker(worker: WorkerView): void;
    /** Forgets a worker and everything on it; returns the ids that were on it. */
    removeWorker(workerId: string): readonly string[];
    /** Opens or closes a worker for new work; what runs there goes on. */
    setWorkerOpen(workerId: string, open: boolean): void;
    enqueue(item: WorkItem, now: Millis): EnqueueResult;
    /** Takes an item from the queue; returns whether it was there. */
    withdraw(itemId: string): boolean;
    /** Books an item that already runs on a worker, even past its capacity (then nothing new fits). */
    adopt(workerId: string, item: WorkItem, now: Millis): void;
    /** Gives back what a started, adopted or held item took; returns whether it was known. */
    release(itemId: string, now: Millis, sample?: RunSample): boolean;
    /** Decides all that can be decided now. */
    decide(now: Millis, random: Random): readonly Decision[];
    /** Instant at which `decide` should run again even if nothing else happens; undefined for never. */
    getNextDecisionAt(now: Millis): Millis | undefined;
    /** Holds room for as many of a gang's items as fit now, until `expiresAt`. */
    reserve(gangId: string, items: readonly WorkItem[], expiresAt: Millis, now: Millis): HoldResult;
    /** Turns a hold into start decisions for its items; empty if the hold is gone. */
    commitHold(gangId: string, now: Millis): readonly Decision[];
    /** Drops a hold. */
    releaseHold(gangId: string): void;
    getLoad(): PlacerLoad;
    /** Worker that an item runs on, or undefined. */
    findWorkerOf(itemId: string): string | undefined;
    /** Says in words why an item waits here or why it is where it is; empty if unknown. */
    explain(itemId: string, now: Millis): readonly string[];
}
