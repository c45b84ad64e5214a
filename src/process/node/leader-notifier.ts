/** Notifications from a leader to all its followers: the members, and that the store is silent. */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { LeadershipTerm } from "./leadership-term.js";
import type { InboundLink } from "./link-server.js";
import type { NodeMember, NodeNotification, NodeStatus } from "./messages.js";
import type { PeerRegistry } from "./peer-registry.js";
import { isStoreSilent } from "./store-isolation-detector.js";

/** Dependencies of a leader's notifier. */
export interface LeaderNotifierOptions {
    readonly clock: Clock;
    /** Gets the same list of members as the followers. */
    readonly peers: PeerRegistry;
    /** Returns the open links from followers. */
    readonly getLinks: () => ReadonlySet<InboundLink>;
    /** Returns this node's leadership; undefined while another node leads. */
    readonly getTerm: () => LeadershipTerm | undefined;
    readonly buildStatus: () => NodeStatus;
}

/** How often the store's silence is checked and, while it lasts, the status is sent to followers. */
const SILENCE_CHECK_MS: Millis = 100;
/** Nodes often join and leave in groups: this delay combines the changes into one notification. */
const MEMBERS_DELAY_MS: Millis = 250;

/** Notifies the followers of this node while it leads. */
export class LeaderNotifier {
    private membersTimer: Timer | undefined;

    constructor(private readonly options: LeaderNotifierOptions) {}

    /** Sends followers the list of members, so that they can find a leader while the store refuses them. */
    publishMembers(): void {
        this.membersTimer ??= this.options.clock.schedule(MEMBERS_DELAY_MS, () => {
            this.membersTimer = undefined;
            const members = this.listMembers();
            this.options.peers.setMembers(members);
            this.options.getLinks().forEach(({ link }) =>
                link.notify({ kind: "members", members } satisfies NodeNotification)
            );
        });
    }

    /**
     * Watches for a store that does not answer the leader. Followers then get the status before the next
     * heartbeat is due.
     * @param term - The leadership; the watch ends with it.
     */
    watchStoreSilence(term: LeadershipTerm): void {
        const { clock, getTerm, getLinks, buildStatus } = this.options;
        if (getTerm() !== term) {
            return;
        }
        if (isStoreSilent(term.getStoreSilenceMs())) {
            getLinks().forEach(({ link }) => link.notify(buildStatus()));
        }
        clock.schedule(SILENCE_CHECK_MS, () => this.watchStoreSilence(term));
    }

    /** Cancels a list of members that is waiting to be sent. */
    close(): void {
        this.membersTimer?.cancel();
    }

    private listMembers(): readonly NodeMember[] {
        const members = new Map<string, NodeMember>();
        for (const { status } of this.options.getLinks()) {
            if (status !== undefined) {
                members.set(status.address, { address: status.address, cores: status.cores });
            }
        }
        const { address, cores } = this.options.buildStatus();
        members.set(address, { address, cores });
        return [...members.values()];
    }
}
