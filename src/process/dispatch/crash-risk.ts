/**
 * Estimates for each queue the share of starting tasks that crash their workers.
 *
 * @remarks Many tasks of one queue may crash their workers. Each would take down several workers, with
 * whatever runs there, before it is identified by itself. The queue's crashes taken together predict the
 * behavior of its further tasks before they have run.
 */
import type { Millis } from "../../common/clock.js";
import { computeMax, computeMin } from "../../common/lists.js";
import { LossCauses } from "./loss-causes.js";
import type { CommonLoss } from "./loss-causes.js";

/** A run that was on a worker when the worker was lost. */
export interface RunAtLoss {
    readonly queue: string;
    /** How long it had certainly been running. */
    readonly provenMs: Millis;
    /** How long ago it was ordered when the loss became known. */
    readonly ageMs: Millis;
    /**
     * Whether its task was already suspected of crashing workers, so that this loss says little about other
     * tasks.
     */
    readonly isSuspect: boolean;
}

/** A worker that was lost, with what ran there. */
export interface LostWorker {
    readonly workerId: string;
    readonly pool: string;
    readonly runs: readonly RunAtLoss[];
    /** When the worker was last known to be alive. */
    readonly aliveAt: Millis;
    /** When the loss became known. */
    readonly lostAt: Millis;
}

/** Window over which starts and crashes are counted. */
export const CRASH_WINDOW_MS: Millis = 10_000;
/** Window of the recent rate, which decides how fast new tasks start. */
const RECENT_MS: Millis = 4_000;
/** Least time over which a rate is measured. */
const MIN_RATE_MS: Millis = 1_000;
const BUCKET_MS: Millis = 1_000;
/** Time that a crashed worker takes to come back, approximately. */
const RESTART_TIME_MS: Millis = 4_000;
/** Age at which a run is half as likely to have caused a crash as one that has just started. */
const HALF_BLAME_AGE_MS: Millis = 100;
/** Least weight of a run that may have caused a crash by itself. */
const LIKELY_WEIGHT = 1 / 2;
/** Least number of crashes for which a queue is listed as risky. */
const MIN_CRASHES = 3;
/** Least share of a queue's starts that must have ended in a crash. */
const MIN_RATE = 0.005;
/** Added to the number of starts, so that few starts prove little. */
const PRIOR_STARTS = 20;
/** How long after the last confirmed crash late work keeps a queue on probation. */
const CONFIRMED_CRASH_MEMORY_MS: Millis = 30_000;
/**
 * Crash rate from which a run must have gone on for {@link MAX_PROOF_MS} before its worker gets another one.
 */
const HIGH_RATE = 0.05;
/** Time after which a run is taken not to crash its worker, however many of its queue do. */
export const MAX_PROOF_MS: Millis = 500;
const MIN_PROOF_MS: Millis = 100;

/** Recent starts and crashes of a queue. */
export interface QueueRisk {
    readonly starts: number;
    readonly crashes: number;
    /** Crashes per start. */
    readonly rate: number;
    /** Crashes per start over the last few seconds. */
    readonly recentRate: number;
    /** Starts per second over the last few seconds; undefined until observed for long enough. */
    readonly startsPerS: number | undefined;
    /** Time since the last counted crash that its tasks may have caused; Infinity without one. */
    readonly sinceCrashMs: Millis;
}

interface Crash {
    readonly workerId: string;
    readonly pool: string;
    readonly at: Millis;
    /** Each queue's share of the blame; empty if a suspect explains the crash. */
    readonly blame: ReadonlyMap<string, number>;
    /** Queues of the runs that had just started. */
    readonly queues: ReadonlySet<string>;
}

interface Bucket {
    readonly at: Millis;
    readonly starts: Map<string, number>;
}

/** Crash estimates of all queues. */
export class CrashRisk {
    private buckets: Bucket[] = [];
    private crashes: Crash[] = [];
    private risky: ReadonlyMap<string, QueueRisk> = new Map();
    private readonly causes = new LossCauses();
    /** Time of each queue's last confirmed crash. */
    private readonly confirmedAt = new Map<string, Millis>();

    /** @param beganAt - Since when starts are counted. */
    constructor(private readonly beganAt: Millis) {}

    /** Counts a run that has started. */
    observeStart(queue: string, now: Millis): void {
        const last = this.buckets.at(-1);
        const bucket = last !== undefined && now - last.at < BUCKET_MS ?
            last :
            { at: now, starts: new Map() };
        if (bucket !== last) {
            this.buckets.push(bucket);
        }
        bucket.starts.set(queue, (bucket.starts.get(queue) ?? 0) + 1);
    }

    /** Records that a worker does not answer, which says nothing of its tasks but of other losses. */
    observeSilence(worker: LostWorker): void {
        const { workerId, runs, aliveAt, lostAt } = worker;
        const lastOrderedAt = lostAt - computeMin(runs.map(({ ageMs }) => ageMs));
        this.causes.observe({ workerId, aliveAt, lostAt, lastOrderedAt });
    }

    /**
     * Records that a worker's process has ended.
     * @returns Whether runs that had just started may have caused it.
     */
    observeLoss(worker: LostWorker): boolean {
        const { workerId, pool, runs, lostAt } = worker;
        this.observeSilence(worker);
        if (this.crashes.some(crash => crash.workerId === workerId)) {
            return false;
        }
        const weights = runs.map(computeWeight);
        const started = runs.filter((_, index) => (weights[index] ?? 0) >= LIKELY_WEIGHT);
        if (started.length === 0) {
            return false;
        }
        const blame = started.some(({ isSuspect }) => isSuspect) ? new Map() : computeBlame(runs, weights);
        const queues = new Set(started.map(({ queue }) => queue));
        this.crashes.push({ workerId, pool, at: lostAt, blame, queues });
        return true;
    }

    /** Finds the workers with which a worker was lost for a reason other than their tasks. */
    findCommonLoss(workerId: string): CommonLoss | undefined {
        return this.causes.findCommonLoss(workerId);
    }

    /** Records that a worker certainly crashed. */
    confirm(workerId: string): void {
        for (const crash of this.crashes.filter(other => other.workerId === workerId)) {
            crash.queues.forEach(queue => this.confirmedAt.set(queue, crash.at));
        }
    }

    /** Withdraws the loss of a worker that turned out to be running. */
    withdraw(workerId: string): void {
        this.causes.withdraw(workerId);
        this.crashes = this.crashes.filter(crash => crash.workerId !== workerId);
    }

    /**
     * Counts the workers of a pool that are probably still down because a task crashed them.
     * @param isExplained - Whether to count the crashes that a suspect explains, or all others.
     * @param now - On the leader's clock.
     */
    countCrashed(pool: string, isExplained: boolean, now: Millis): number {
        return this.listCounted().filter(crash =>
            crash.pool === pool && now - crash.at < RESTART_TIME_MS &&
            (crash.blame.size === 0) === isExplained
        ).length;
    }

    /**
     * Lists the queues whose tasks crash workers. A listed queue stays listed while a run of it had just
     * started on any worker lost lately, or while unproven work of it waits after a confirmed crash.
     * @param now - On the leader's clock.
     * @param hasProbes - Tells whether a queue has waiting work that is late or has probably crashed a
     * worker.
     */
    listRisky(now: Millis, hasProbes: (queue: string) => boolean): ReadonlyMap<string, QueueRisk> {
        this.forgetOld(now);
        const risky = new Map<string, QueueRisk>();
        const implicated = new Set(this.listCounted().flatMap(({ queues }) => [...queues]));
        for (const queue of new Set([...implicated, ...this.risky.keys()])) {
            const risk = this.computeRisk(queue, now);
            const isNew = risk.crashes >= MIN_CRASHES && risk.rate >= MIN_RATE;
            const isConfirmed = now - (this.confirmedAt.get(queue) ?? -Infinity) < CONFIRMED_CRASH_MEMORY_MS;
            const isStillListed = implicated.has(queue) || isConfirmed && hasProbes(queue);
            if (isNew || this.risky.has(queue) && isStillListed) {
                risky.set(queue, risk);
            }
        }
        this.risky = risky;
        return risky;
    }

    /** Lists the crashes that tasks may have caused. */
    private listCounted(): readonly Crash[] {
        return this.crashes.filter(({ workerId }) => this.findCommonLoss(workerId) === undefined);
    }

    private computeRisk(queue: string, now: Millis): QueueRisk {
        const { starts, crashes } = this.count(queue, now - CRASH_WINDOW_MS);
        const recent = this.count(queue, now - RECENT_MS);
        return {
            starts,
            crashes,
            rate: crashes / (starts + PRIOR_STARTS),
            recentRate: recent.crashes / (recent.starts + PRIOR_STARTS),
            startsPerS: this.computeStartsPerS(recent.starts, now),
            sinceCrashMs: now - computeMax(this.listCrashTimes(queue)),
        };
    }

    private computeStartsPerS(recentStarts: number, now: Millis): number | undefined {
        const observedMs = Math.min(RECENT_MS, now - this.beganAt);
        return observedMs < MIN_RATE_MS ? undefined : recentStarts / (observedMs / 1_000);
    }

    private listCrashTimes(queue: string): readonly Millis[] {
        return this.listCounted().filter(({ queues }) => queues.has(queue)).map(({ at }) => at);
    }

    private count(queue: string, since: Millis): { readonly starts: number; readonly crashes: number; } {
        const buckets = this.buckets.filter(({ at }) => at >= since);
        const crashes = this.listCounted().filter(({ at }) => at >= since);
        return {
            starts: buckets.reduce((sum, bucket) => sum + (bucket.starts.get(queue) ?? 0), 0),
            crashes: crashes.reduce((sum, { blame }) => sum + (blame.get(queue) ?? 0), 0),
        };
    }

    private forgetOld(now: Millis): void {
        this.buckets = this.buckets.filter(({ at }) => now - at < CRASH_WINDOW_MS);
        this.crashes = this.crashes.filter(({ at }) => now - at < CRASH_WINDOW_MS);
    }
}

/** Computes how long a run of a queue must have gone on before tasks of other steps may start beside it. */
export function computeProofMs({ recentRate }: QueueRisk): Millis {
    const share = Math.min(1, recentRate / HIGH_RATE);
    return Math.max(MIN_PROOF_MS, share * MAX_PROOF_MS);
}

/** Computes the relative likelihood that a run caused the loss; 1 for one that has just started. */
function computeWeight({ provenMs }: RunAtLoss): number {
    return 1 / (1 + (provenMs / HALF_BLAME_AGE_MS) ** 2);
}

function computeBlame(runs: readonly RunAtLoss[], weights: readonly number[]): ReadonlyMap<string, number> {
    const total = Math.max(1, weights.reduce((sum, weight) => sum + weight, 0));
    const blame = new Map<string, number>();
    runs.forEach(({ queue }, index) => {
        blame.set(queue, (blame.get(queue) ?? 0) + (weights[index] ?? 0) / total);
    });
    return blame;
}
