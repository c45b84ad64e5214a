/** In which order nodes claim a place that is free, agreed on without asking each other. Pure. */
import type { Millis } from "../../common/clock.js";
import { hashText } from "../../common/hash.js";
import { isMuchLarger } from "./larger-node.js";
import type { NodeMember } from "./messages.js";

/** Time that each node leaves to the one before it: a claim that is won is seen in the store by then. */
const CLAIM_TURN_MS: Millis = 20;
/** Longest wait for nodes that may all be lost. */
const LONGEST_TURN_MS: Millis = 300;

/**
 * Returns how long a node leaves a free place to others of its size.
 * @param members - The nodes that the last leader named.
 * @param own - This node.
 * @param leader - The last leader's address and epoch; the order differs with each epoch.
 * @returns 0 for the first in the order; undefined where no other node is known.
 */
export function computeClaimTurn(
    members: readonly NodeMember[],
    own: NodeMember,
    leader: { readonly address: string; readonly epoch: number; },
): Millis | undefined {
    const others = members.filter(({ address }) => address !== own.address && address !== leader.address);
    if (others.length === 0) {
        return undefined;
    }
    const ownPlace = hashText(`${leader.epoch} ${own.address}`);
    const before = others.filter(({ address, cores }) =>
        !isMuchLarger(own.cores, cores) && hashText(`${leader.epoch} ${address}`) < ownPlace
    );
    return Math.min(LONGEST_TURN_MS, before.length * CLAIM_TURN_MS);
}
