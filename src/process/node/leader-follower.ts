/** A node's time behind a leader: the link to it, what it tells, and why to claim its place. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { LinkNetwork } from "../../connection/link-network.js";
import type { EpochHistory } from "../leadership/epoch-history.js";
import { readLeader } from "../leadership/leader-record.js";
import type { LeaderView } from "../leadership/leader-record.js";
import { computeTimeoutFactor } from "../leadership/timeout-factor.js";
import type { StorePort } from "../ports/index.js";
import type { Log } from "../telemetry.js";
import type { ClaimPatience } from "./claim-patience.js";
import { CatchUpPatience } from "./config-catch-up.js";
import type { ConfigCatchUp } from "./config-catch-up.js";
import type { ConfigHolder } from "./config-holder.js";
import { shouldOffer, shouldOvertake } from "./larger-node.js";
import { connectToLeader } from "./leader-dialer.js";
import type { LeaderLink } from "./leader-dialer.js";
import type { LeaderReach } from "./leader-reach.js";
import type { NodeNote, StatusNote } from "./messages.js";
import type { PeerBook } from "./peer-book.js";
import { isQuickLook, SilencedLeader } from "./silenced-leader.js";

/** What a follower is made from. */
export interface LeaderFollowerOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly network: LinkNetwork;
    readonly storePort: StorePort;
    readonly config: ConfigHolder;
    readonly catchUp: ConfigCatchUp;
    readonly peers: PeerBook;
    readonly reach: LeaderReach;
    readonly epochs: EpochHistory;
    readonly patience: ClaimPatience;
    /** Processor time of this VM, in cores. */
    readonly cores: number;
    readonly buildStatus: () => StatusNote;
    readonly handleCall: (body: unknown) => Promise<unknown>;
    /** A node that shuts down follows for its last callers and claims nothing. */
    readonly isDraining: () => boolean;
    readonly isClosed: () => boolean;
}

/** How often the leader's state is looked at. */
const LOOK_MS: Millis = 100;
const OFFER_EVERY_MS: Millis = 1_000;
/** A leader that was heard within this time is heard: two beats. */
const HEARD_MS: Millis = 350;
/** Time for the look at the store before an offer. */
const OFFER_LOOK_MS: Millis = 500;

/** The follower; see the module comment. */
export class LeaderFollower {
    private link: LeaderLink | undefined;
    private handoverEpoch: number | undefined;
    private offeredAt: Millis = -Infinity;
    private readonly silenced: SilencedLeader;

    constructor(private readonly options: LeaderFollowerOptions) {
        this.silenced = new SilencedLeader(options);
    }

    /** Returns the link to the leader while it is up. */
    getLink(): LeaderLink | undefined {
        return this.link;
    }

    /** Gives the leader a configuration that it lacks; tells whether it does. */
    offerConfig(): boolean {
        const { link } = this;
        return link?.status !== undefined &&
            this.options.catchUp.offerNewer(link, link.status.configVersion);
    }

    /** Returns what the leader last said of itself. */
    getLeaderStatus(): StatusNote | undefined {
        return this.link?.status;
    }

    /** Returns the epoch of a leader that was heard a moment ago. */
    getHeardEpoch(): number | undefined {
        const { link } = this;
        return link !== undefined && link.link.getSilenceMs() < HEARD_MS ?
            link.status?.leadsEpoch :
            undefined;
    }

    /** Tells the leader at once how this node is. */
    sendStatus(): void {
        this.link?.link.note(this.options.buildStatus());
    }

    /** Tells whether the leader of an epoch gave its place to this node. */
    isHeirOf(epoch: number | undefined): boolean {
        return epoch !== undefined && this.handoverEpoch === epoch;
    }

    /** Ends the link. */
    close(reason: string): void {
        this.link?.link.close(reason);
    }

    /**
     * Follows a leader for as long as it is there.
     * @param view - What is known of the leader.
     * @returns Why to claim its place, or undefined to look again.
     */
    async follow(view: LeaderView): Promise<string | undefined> {
        const { options } = this;
        const { clock, reach } = options;
        const isLeftAlone = this.isLeftAlone(view);
        const mayClaim = !options.isDraining() && !isLeftAlone;
        const early = mayClaim ? reach.decideBeforeAttempt(view, clock.now()) : undefined;
        if (early !== undefined) {
            return early;
        }
        if (mayClaim && await this.isSilentForAll(view)) {
            return "the leader's link is silent, and no other node hears it";
        }
        const result = await connectToLeader(options.network, view.record?.address ?? "", clock, {
            buildStatus: options.buildStatus,
            handleCall: options.handleCall,
            slowness: computeTimeoutFactor(view.record?.cores),
            handleNote: (link, note) => this.handleNote(link, note),
        });
        if (result.kind !== "up") {
            // A refused connection shows that the process has ended.
            return options.isDraining() || result.kind === "silent" && isLeftAlone ?
                undefined :
                reach.decideOnFailure(view, result.kind, clock.now());
        }
        const reason = await this.watchLeader(result.link, view);
        this.link = undefined;
        return options.isDraining() ? undefined : reason;
    }

    private isLeftAlone({ record }: LeaderView): boolean {
        const { clock, epochs, patience } = this.options;
        const now = clock.now();
        return patience.computeRemaining(record, epochs.findFirstSeen(record?.epoch ?? 0, now), now) > 0;
    }

    /**
     * Tells whether a leader whose link has just gone silent is silent for other nodes too.
     *
     * @remarks Failure guarded against: the leader's VM loses power. Nothing closes its connections, and the store keeps its
     * lease until it runs out, so callers wait for as long. Nodes that agree need not wait for the lease: a claim is safe
     * at any time, and one that was needless costs only a load of the journal.
     */
    private async isSilentForAll(view: LeaderView): Promise<boolean> {
        const { options } = this;
        const { record } = view;
        const now = options.clock.now();
        if (
            record === undefined || options.isDraining() || !options.reach.isFreshlySilent(record.epoch, now)
        ) {
            return false;
        }
        return options.peers.isUnheard(record, options.clock, options.buildStatus);
    }

    /** Stays with a leader until its link closes, it no longer leads, or this node should take its place. */
    private async watchLeader(leaderLink: LeaderLink, view: LeaderView): Promise<string | undefined> {
        const { clock, log, reach } = this.options;
        const epoch = view.record?.epoch ?? 0;
        this.link = leaderLink;
        log.info("leaderFound", { epoch, nodeName: view.record?.nodeName });
        const begin = clock.now();
        let isLinkClosed = false;
        void leaderLink.closed.then(message => {
            isLinkClosed = true;
            reach.observeLinkLost(epoch, clock.now(), leaderLink.link.wasSilent);
            log.warn("CR1632", "leaderLost", { epoch, message });
        });
        while (!isLinkClosed && !this.options.isClosed()) {
            await Promise.race([leaderLink.closed, sleep(clock, LOOK_MS)]);
            if (leaderLink.status?.leadsEpoch !== undefined) {
                reach.observeLeader();
                this.options.epochs.observe(leaderLink.status.leadsEpoch, clock.now());
                if (!leaderLink.status.isLoading) {
                    this.options.patience.observeReady(leaderLink.status.leadsEpoch);
                }
            }
            // One that has not said anything yet may be busy: its link is closed once it is silent.
            const hasLeft = leaderLink.status !== undefined && leaderLink.status.leadsEpoch !== epoch &&
                clock.now() - begin > LOOK_MS;
            if (this.isHeirOf(epoch) || hasLeft) {
                leaderLink.link.close("it no longer leads");
                return this.isHeirOf(epoch) ? "the leader handed over" : undefined;
            }
            if (!this.options.isDraining() && await this.silenced.shouldReplace(leaderLink)) {
                leaderLink.link.close("it cannot reach the store");
                return "the leader cannot reach the store, this node can";
            }
            const followedMs = clock.now() - begin;
            if (this.mayOvertake(leaderLink, followedMs)) {
                leaderLink.link.close("a larger node takes its place");
                return "a much smaller node leads and has not loaded the journal yet";
            }
            void this.offerToLead(leaderLink, epoch, followedMs);
        }
        return undefined;
    }

    private mayOvertake({ status }: LeaderLink, followedMs: Millis): boolean {
        return !this.options.isDraining() && status !== undefined &&
            shouldOvertake(this.options.cores, status, followedMs);
    }

    /** Offers to lead in place of a leader on a much smaller VM, again and again: one that still loads takes none. */
    private async offerToLead(leaderLink: LeaderLink, epoch: number, followedMs: Millis): Promise<void> {
        const { options } = this;
        const { status } = leaderLink;
        const isOffered = options.clock.now() - this.offeredAt < OFFER_EVERY_MS;
        if (
            isOffered || options.isDraining() || status === undefined ||
            !shouldOffer(options.cores, status.cores, followedMs)
        ) {
            return;
        }
        this.offeredAt = options.clock.now();
        const askedAt = options.clock.now();
        const view = await readLeader(options.storePort, OFFER_LOOK_MS);
        if (view?.record?.epoch === epoch && isQuickLook(options.clock.now() - askedAt)) {
            options.log.info("leadershipOffered", {
                epoch,
                cores: options.cores,
                leaderCores: status.cores,
            });
            leaderLink.link.note({ kind: "offer", epoch } satisfies NodeNote);
        }
    }

    private handleNote(link: LeaderLink, note: NodeNote): void {
        switch (note.kind) {
            case "config":
                this.options.config.accept(note.config, "leader");
                return;
            case "configWanted":
                this.options.catchUp.sendNewer(link, note.version);
                return;
            case "handover":
                this.handoverEpoch = note.epoch;
                link.link.close("it handed over");
                return;
            case "members":
                this.options.peers.setMembers(note.members);
                this.options.log.info("peersChanged", { nodes: note.members.length });
                return;
            case "status":
                this.options.catchUp.observeVersion(link, note.configVersion, CatchUpPatience.follower);
                return;
            case "offer":
                // Followers make offers, leaders take them.
                return;
        }
    }
}
