/** Scales the timeouts for a leader on a small VM. */
import type { LeaderRecord } from "./leader-record.js";

/** Processor time of a VM, in cores, from which on the timeouts need not be scaled. */
const REFERENCE_CORES = 0.32;
const MAX_FACTOR = 3;

/**
 * Computes the factor by which the timeouts for a leader are longer than usual.
 *
 * @remarks On the smallest VMs, one turn of a new leader's event loop, in which it receives the reports of
 * all workers, can take longer than the usual timeouts. Without the factor, its lease would expire and its
 * links would be closed in the meantime, and it and each of its successors would be replaced.
 * @param cores - Processor time of the leader's VM, in cores; the factor is 1 if undefined.
 */
export function computeTimeoutFactor(cores: LeaderRecord["cores"]): number {
    return cores === undefined || cores <= 0 ? 1 : Math.min(MAX_FACTOR, Math.max(1, REFERENCE_CORES / cores));
}
