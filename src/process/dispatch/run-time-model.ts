/** How long tasks will run, from callers' estimates and what earlier tasks of the same queue took. */
import type { Millis } from "../../common/clock.js";

/** Samples before a queue's own figures are used; below, the caller's estimate stands. */
const MIN_SAMPLES = 20;
/** Weight that each sample loses with every later one: about the last 200 count. */
const DECAY = 0.995;
/** Estimates and run times of zero would have no logarithm. */
const SHORTEST_MS: Millis = 1;

/** Sums over the samples of one queue, of logarithms of estimates (x) and of run times (y). */
interface Sums {
    weight: number;
    x: number;
    y: number;
    xx: number;
    xy: number;
    count: number;
}

/**
 * A line through the logarithms of estimates and run times, for each queue.
 *
 * @remarks The load this answers: estimates that are off by a factor of two either way. Taken at their word, a job whose
 * estimate is too low seems too late to be worth serving while there is still time. Where estimates say little the line
 * is flat and the queue's usual run time is expected; where they are good it follows them.
 */
export class RunTimeModel {
    private readonly queues = new Map<string, Sums>();

    /** Takes in a run that did all its work at once. */
    observe(queue: string, estimateMs: Millis, tookMs: Millis): void {
        const x = Math.log(Math.max(SHORTEST_MS, estimateMs));
        const y = Math.log(Math.max(SHORTEST_MS, tookMs));
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

    /** Returns the run time to expect. */
    estimate(queue: string, estimateMs: Millis): Millis {
        const sums = this.queues.get(queue);
        if (sums === undefined || sums.count < MIN_SAMPLES) {
            return estimateMs;
        }
        const { weight, x, y, xx, xy } = sums;
        const meanX = x / weight;
        const meanY = y / weight;
        const spread = xx / weight - meanX * meanX;
        const together = xy / weight - meanX * meanY;
        const slope = spread <= 0 ? 0 : Math.min(1, Math.max(0, together / spread));
        const log = Math.log(Math.max(SHORTEST_MS, estimateMs));
        return Math.exp(meanY + slope * (log - meanX));
    }
}
