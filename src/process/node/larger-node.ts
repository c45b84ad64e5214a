/**
 * Decides which node should lead when VMs differ in size.
 *
 * @remarks The smallest VMs have enough processor time to follow but not to lead: a leader on one of them
 * would delay every caller.
 */
import type { Millis } from "../../common/clock.js";
import type { NodeStatus } from "./messages.js";

/** Below this ratio of sizes, a change of leader costs more than the larger VM gains. */
const MUCH_LARGER_RATIO = 1.5;
/** Delay of a VM with 0 cores before it claims a leadership that nobody has held; none from 1 core up. */
const FIRST_CLAIM_DELAY_MS: Millis = 120;
/**
 * Head start of larger nodes when a leader is replaced. It covers the differences in when nodes detect the
 * silence (up to a heartbeat), their queries to other nodes (about as long) and the write of the claim.
 */
const SMALL_NODE_DELAY_MS: Millis = 350;
/** Time for a leader on a small VM to load the journal before a much larger follower takes over. */
const LOADING_GRACE_MS: Millis = 300;
/**
 * Minimum time behind a leader before a follower offers to replace it: a new leader loads the journal first,
 * and a second change right after the first would help nobody.
 */
const MIN_FOLLOWED_MS: Millis = 1_000;

/** Returns whether another node is so much larger than the leader that it should lead instead. */
export function isMuchLarger(otherCores: number, leaderCores: number): boolean {
    return otherCores >= leaderCores * MUCH_LARGER_RATIO;
}

/**
 * Returns how long a node that knows no other waits before it claims a leadership that nobody has held.
 * @param ownCores - Processor time of its VM, in cores.
 */
export function computeFirstClaimDelay(ownCores: number): Millis {
    return Math.max(0, 1 - ownCores) * FIRST_CLAIM_DELAY_MS;
}

/**
 * Returns how long a node waits before it claims a vacant leadership, to let a much larger node go first.
 * @param ownCores - Processor time of its VM, in cores.
 * @param maxCores - Processor time of the largest known node's VM, in cores.
 */
export function computeSmallNodeDelay(ownCores: number, maxCores: number): Millis {
    return isMuchLarger(maxCores, ownCores) ? SMALL_NODE_DELAY_MS : 0;
}

/**
 * Decides whether a follower should offer to lead. The follower then checks that it can reach the store.
 * @param ownCores - Processor time of its VM, in cores.
 * @param leaderCores - Processor time of the leader's VM, in cores.
 * @param followedMs - How long it has followed this leader.
 */
export function shouldOffer(ownCores: number, leaderCores: number, followedMs: Millis): boolean {
    return followedMs > MIN_FOLLOWED_MS && isMuchLarger(ownCores, leaderCores);
}

/**
 * Decides whether a follower should take over from a leader that has not loaded the journal yet.
 *
 * @remarks A small VM with a slow link may be first to claim after a loss. Listing a large cluster's journal
 * over that link can exceed the time limit each time, so nobody ever leads. An offer does not help, as
 * leaders accept none before they have loaded the journal; a claim is safe at any time.
 * @param ownCores - Processor time of its VM, in cores.
 * @param leader - The leader's last status.
 * @param followedMs - How long it has followed this leader.
 */
export function shouldTakeOver(
    ownCores: number,
    leader: Pick<NodeStatus, "cores" | "isLoading">,
    followedMs: Millis,
): boolean {
    return leader.isLoading && followedMs > LOADING_GRACE_MS && isMuchLarger(ownCores, leader.cores);
}
