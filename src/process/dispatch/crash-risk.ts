/**
 * Estimates, by queue, how many of the tasks that start crash their workers. Pure.
 *
 * @remarks Failure guarded against: each of many tasks of one queue takes down several workers before it is known, and with
 * them whatever ran there. What crashes say together tells of the queue's next tasks before they have run.
 */
import type { Millis } from "../../common/clock.js";

/** A run that was on a worker when that was lost. */
export interface LostStart {
    readonly queue: string;
    /** For how long it had surely been at work. */
    readonly provenMs: Millis;
    /** Whether little else was to be expected of its task, so that this loss says little of others. */
    readonly isSuspect: boolean;
}

/** Time over which starts and crashes are counted. */
const WINDOW_MS: Millis = 10_000;
/** Time over which the rate is counted that decides how fast new tasks start. */
const RECENT_MS: Millis = 4_000;
const BUCKET_MS: Millis = 1_000;
/** A worker that crashed is away for about this long. */
const AWAY_MS: Millis = 4_000;
/** A run that had been at work for this long is half as likely to have caused a crash as one that had just begun. */
const HALF_BLAME_MS: Millis = 100;
/** Weight of a run that may have caused a crash by itself. */
const LIKELY_WEIGHT = 1 / 2;
/** Crashes without which nothing is held against a queue. */
const MIN_CRASHES = 3;
/** Share of a queue's starts that must have ended in a crash. */
const MIN_RATE = 0.005;
/** Starts that are added to those counted, so that few starts prove little. */
const PRIOR_STARTS = 20;
/** Time for which late work keeps a queue on probation after the last worker that surely crashed. */
const CONFIRMED_MS: Millis = 30_000;
/** Rate at which a run must go on for the longest time before its worker is trusted with another one. */
const HIGH_RATE = 0.05;
const LONGEST_PROOF_MS: Millis = 500;
const SHORTEST_PROOF_MS: Millis = 100;

/** What a queue's starts have led to lately. */
export interface QueueRisk {
    readonly starts: number;
    readonly crashes: number;
    /** Crashes for each start. */
    readonly rate: number;
    /** The same of the last few seconds. */
    readonly recentRate: number;
}

interface Crash {
    readonly workerId: string;
    readonly pool: string;
    readonly at: Millis;
    /** Share of each queue; none where a suspect explains the crash. */
    readonly blame: ReadonlyMap<string, number>;
    /** Queues of what had just started. */
    readonly queues: ReadonlySet<string>;
}

interface Bucket {
    readonly at: Millis;
    readonly starts: Map<string, number>;
}

/** The estimates; see the module comment. */
export class CrashRisk {
    private buckets: Bucket[] = [];
    private crashes: Crash[] = [];
    private risky: ReadonlyMap<string, QueueRisk> = new Map();
    /** When each queue's last worker was lost that surely crashed. */
    private readonly confirmedAt = new Map<string, Millis>();

    /** Counts a run that a worker has begun. */
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

    /**
     * Records that a worker was lost.
     * @param worker - The worker and its pool.
     * @param runs - What ran there.
     * @param now - When the loss became known.
     * @returns Whether the loss is blamed on what had just started.
     */
    observeLoss(
        { workerId, pool }: { readonly workerId: string; readonly pool: string; },
        runs: readonly LostStart[],
        now: Millis,
    ): boolean {
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
        this.crashes.push({ workerId, pool, at: now, blame, queues });
        return true;
    }

    /** Records that a worker surely crashed. */
    confirm(workerId: string): void {
        for (const crash of this.crashes.filter(other => other.workerId === workerId)) {
            crash.queues.forEach(queue => this.confirmedAt.set(queue, crash.at));
        }
    }

    /** Withdraws the loss of a worker that goes on. */
    withdraw(workerId: string): void {
        this.crashes = this.crashes.filter(crash => crash.workerId !== workerId);
    }

    /**
     * Counts the workers of a pool that are probably away because a task crashed them.
     * @param pool - The pool.
     * @param isExplained - Whether the crashes are meant that a suspect explains, or all others.
     * @param now - On our clock.
     */
    countAway(pool: string, isExplained: boolean, now: Millis): number {
        return this.crashes.filter(crash =>
            crash.pool === pool && now - crash.at < AWAY_MS && (crash.blame.size === 0) === isExplained
        ).length;
    }

    /**
     * Lists the queues whose tasks crash workers. One that was listed stays so until nothing just started on any worker that
     * was lost lately, and nothing unproven waits.
     * @param now - On our clock.
     * @param hasProbes - Tells whether a queue's late work, or what has probably crashed a worker, waits.
     */
    listRisky(now: Millis, hasProbes: (queue: string) => boolean): ReadonlyMap<string, QueueRisk> {
        this.forgetOld(now);
        const risky = new Map<string, QueueRisk>();
        const concerned = new Set(this.crashes.flatMap(({ queues }) => [...queues]));
        for (const queue of new Set([...concerned, ...this.risky.keys()])) {
            const risk = this.computeRisk(queue, now);
            const isNew = risk.crashes >= MIN_CRASHES && risk.rate >= MIN_RATE;
            const isConfirmed = now - (this.confirmedAt.get(queue) ?? -Infinity) < CONFIRMED_MS;
            const isLeft = concerned.has(queue) || isConfirmed && hasProbes(queue);
            if (isNew || this.risky.has(queue) && isLeft) {
                risky.set(queue, risk);
            }
        }
        this.risky = risky;
        return risky;
    }

    private computeRisk(queue: string, now: Millis): QueueRisk {
        const { starts, crashes } = this.count(queue, now - WINDOW_MS);
        const recent = this.count(queue, now - RECENT_MS);
        return {
            starts,
            crashes,
            rate: crashes / (starts + PRIOR_STARTS),
            recentRate: recent.crashes / (recent.starts + PRIOR_STARTS),
        };
    }

    private count(queue: string, since: Millis): { readonly starts: number; readonly crashes: number; } {
        const buckets = this.buckets.filter(({ at }) => at >= since);
        const crashes = this.crashes.filter(({ at }) => at >= since);
        return {
            starts: buckets.reduce((sum, bucket) => sum + (bucket.starts.get(queue) ?? 0), 0),
            crashes: crashes.reduce((sum, { blame }) => sum + (blame.get(queue) ?? 0), 0),
        };
    }

    private forgetOld(now: Millis): void {
        this.buckets = this.buckets.filter(({ at }) => now - at < WINDOW_MS);
        this.crashes = this.crashes.filter(({ at }) => now - at < WINDOW_MS);
    }
}

/** Computes for how long a run of a queue must have gone on before tasks of other steps start beside it. */
export function computeProofMs({ recentRate }: QueueRisk): Millis {
    const share = Math.min(1, recentRate / HIGH_RATE);
    return Math.max(SHORTEST_PROOF_MS, share * LONGEST_PROOF_MS);
}

/** Computes how likely a run is to have caused the loss, from 1 for one that has just begun. */
function computeWeight({ provenMs }: LostStart): number {
    return 1 / (1 + (provenMs / HALF_BLAME_MS) ** 2);
}

function computeBlame(runs: readonly LostStart[], weights: readonly number[]): ReadonlyMap<string, number> {
    const total = Math.max(1, weights.reduce((sum, weight) => sum + weight, 0));
    const blame = new Map<string, number>();
    runs.forEach(({ queue }, index) => {
        blame.set(queue, (blame.get(queue) ?? 0) + (weights[index] ?? 0) / total);
    });
    return blame;
}
