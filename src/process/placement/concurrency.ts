/**
 * Adaptive concurrency of service requests on one worker.
 *
 * @remarks A worker that fails requests, or answers far slower than the branch does elsewhere, gets fewer at
 * once; each good answer gives a little back. The limit never falls below one, so that a worker that has
 * recovered is found out.
 */
import type { RunSample } from "./placement-core.js";
import type { WorkerRecord } from "./worker-record.js";

const SAMPLE_WEIGHT = 0.1;
/** Ratio to the branch's mean above which a worker counts as slow. */
const SLOW_RATIO = 3;
const BACKOFF = 0.7;
const GAIN = 0.25;
const MIN_LIMIT = 1;

/**
 * Takes in how a request ended on a worker.
 * @param branchMeanMs - Mean over the whole placer, or undefined before the first.
 */
export function observeService(
    worker: WorkerRecord,
    sample: RunSample,
    branchMeanMs: number | undefined,
): void {
    if (!sample.failed && branchMeanMs !== undefined) {
        const ratio = sample.ranMs / Math.max(1, branchMeanMs);
        worker.slowness += SAMPLE_WEIGHT * (ratio - worker.slowness);
    }
    const isSlow = worker.slowness > SLOW_RATIO;
    if (sample.failed || isSlow) {
        worker.slotLimit = Math.max(MIN_LIMIT, worker.slotLimit * BACKOFF);
        return;
    }
    worker.slotLimit = Math.min(worker.view.slots, worker.slotLimit + GAIN);
}
