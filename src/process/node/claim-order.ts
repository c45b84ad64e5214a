/** The order in which nodes claim a vacant leadership. Each node computes it alone, without messages. */
import type { Millis } from "../../common/clock.js";
import { hashText } from "../../common/hash.js";
import { isMuchLarger } from "./larger-node.js";
import type { NodeMember } from "./messages.js";

/** Delay between consecutive nodes in the order: a successful claim is visible in the store by then. */
const CLAIM_STAGGER_MS: Millis = 20;
/** Upper bound of the delay, as the nodes ahead in the order may all have failed. */
const MAX_STAGGER_MS: Millis = 300;

/**
 * Returns how long a node waits before it claims a vacant leadership, so that nodes of its size or larger
 * that are ahead of it in the order can claim first.
 * @param members - The nodes that the last leader reported.
 * @param own - This node.
 * @param leader - The last leader; its epoch seeds the order.
 * @returns 0 for the first in the order; undefined if no other node is known.
 */
export function computeStaggerDelay(
    members: readonly NodeMember[],
    own: NodeMember,
    leader: { readonly address: string; readonly epoch: number; },
): Millis | undefined {
    const others = members.filter(({ address }) => address !== own.address && address !== leader.address);
    if (others.length === 0) {
        return undefined;
    }
    const ownHash = hashText(`${leader.epoch} ${own.address}`);
    const earlier = others.filter(({ address, cores }) =>
        !isMuchLarger(own.cores, cores) && hashText(`${leader.epoch} ${address}`) < ownHash
    );
    return Math.min(MAX_STAGGER_MS, earlier.length * CLAIM_STAGGER_MS);
}
