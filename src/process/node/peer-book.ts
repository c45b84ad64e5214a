/** Other nodes of the cluster, as the last leader named them. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { LinkNetwork } from "../../connection/link-network.js";
import { connectToLeader } from "./leader-dialer.js";
import type { LeaderHint, NodeAnswer, NodeMember, StatusNote } from "./messages.js";

/** Time for a node's first status. */
const STATUS_TIMEOUT_MS: Millis = 300;
/**
 * Nodes asked in one round. The store turns away a part of the nodes at worst, so one of a few nearly always knows the
 * leader; if each asked all nodes of a large cluster, they would flood it with connections.
 */
const ASKED_NODES = 5;
/** Time for answers whether a leader is heard: a node that is well answers much sooner. */
const VOTE_MS: Millis = 150;

/**
 * Addresses of nodes.
 *
 * @remarks Failure guarded against: the store turns some nodes away for seconds, the leader among them. The others get
 * a new leader; those that were turned away cannot read who it is, and refuse every caller until the store lets them in
 * again. Any node that follows the new leader can tell.
 */
export class PeerBook {
    private members: readonly NodeMember[] = [];

    /**
     * @param random - Picks whom to ask.
     * @param network - Reaches them.
     */
    constructor(private readonly random: Random, private readonly network: LinkNetwork) {}

    /** Takes in the newest list. */
    setMembers(members: readonly NodeMember[]): void {
        this.members = members;
    }

    /** Returns the newest list. */
    getMembers(): readonly NodeMember[] {
        return this.members;
    }

    /** Returns the processor time of the largest node, in cores; 0 while none is known. */
    getMostCores(): number {
        return this.members.reduce((most, { cores }) => Math.max(most, cores), 0);
    }

    /**
     * Asks some of the known nodes at once which leader they follow.
     * @param clock - For timeouts.
     * @param buildStatus - What this node says of itself.
     * @returns The leader with the highest epoch; undefined if nobody knows one.
     */
    async findLeader(clock: Clock, buildStatus: () => StatusNote): Promise<LeaderHint | undefined> {
        const statuses = await Promise.all(
            this.pickOthers(buildStatus().address).map(address =>
                queryNode(this.network, address, clock, buildStatus)
            ),
        );
        const hints = statuses.map(status => status?.leader);
        return hints.reduce((best, hint) => (hint?.epoch ?? 0) > (best?.epoch ?? 0) ? hint : best, undefined);
    }

    /**
     * Asks some of the known nodes at once whether they hear a leader.
     * @param leader - The leader's address and epoch.
     * @param clock - For timeouts.
     * @param buildStatus - What this node says of itself.
     * @returns Whether some answered and none of them hears it, or a later one.
     */
    async isUnheard(leader: LeaderHint, clock: Clock, buildStatus: () => StatusNote): Promise<boolean> {
        let answers = 0;
        let isHeard = false;
        const asked = this.pickOthers(buildStatus().address, leader.address);
        const queries = asked.map(async address => {
            const status = await queryNode(this.network, address, clock, buildStatus);
            answers += status === undefined ? 0 : 1;
            isHeard ||= (status?.heardEpoch ?? 0) >= leader.epoch;
        });
        await Promise.race([Promise.all(queries), sleep(clock, VOTE_MS)]);
        return answers > 0 && !isHeard;
    }

    private pickOthers(...excluded: readonly string[]): readonly string[] {
        const others = this.members.map(({ address }) => address).filter(address =>
            !excluded.includes(address)
        );
        return pickSome(others, ASKED_NODES, this.random);
    }
}

/** Picks some elements, each as likely as the others. */
function pickSome<Element>(
    elements: readonly Element[],
    count: number,
    random: Random,
): readonly Element[] {
    const left = [...elements];
    const picked: Element[] = [];
    while (picked.length < count && left.length > 0) {
        picked.push(...left.splice(random.pickInt(left.length), 1));
    }
    return picked;
}

async function queryNode(
    network: LinkNetwork,
    address: string,
    clock: Clock,
    buildStatus: () => StatusNote,
): Promise<StatusNote | undefined> {
    const result = await connectToLeader(network, address, clock, {
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
    return result.link.status;
}
