/**
 * Adaptive concurrency of service requests on one worker.
 *
 * @remarks The limit is lowered multiplicatively when a worker fails requests or is far slower than the mean
 * of their branch, and raised additively by each good answer. It never falls below one, so that the recovery
 * of a worker is noticed.
 */
import type { RunSample } from "./placement-core.js";
import type { WorkerRecord } from "./worker-record.js";

const SAMPLE_WEIGHT = 0.1;
/** Ratio to the branch's mean run time above which a worker counts as slow. */
const SLOW_RATIO = 3;
const BACKOFF = 0.7;
const GAIN = 0.25;
const MIN_LIMIT = 1;

/**
 * Adapts a worker's slot limit to the outcome of a request.
 * @param branchMeanMs - Mean run time of the branch at this placer, or undefined before the first sample.
 */
export function observeService(
    worker: WorkerRecord,
    sample: RunSample,
    branchMeanMs: number | undefined,
): void {
    if (!sample.failed && branchMeanMs !== undefined) {
        const ratio = sample.ranMs / Math.max(1, branchMeanMs);
        worker.latencyRatio += SAMPLE_WEIGHT * (ratio - worker.latencyRatio);
    }
    const isSlow = worker.latencyRatio > SLOW_RATIO;
    if (sample.failed || isSlow) {
        worker.slotLimit = Math.max(MIN_LIMIT, worker.slotLimit * BACKOFF);
        return;
    }
    worker.slotLimit = Math.min(worker.view.slots, worker.slotLimit + GAIN);
}
