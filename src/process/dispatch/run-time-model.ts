/**
 * Estimates how long tasks will run, from callers' estimates and the run times of earlier tasks of the same
 * queue.
 */
import type { Millis } from "../../common/clock.js";

/** Samples from which a queue's own figures are used; with fewer, the caller's estimate stands. */
const MIN_SAMPLES = 20;
/** Factor by which a sample's weight falls with every later one: about the last 200 count. */
const DECAY = 0.995;
/** Lower bound of estimates and run times, as zero has no logarithm. */
const MIN_TIME_MS: Millis = 1;

/** Weighted sums over the samples of one queue: logarithms of estimates (x) and of run times (y). */
interface Sums {
    weight: number;
    x: number;
    y: number;
    xx: number;
    xy: number;
    count: number;
}

/**
 * Linear regression of the logarithms of run times on those of estimates, for each queue.
 *
 * @remarks Estimates are off by a factor of two either way. Taken literally, an estimate that is too low
 * gives its job a short objective, so that the job seems too late to be worth serving while there is still
 * time. Where estimates say little the line is flat and the queue's usual run time is expected; where they
 * are good the line follows them.
 */
export class RunTimeModel {
    private readonly queues = new Map<string, Sums>();

    /** Records a run that did all of its task's work, without a checkpoint in between. */
    observe(queue: string, estimateMs: Millis, tookMs: Millis): void {
        const x = Math.log(Math.max(MIN_TIME_MS, estimateMs));
        const y = Math.log(Math.max(MIN_TIME_MS, tookMs));
        const old = this.queues.get(queue) ?? { weight: 0, x: 0, y: 0, xx: 0, xy: 0, count: 0 };
        this.queues.set(queue, {
            weight: old.weight * DECAY + 1,
            x: old.x * DECAY + x,
            y: old.y * DECAY + y,
            xx: old.xx * DECAY + x * x,
            xy: old.xy * DECAY + x * y,
            count: old.count + 1,
        });
    }

    /** Returns the expected run time. */
    estimate(queue: string, estimateMs: Millis): Millis {
        const sums = this.queues.get(queue);
        if (sums === undefined || sums.count < MIN_SAMPLES) {
            return estimateMs;
        }
        const { weight, x, y, xx, xy } = sums;
        const meanX = x / weight;
        const meanY = y / weight;
        const variance = xx / weight - meanX * meanX;
        const covariance = xy / weight - meanX * meanY;
        const slope = variance <= 0 ? 0 : Math.min(1, Math.max(0, covariance / variance));
        const log = Math.log(Math.max(MIN_TIME_MS, estimateMs));
        return Math.exp(meanY + slope * (log - meanX));
    }
}
