/**
 * Which node should lead where VMs differ in size. Pure.
 *
 * @remarks Failure guarded against: the leader's work does not fit into the processor time of the smallest VMs, which is
 * ample for a follower. A small node that leads makes every caller wait for it.
 */
import type { Millis } from "../../common/clock.js";
import type { StatusNote } from "./messages.js";

/** A node this many times as large leads better; with less, the change costs more than it brings. */
const MUCH_LARGER = 1.5;
/** A VM with a whole core claims a place that nobody had this much sooner than one with none. */
const FIRST_CLAIM_DELAY_MS: Millis = 120;
/**
 * Head start of large nodes when a leader is to be replaced: nodes notice its silence within a beat of each other, ask
 * others for as long, and a claim has to be written.
 */
const SMALL_NODE_DELAY_MS: Millis = 350;
/** A leader on a small VM may need this long to load the journal just after its start. */
const LOADING_PATIENCE_MS: Millis = 300;
/** A leader is left alone for this long: it loads the journal, and a change right after a change helps nobody. */
const SETTLE_MS: Millis = 1_000;

/** Tells whether another node should lead instead. */
export function isMuchLarger(otherCores: number, leaderCores: number): boolean {
    return otherCores >= leaderCores * MUCH_LARGER;
}

/**
 * Returns how long a node waits before it claims a place that nobody has had: it has heard of no other node yet.
 * @param ownCores - Processor time of its VM.
 */
export function computeFirstClaimDelay(ownCores: number): Millis {
    return Math.max(0, 1 - ownCores) * FIRST_CLAIM_DELAY_MS;
}

/**
 * Returns how long a node waits before it claims a place that is free.
 * @param ownCores - Processor time of its VM.
 * @param mostCores - That of the largest node it has heard of.
 */
export function computeClaimDelay(ownCores: number, mostCores: number): Millis {
    return isMuchLarger(mostCores, ownCores) ? SMALL_NODE_DELAY_MS : 0;
}

/**
 * Decides whether a follower offers to lead; it asks the store first whether it is heard there.
 * @param ownCores - Processor time of its VM.
 * @param leaderCores - That of the leader's VM.
 * @param followedMs - How long it has followed this leader.
 */
export function shouldOffer(ownCores: number, leaderCores: number, followedMs: Millis): boolean {
    return followedMs > SETTLE_MS && isMuchLarger(ownCores, leaderCores);
}

/**
 * Decides whether a follower claims the place of a leader that has not loaded the journal yet.
 *
 * @remarks Failure guarded against: a VM with a slow link claims first after a loss. The journal of a large cluster takes
 * longer over that link than a listing may, so it is read again and again, and nobody leads. Offers of larger nodes do not
 * help, as they wait until a leader has loaded; a claim is safe at any time.
 * @param ownCores - Processor time of its VM.
 * @param leader - The leader's last status.
 * @param followedMs - How long it has followed this leader.
 */
export function shouldOvertake(
    ownCores: number,
    leader: Pick<StatusNote, "cores" | "isLoading">,
    followedMs: Millis,
): boolean {
    return leader.isLoading && followedMs > LOADING_PATIENCE_MS && isMuchLarger(ownCores, leader.cores);
}
