/**
 * Selects the workers that a request to the advice service names.
 *
 * @remarks There are hundreds of workers, and the service takes time for each worker named on top of that for
 * the request itself. A request about all of them takes longer than the whole slack of the job that waits for
 * it, while a few are mostly enough. Too few cost a second request, so more capacity is requested than the
 * step needs.
 */
import { countFitting } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { AdvicePolicy } from "../../version/cluster-config.js";
import type { StepSpec } from "../jobs/job-spec.js";

/** A worker that a request could name. */
export interface RequestCandidate {
    readonly id: string;
    readonly capacity: Resources;
    readonly free: Resources;
    /** Whether tasks were placed there that wait for its permit; defaults to false. */
    readonly isChosen?: boolean;
}

export const MAX_REQUESTED_WORKERS = 100;
/**
 * Share of workers that is expected to be allowed before any answer: policies of deployments allow 0.35 to
 * 0.7.
 */
const INITIAL_ALLOWED_SHARE = 0.4;
/** Weight of a new answer in the share: about the last 20 answers count. */
const SHARE_GAIN = 0.05;
/**
 * Lower bound of the share: with a policy that allows almost nothing, requests would otherwise name all
 * workers forever.
 */
const MIN_ALLOWED_SHARE = 0.1;
/** Requested capacity that is expected to be allowed, as a multiple of what the step needs. */
const CAPACITY_FACTOR = 1.5;
/** The same for gangs, which start only as a whole: one worker too few costs another request. */
const GANG_CAPACITY_FACTOR = 2;
/** Smaller requests than this depend too much on the chance of single workers. */
const MIN_REQUESTED_WORKERS = 8;
/** Share of the fixed time of a request that naming more workers may always add. */
const NEGLIGIBLE_COST_SHARE = 0.25;
/** Share of a full worker's capacity that counts as free: it comes free about as soon as a permit expires. */
const BUSY_CAPACITY_SHARE = 0.2;

/** Learns the share of named workers that the service allows, for each queue. */
export class AllowedShares {
    private readonly shares = new Map<string, number>();

    /**
     * Records an answer.
     * @param queue - Name of the queue.
     * @param asked - Number of workers named.
     * @param allowed - Number of them that were allowed.
     */
    observe(queue: string, asked: number, allowed: number): void {
        if (asked > 0) {
            const old = this.getShare(queue);
            this.shares.set(queue, old + (allowed / asked - old) * SHARE_GAIN);
        }
    }

    /** Returns the expected share of allowed workers. */
    getShare(queue: string): number {
        return Math.max(MIN_ALLOWED_SHARE, this.shares.get(queue) ?? INITIAL_ALLOWED_SHARE);
    }
}

/** What decides the size of a request. */
export interface RequestNeed {
    readonly spec: StepSpec;
    /** Number of tasks that have no place. */
    readonly tasks: number;
    readonly policy: AdvicePolicy;
    readonly allowedShare: number;
}

/**
 * Selects the workers with the most free capacity for the step, as many as it is expected to need.
 *
 * @remarks Workers on which tasks were already placed come first. Tasks are placed on the fullest worker that
 * fits, which ranks last by free capacity here. With more allowed workers than can be named while a permit is
 * valid, that worker would never be named and its task would wait forever.
 * @param workers - Workers that the request may name.
 * @param need - What the step needs.
 */
export function selectRequestedWorkers(
    workers: readonly RequestCandidate[],
    need: RequestNeed,
): readonly string[] {
    const { spec, tasks, policy, allowedShare } = need;
    const ranked = workers
        .map(worker => ({
            id: worker.id,
            isChosen: worker.isChosen === true,
            free: worker.free.cpuMillis,
            taskCapacity: computeTaskCapacity(spec, worker),
        }))
        .sort((left, right) =>
            Number(right.isChosen) - Number(left.isChosen) ||
            right.taskCapacity - left.taskCapacity ||
            right.free - left.free
        );
    const wanted = tasks * (spec.isGang ? GANG_CAPACITY_FACTOR : CAPACITY_FACTOR) / allowedShare;
    const negligible = policy.perWorkerMs === 0 ?
        MAX_REQUESTED_WORKERS :
        Math.floor(policy.decideMs * NEGLIGIBLE_COST_SHARE / policy.perWorkerMs);
    const least = Math.max(MIN_REQUESTED_WORKERS, negligible);
    const ids: string[] = [];
    let expected = 0;
    for (const { id, isChosen, taskCapacity } of ranked) {
        const isEnough = !isChosen && expected >= wanted && ids.length >= least;
        if (isEnough || ids.length >= MAX_REQUESTED_WORKERS) {
            break;
        }
        ids.push(id);
        expected += taskCapacity;
    }
    return ids;
}

/** Estimates how many tasks of a step a worker can run now or soon. */
function computeTaskCapacity(spec: StepSpec, { capacity, free }: RequestCandidate): number {
    const limit = spec.maxPerWorker ?? Infinity;
    const now = countFitting(spec.demand, free);
    const later = countFitting(spec.demand, capacity) * BUSY_CAPACITY_SHARE;
    return Math.min(limit, Math.max(now, later));
}
