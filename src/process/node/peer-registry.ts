/** The nodes of the cluster, as last reported by the leader. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { appendAll } from "../../common/lists.js";
import type { Random } from "../../common/random.js";
import type { LinkNetwork } from "../../connection/link-network.js";
import { connectToLeader } from "./leader-dialer.js";
import type { LeaderHint, NodeAnswer, NodeMember, NodeStatus } from "./messages.js";

/** Timeout for a queried node's first status. */
const STATUS_TIMEOUT_MS: Millis = 300;
/**
 * Nodes queried in one round. The store refuses only some of the nodes at worst, so one of a few nearly
 * always knows the leader. Queries of each node to all others would flood a large cluster with connections.
 */
const QUERY_FANOUT = 5;
/** Timeout for queries whether a leader is reachable: a healthy node answers much sooner. */
const REACHABILITY_QUERY_MS: Millis = 150;

/**
 * Keeps the list of members and queries them about the leader.
 *
 * @remarks If the store refuses some nodes for seconds, the leader among them, the others get a new leader.
 * The refused nodes cannot read the leader record and would have to refuse every caller; any node that
 * follows the new leader can tell them its address.
 */
export class PeerRegistry {
    private members: readonly NodeMember[] = [];

    /** @param random - Picks the nodes to query. */
    constructor(private readonly random: Random, private readonly network: LinkNetwork) {}

    /** Replaces the list of members. */
    setMembers(members: readonly NodeMember[]): void {
        this.members = members;
    }

    /** Returns the list of members. */
    getMembers(): readonly NodeMember[] {
        return this.members;
    }

    /** Returns the processor time of the largest known node, in cores; 0 if none is known. */
    getMaxCores(): number {
        return this.members.reduce((most, { cores }) => Math.max(most, cores), 0);
    }

    /**
     * Queries some of the other members in parallel for the leader that they follow.
     * @param buildStatus - Builds this node's status, which the queried nodes receive.
     * @returns The leader with the highest epoch; undefined if none of them knows one.
     */
    async findLeader(clock: Clock, buildStatus: () => NodeStatus): Promise<LeaderHint | undefined> {
        const statuses = await Promise.all(
            this.pickOthers(buildStatus().address).map(address =>
                queryNode(this.network, address, clock, buildStatus)
            ),
        );
        const hints = statuses.map(status => status?.leader);
        return hints.reduce((best, hint) => (hint?.epoch ?? 0) > (best?.epoch ?? 0) ? hint : best, undefined);
    }

    /**
     * Queries some of the other members in parallel whether they can reach a leader.
     * @param buildStatus - Builds this node's status, which the queried nodes receive.
     * @returns True if at least one answered and none of them can reach this leader or one of a later epoch.
     */
    async isUnreachable(leader: LeaderHint, clock: Clock, buildStatus: () => NodeStatus): Promise<boolean> {
        let answers = 0;
        let isReachable = false;
        const queried = this.pickOthers(buildStatus().address, leader.address);
        const queries = queried.map(async address => {
            const status = await queryNode(this.network, address, clock, buildStatus);
            answers += status === undefined ? 0 : 1;
            isReachable ||= (status?.heardEpoch ?? 0) >= leader.epoch;
        });
        await Promise.race([Promise.all(queries), sleep(clock, REACHABILITY_QUERY_MS)]);
        return answers > 0 && !isReachable;
    }

    private pickOthers(...excluded: readonly string[]): readonly string[] {
        const others = this.members.map(({ address }) => address).filter(address =>
            !excluded.includes(address)
        );
        return pickSome(others, QUERY_FANOUT, this.random);
    }
}

/** Picks a uniform random sample without replacement. */
function pickSome<Element>(
    elements: readonly Element[],
    count: number,
    random: Random,
): readonly Element[] {
    const remaining = [...elements];
    const picked: Element[] = [];
    while (picked.length < count && remaining.length > 0) {
        appendAll(picked, remaining.splice(random.pickInt(remaining.length), 1));
    }
    return picked;
}

async function queryNode(
    network: LinkNetwork,
    address: string,
    clock: Clock,
    buildStatus: () => NodeStatus,
): Promise<NodeStatus | undefined> {
    const result = await connectToLeader(network, address, clock, {
        buildStatus,
        handleCall: () => Promise.resolve({ kind: "notLeading" } satisfies NodeAnswer),
        handleNotification: () => undefined,
    });
    if (result.kind !== "up") {
        return undefined;
    }
    const { link, firstStatus, closed } = result.link;
    await Promise.race([firstStatus, closed, sleep(clock, STATUS_TIMEOUT_MS)]);
    link.close("the status query has ended");
    return result.link.status;
}
