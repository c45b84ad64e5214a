/** How much more time a leader on a small VM is given. Pure. */
import type { LeaderRecord } from "./leader-record.js";

/** Processor time of a VM, in cores, on which a turn of the event loop takes the usual time. */
const USUAL_CORES = 0.32;
const MOST_FACTOR = 3;

/**
 * Computes the factor by which the timeouts for a leader are longer than usual.
 *
 * @remarks Failure guarded against: on the smallest VMs one turn of a new leader, which hears all workers at once, takes longer
 * than the usual timeouts. Its lease runs out and its links are given up meanwhile, it is replaced, and so is each that
 * follows.
 * @param cores - Processor time of the leader's VM; the usual one where left out.
 */
export function computeSlowness(cores: LeaderRecord["cores"]): number {
    return cores === undefined || cores <= 0 ? 1 : Math.min(MOST_FACTOR, Math.max(1, USUAL_CORES / cores));
}
