/**
 * The effective settings: one immutable value for each version of the tree, with all defaults and inherited
 * values filled in. `buildSettingsVersion` builds it from the tree.
 */
import type { Millis } from "../common/clock.js";
import type { Resources } from "../common/resources.js";
import type { WorkKind } from "../request/work.js";

/** To what extent a branch's work is handled by this system. */
export const Adoption = {
    /** Requests for the branch are refused with "not run". */
    off: "off",
    /** Decisions are made and logged, but nothing is started; the old scripts still run the work. */
    shadow: "shadow",
    /** Decisions are carried out. */
    on: "on",
} as const;
export type Adoption = (typeof Adoption)[keyof typeof Adoption];

/** Placement unit across which the tasks of a job are spread. */
export const Spread = {
    none: "none",
    rack: "rack",
    failureDomain: "failureDomain",
} as const;
export type Spread = (typeof Spread)[keyof typeof Spread];

/** Complete settings of one branch. */
export interface BranchSettings {
    /** Path of the branch, such as `batch/season-rebuild`. */
    readonly path: string;
    readonly kind: WorkKind;
    readonly adoption: Adoption;
    /** Name of the policy in the policy table. */
    readonly policy: string;
    /** Weight of the branch relative to others, for policies that use weights. */
    readonly weight: number;
    /** Maximum number of requests or tasks waiting at one placer; further ones are shed. */
    readonly queueLimit: number;
    /** Maximum wait before a request is shed, in milliseconds; jobs wait without limit. */
    readonly maxWaitMs: Millis;
    /** Maximum concurrent service requests on one worker; the worker's own slots also limit them. */
    readonly slotsPerWorker: number;
    /** Maximum number of connections that the system keeps to one worker. */
    readonly connectionsPerWorker: number;
    /** Timeout of one attempt of a service request. */
    readonly attemptTimeoutMs: Millis;
    /** Maximum attempts of a repeatable request or task, including the first. */
    readonly maxAttempts: number;
    /** Maximum retries as a share of new requests, from 0 to 1. */
    readonly retryShare: number;
    readonly spread: Spread;
    /** Rank gained per minute of waiting, which prevents starvation; the unit depends on the policy. */
    readonly agingPerMinute: number;
    /** Whether running tasks may be preempted by urgent ones. */
    readonly preemptible: boolean;
    /** Resources of a task if the caller specifies none. */
    readonly defaultResources: Resources;
    /** Estimated run time if the caller specifies none. */
    readonly defaultEstimateMs: Millis;
    /** Maximum run time, after which a task is stopped as failed; 0 for no limit. */
    readonly maxRunMs: Millis;
    /** Retention time of ended work and idempotency keys. */
    readonly retentionMs: Millis;
}

/** Quota and weight of a team. */
export interface TeamSettings {
    readonly team: string;
    readonly weight: number;
    /** Maximum resources in use by the team's tasks in the whole cell; undefined for no limit. */
    readonly quota?: Resources;
    /** SHA-256 hashes of the team's tokens, in hexadecimal. */
    readonly tokenHashes: readonly string[];
}

/** Settings of the whole cell. */
export interface CellSettings {
    /** Time for which a worker keeps running tasks without a lease renewal. */
    readonly workerLeaseMs: Millis;
    /** Time to live of an entry's lease in the store. */
    readonly memberTtlMs: Millis;
    /** Interval between digests to peers. */
    readonly digestMs: Millis;
    /** Age at which information from a peer or the store becomes stale. */
    readonly freshMs: Millis;
    /** Maximum time that an entry acts without the store, provided a majority of entries agrees it is down. */
    readonly outageToleranceMs: Millis;
    /** Maximum relative drift between two clocks, such as 0.01. */
    readonly clockDrift: number;
    /** Maximum store writes per second of all entries together. */
    readonly storeWritesPerSecond: number;
    /** Maximum store reads, long-polling watches included, per second of all entries together. */
    readonly storeReadsPerSecond: number;
    /** Maximum share of workers that may be ejected at the same time. */
    readonly ejectionCap: number;
    /** Consecutive failures, above the fleet's own rate, after which a worker is ejected. */
    readonly ejectionFailures: number;
    readonly ejectionMs: Millis;
    /** Maximum restarts of lost tasks per second at one placer. */
    readonly recoveryStartsPerSecond: number;
    /** Maximum preemptions per minute at one placer. */
    readonly preemptionsPerMinute: number;
}

/** The complete, valid settings of one version of the tree. */
export interface SettingsVersion {
    readonly version: number;
    readonly cell: CellSettings;
    readonly teams: ReadonlyMap<string, TeamSettings>;
    /** Branches that accept work, by path. */
    readonly branches: ReadonlyMap<string, BranchSettings>;
}

/** Number of home slices. Fixed for the lifetime of a cell, since job keys hash to slices. */
export const HOME_SLICES = 16;

/** Number of worker slices, fixed for the lifetime of a cell. All workers of a rack are in the same slice. */
export const WORKER_SLICES = 64;

/** Defaults of the cell. */
export const DEFAULT_CELL: CellSettings = {
    workerLeaseMs: 20_000,
    memberTtlMs: 15_000,
    digestMs: 250,
    freshMs: 3_000,
    outageToleranceMs: 900_000,
    clockDrift: 0.01,
    storeWritesPerSecond: 200,
    storeReadsPerSecond: 400,
    ejectionCap: 0.2,
    ejectionFailures: 5,
    ejectionMs: 30_000,
    recoveryStartsPerSecond: 50,
    preemptionsPerMinute: 600,
};

/** Defaults of a branch, without its path, kind and policy. */
export const DEFAULT_BRANCH: Omit<BranchSettings, "path" | "kind" | "policy"> = {
    adoption: Adoption.on,
    weight: 1,
    queueLimit: 1_000,
    maxWaitMs: 5_000,
    slotsPerWorker: 8,
    connectionsPerWorker: 60,
    attemptTimeoutMs: 10_000,
    maxAttempts: 3,
    retryShare: 0.1,
    spread: Spread.none,
    agingPerMinute: 1,
    preemptible: true,
    defaultResources: { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
    defaultEstimateMs: 60_000,
    maxRunMs: 0,
    retentionMs: 86_400_000,
};
