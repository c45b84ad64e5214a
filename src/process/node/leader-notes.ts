/** What a leader tells all its followers without being asked: who the nodes are, and that the store is silent. */
import type { Clock, Millis, Timer } from "../../common/clock.js";
import type { LeaderSeat } from "./leader-seat.js";
import type { InboundLink } from "./link-server.js";
import type { NodeMember, NodeNote, StatusNote } from "./messages.js";
import type { PeerBook } from "./peer-book.js";
import { isSilence } from "./silenced-leader.js";

/** What a leader's notes are made from. */
export interface LeaderNotesOptions {
    readonly clock: Clock;
    /** Gets the same list as the followers. */
    readonly peers: PeerBook;
    /** Returns the links that followers have opened. */
    readonly getLinks: () => ReadonlySet<InboundLink>;
    /** Set while this node leads. */
    readonly getSeat: () => LeaderSeat | undefined;
    readonly buildStatus: () => StatusNote;
}

/** How often a leader without answers of the store tells its followers. */
const SILENCE_CHECK_MS: Millis = 100;
/** Nodes come and go in groups: all of a group are told of in one message to each. */
const MEMBERS_DELAY_MS: Millis = 250;

/** The notes; see the module comment. */
export class LeaderNotes {
    private membersTimer: Timer | undefined;

    constructor(private readonly options: LeaderNotesOptions) {}

    /** Tells all followers of each other, so that they find a leader while the store turns them away. */
    publishMembers(): void {
        this.membersTimer ??= this.options.clock.schedule(MEMBERS_DELAY_MS, () => {
            this.membersTimer = undefined;
            const members = this.listMembers();
            this.options.peers.setMembers(members);
            this.options.getLinks().forEach(({ link }) =>
                link.note({ kind: "members", members } satisfies NodeNote)
            );
        });
    }

    /**
     * Watches the store's answers to a leader: while there are none, its followers hear of it sooner than with the next
     * beat.
     * @param seat - The leadership; the watch ends with it.
     */
    noteSilence(seat: LeaderSeat): void {
        const { clock, getSeat, getLinks, buildStatus } = this.options;
        if (getSeat() !== seat) {
            return;
        }
        if (isSilence(seat.getStoreSilenceMs())) {
            getLinks().forEach(({ link }) => link.note(buildStatus()));
        }
        clock.schedule(SILENCE_CHECK_MS, () => this.noteSilence(seat));
    }

    /** Drops a list of members that is about to be sent. */
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
