/**
 * Gaps that less urgent tasks leave on some workers, so that a task of the most urgent queue can start at once.
 *
 * @remarks Answers the load of quick checks in a pool full of long tasks, which leave pieces in which none fits.
 */
import type { Millis } from "../../common/clock.js";
import { hashText } from "../../common/hash.js";
import { isWithin, NO_RESOURCES, removeResources } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { QueueConfig } from "../../version/cluster-config.js";
import type { Step } from "../jobs/job.js";

/** One in so many workers keeps a gap. */
const WORKERS_PER_GAP = 3;
/** Gap relative to the mean demand of a task: half of the tasks need more than the mean. */
const GAP_FACTOR = 1.2;
/** Weight of a new task in the mean demand: about the last 50 count. */
const DEMAND_GAIN = 0.02;
/** A queue without starts for so long needs no gaps. */
const MAX_AGE_MS: Millis = 5_000;

/** Tasks of one queue that were started lately. */
interface RecentTasks {
    readonly priority: number;
    readonly mean: Resources;
    readonly startedAt: Millis;
}

/** What a task has to leave free on the workers that keep a gap. */
export interface Gap {
    readonly size: Resources;
}

/** Learns the size of the gaps from the tasks of each pool's most urgent queue. */
export class Headroom {
    private readonly pools = new Map<string, RecentTasks>();

    /** Records the start of a task. */
    observeStart({ spec }: Step, { pool, priority }: QueueConfig, now: Millis): void {
        const known = this.pools.get(pool);
        const isOutdated = known === undefined || now - known.startedAt > MAX_AGE_MS;
        if (spec.isLongRunning || spec.fillsSpareCpu || !isOutdated && known.priority < priority) {
            return;
        }
        const isSameQueue = !isOutdated && known.priority === priority;
        const mean = isSameQueue ? updateMean(known.mean, spec.demand) : spec.demand;
        this.pools.set(pool, { priority, mean, startedAt: now });
    }

    /** Finds the gap that a step has to leave; undefined if there is none, or the step is urgent or a gang. */
    findGap({ spec }: Step, { pool, priority }: QueueConfig, now: Millis): Gap | undefined {
        const recent = this.pools.get(pool);
        const isExempt = spec.isGang || recent === undefined || recent.priority >= priority ||
            now - recent.startedAt > MAX_AGE_MS;
        return isExempt ?
            undefined :
            { size: mergeResources(recent.mean, NO_RESOURCES, amount => amount * GAP_FACTOR) };
    }
}

/** Tells whether a task may start on a worker without filling the gap there. */
export function isGapLeft(
    workerId: string,
    free: Resources,
    demand: Resources,
    gap: Gap | undefined,
): boolean {
    return gap === undefined || hashText(workerId) % WORKERS_PER_GAP !== 0 ||
        isWithin(gap.size, removeResources(free, demand));
}

function updateMean(mean: Resources, sample: Resources): Resources {
    return mergeResources(mean, sample, (old, next) => old + (next - old) * DEMAND_GAIN);
}

function mergeResources(
    left: Resources,
    right: Resources,
    merge: (left: number, right: number) => number,
): Resources {
    return {
        cpuMillis: merge(left.cpuMillis, right.cpuMillis),
        memoryMib: merge(left.memoryMib, right.memoryMib),
        accelerators: merge(left.accelerators, right.accelerators),
    };
}
