/**
 * The settings in force, as the rest of the system reads them: one immutable value for each version of the
 * tree, with every default and inherited value filled in. `src/version/index.ts` builds it from the tree.
 */
import type { Millis } from "../common/clock.js";
import type { Resources } from "../common/resources.js";
import type { WorkKind } from "../request/work.js";

/** How far a branch follows the tree. */
export const Adoption = {
    /** Not taken: requests for it are refused with "not run". */
    off: "off",
    /** Decisions are made and logged, nothing is started; the old scripts go on. */
    shadow: "shadow",
    /** Decisions are carried out. */
    on: "on",
} as const;
export type Adoption = (typeof Adoption)[keyof typeof Adoption];

/** What a spread keeps apart. */
export const Spread = {
    none: "none",
    rack: "rack",
    failureDomain: "failureDomain",
} as const;
export type Spread = (typeof Spread)[keyof typeof Spread];

/** Settings of one branch, complete. */
export interface BranchSettings {
    /** Path of the branch, such as `batch/season-rebuild`. */
    readonly path: string;
    readonly kind: WorkKind;
    readonly adoption: Adoption;
    /** Name of the policy in the policy table. */
    readonly policy: string;
    /** Share of the branch against others, for policies that weigh. */
    readonly weight: number;
    /** Requests or tasks that may wait at one placer; more are shed. */
    readonly queueLimit: number;
    /** Longest wait before a request is shed, in milliseconds; jobs wait without limit. */
    readonly maxWaitMs: Millis;
    /** Service requests at once on one worker; at most the worker's own slots. */
    readonly slotsPerWorker: number;
    /** Connections that the system keeps to one worker at most. */
    readonly connectionsPerWorker: number;
    /** Time for one try of a service request. */
    readonly attemptTimeoutMs: Millis;
    /** Tries of a repeatable request or task, the first included. */
    readonly maxAttempts: number;
    /** Retries as a share of fresh requests, from 0 to 1. */
    readonly retryShare: number;
    readonly spread: Spread;
    /** Added rank per minute of waiting, so that nothing starves; policy-specific unit. */
    readonly agingPerMinute: number;
    /** Whether running tasks may be preempted for urgent ones. */
    readonly preemptible: boolean;
    /** Default size of a task where the caller gives none. */
    readonly defaultResources: Resources;
    /** Default run time where the caller gives none. */
    readonly defaultEstimateMs: Millis;
    /** Longest run time before a task is stopped as failed; 0 for none. */
    readonly maxRunMs: Millis;
    /** Time that ended work and idempotency keys are remembered. */
    readonly retentionMs: Millis;
}

/** Quota and weight of a team. */
export interface TeamSettings {
    readonly team: string;
    readonly weight: number;
    /** Most that the team's tasks may use at once over the whole cell; undefined for no limit. */
    readonly quota?: Resources;
    /** SHA-256 of the team's tokens, in hexadecimal. */
    readonly tokenHashes: readonly string[];
}

/** Settings of the whole cell. */
export interface CellSettings {
    /** Time that a worker goes on running tasks without a renewal. */
    readonly workerLeaseMs: Millis;
    /** Time to live of an entry's lease in the store. */
    readonly memberTtlMs: Millis;
    /** Time between digests to peers. */
    readonly digestMs: Millis;
    /** Age at which what a peer or the store said no longer counts as fresh. */
    readonly freshMs: Millis;
    /** Longest time an entry acts without the store, while a majority of entries agrees that it is down. */
    readonly outageToleranceMs: Millis;
    /** Share by which two clocks may drift apart, such as 0.01. */
    readonly clockDrift: number;
    /** Store writes a second for all entries together. */
    readonly storeWritesPerSecond: number;
    /** Store reads and waiting watches a second for all entries together. */
    readonly storeReadsPerSecond: number;
    /** Largest share of workers that may be ejected at once. */
    readonly ejectionCap: number;
    /** Failures in a row, above the fleet's own rate, that eject a worker. */
    readonly ejectionFailures: number;
    readonly ejectionMs: Millis;
    /** Lost tasks started again a second at most, over one placer. */
    readonly recoveryStartsPerSecond: number;
    /** Preemptions a minute at most, over one placer. */
    readonly preemptionsPerMinute: number;
}

/** One version of the settings, complete and checked. */
export interface SettingsVersion {
    readonly version: number;
    readonly cell: CellSettings;
    readonly teams: ReadonlyMap<string, TeamSettings>;
    /** Branches that take work, by path. */
    readonly branches: ReadonlyMap<string, BranchSettings>;
}

/** Number of home slices; fixed for the life of a cell, since keys of jobs hash to them. */
export const HOME_SLICES = 16;

/** Number of worker slices; fixed for the life of a cell. A rack lies whole in one slice. */
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
