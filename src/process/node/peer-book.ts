/** Other nodes of the cluster, as the last leader named them. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { connectToLeader } from "./leader-dialer.js";
import type { LeaderHint, NodeAnswer, StatusNote } from "./messages.js";

/** Time for a node's first status. */
const STATUS_TIMEOUT_MS: Millis = 300;

/**
 * Addresses of nodes.
 *
 * @remarks Failure guarded against: the store turns some nodes away for seconds, the leader among them. The others get
 * a new leader; those that were turned away cannot read who it is, and refused every caller until the store let them in
 * again. Any node that follows the new leader can tell.
 */
export class PeerBook {
    private addresses: readonly string[] = [];

    /** Takes in the newest list. */
    setAddresses(addresses: readonly string[]): void {
        this.addresses = addresses;
    }

    /**
     * Asks all known nodes at once which leader they follow.
     * @param clock - For timeouts.
     * @param buildStatus - What this node says of itself.
     * @returns The leader with the highest epoch; undefined if nobody knows one.
     */
    async findLeader(clock: Clock, buildStatus: () => StatusNote): Promise<LeaderHint | undefined> {
        const own = buildStatus().address;
        const others = this.addresses.filter(address => address !== own);
        const hints = await Promise.all(others.map(address => queryNode(address, clock, buildStatus)));
        return hints.reduce((best, hint) => (hint?.epoch ?? 0) > (best?.epoch ?? 0) ? hint : best, undefined);
    }
}

async function queryNode(
    address: string,
    clock: Clock,
    buildStatus: () => StatusNote,
): Promise<LeaderHint | undefined> {
    const result = await connectToLeader(address, clock, {
        buildStatus,
        handleCall: () => Promise.resolve({ kind: "notLeading" } satisfies NodeAnswer),
        handleNote: () => undefined,
    });
    if (result.kind !== "up") {
        return undefined;
    }
    const { link, firstStatus, closed } = result.link;
    await Promise.race([firstStatus, closed, sleep(clock, STATUS_TIMEOUT_MS)]);
    link.close("the question was answered");
    return result.link.status?.leader;
}
