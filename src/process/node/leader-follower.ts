/** Follows a leader over a link and decides when to claim the leadership in its place. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import type { LinkNetwork } from "../../connection/link-network.js";
import type { EpochHistory } from "../leadership/epoch-history.js";
import { readLeader } from "../leadership/leader-record.js";
import type { LeaderView } from "../leadership/leader-record.js";
import { computeTimeoutFactor } from "../leadership/timeout-factor.js";
import type { StorePort } from "../ports/index.js";
import type { Log } from "../telemetry.js";
import { CatchUpDelay } from "./config-catch-up.js";
import type { ConfigCatchUp } from "./config-catch-up.js";
import type { ConfigHolder } from "./config-holder.js";
import { shouldOffer, shouldTakeOver } from "./larger-node.js";
import { connectToLeader } from "./leader-dialer.js";
import type { LeaderLink } from "./leader-dialer.js";
import type { LeaderReachability } from "./leader-reachability.js";
import type { LeaderStartupGrace } from "./leader-startup-grace.js";
import type { NodeNotification, NodeStatus } from "./messages.js";
import type { PeerRegistry } from "./peer-registry.js";
import { isQuickRead, StoreIsolationDetector } from "./store-isolation-detector.js";

/** Dependencies of a follower. */
export interface LeaderFollowerOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly network: LinkNetwork;
    readonly storePort: StorePort;
    readonly config: ConfigHolder;
    readonly catchUp: ConfigCatchUp;
    readonly peers: PeerRegistry;
    readonly reachability: LeaderReachability;
    readonly epochs: EpochHistory;
    readonly startupGrace: LeaderStartupGrace;
    /** Processor time of this VM, in cores. */
    readonly cores: number;
    readonly buildStatus: () => NodeStatus;
    readonly handleCall: (body: unknown) => Promise<unknown>;
    /** While true, the node still follows to serve its last callers, but claims nothing. */
    readonly isDraining: () => boolean;
    readonly isClosed: () => boolean;
}

/** How often the leader's state is checked. */
const CHECK_INTERVAL_MS: Millis = 100;
const OFFER_INTERVAL_MS: Millis = 1_000;
/** A leader counts as connected if something was received from it within this time: two heartbeats. */
const RECENT_CONTACT_MS: Millis = 350;
/** Timeout of the store read that precedes an offer. */
const OFFER_READ_TIMEOUT_MS: Millis = 500;

/** A node's role while another node leads. */
export class LeaderFollower {
    private link: LeaderLink | undefined;
    private handoverEpoch: number | undefined;
    private lastOfferAt: Millis = -Infinity;
    private readonly isolationDetector: StoreIsolationDetector;

    constructor(private readonly options: LeaderFollowerOptions) {
        this.isolationDetector = new StoreIsolationDetector(options);
    }

    /** Returns the link to the leader while it is up. */
    getLink(): LeaderLink | undefined {
        return this.link;
    }

    /** Sends the leader this node's configuration if the leader's is older; returns whether it is. */
    offerConfig(): boolean {
        const { link } = this;
        return link?.status !== undefined &&
            this.options.catchUp.offerNewer(link, link.status.configVersion);
    }

    /** Returns the leader's last status; undefined without a link or before the first status. */
    getLeaderStatus(): NodeStatus | undefined {
        return this.link?.status;
    }

    /** Returns the epoch of the leader if something was received from it recently. */
    getConnectedEpoch(): number | undefined {
        const { link } = this;
        return link !== undefined && link.link.getSilenceMs() < RECENT_CONTACT_MS ?
            link.status?.leadsEpoch :
            undefined;
    }

    /** Sends this node's status to the leader at once, ahead of the next heartbeat. */
    sendStatus(): void {
        this.link?.link.notify(this.options.buildStatus());
    }

    /** Returns whether the leader of an epoch handed over to this node. */
    isSuccessorOf(epoch: number | undefined): boolean {
        return epoch !== undefined && this.handoverEpoch === epoch;
    }

    /** Closes the link. */
    close(reason: string): void {
        this.link?.link.close(reason);
    }

    /**
     * Connects to a leader and follows it until the link is closed or the leadership should change.
     * @returns Why to claim the leadership; undefined if the leader record should be read again.
     */
    async follow(view: LeaderView): Promise<string | undefined> {
        const { options } = this;
        const { clock, reachability } = options;
        const isInStartupGrace = this.isInStartupGrace(view);
        const mayClaim = !options.isDraining() && !isInStartupGrace;
        const earlyReason = mayClaim ? reachability.decideBeforeAttempt(view, clock.now()) : undefined;
        if (earlyReason !== undefined) {
            return earlyReason;
        }
        if (mayClaim && await this.isUnreachableForAll(view)) {
            return "the leader's link is silent and no other node can reach it";
        }
        const result = await connectToLeader(options.network, view.record?.address ?? "", clock, {
            buildStatus: options.buildStatus,
            handleCall: options.handleCall,
            slowness: computeTimeoutFactor(view.record?.cores),
            handleNotification: (link, notification) => this.handleNotification(link, notification),
        });
        if (result.kind !== "up") {
            // A refused connection shows that the process has ended, so its startup grace does not apply.
            return options.isDraining() || result.kind === "silent" && isInStartupGrace ?
                undefined :
                reachability.decideOnFailure(view, result.kind, clock.now());
        }
        const reason = await this.watchLeader(result.link, view);
        this.link = undefined;
        return options.isDraining() ? undefined : reason;
    }

    private isInStartupGrace({ record }: LeaderView): boolean {
        const { clock, epochs, startupGrace } = this.options;
        const now = clock.now();
        return startupGrace.computeRemaining(record, epochs.findFirstSeen(record?.epoch ?? 0, now), now) > 0;
    }

    /**
     * Returns whether a leader whose link has just gone silent is unreachable for other nodes too.
     *
     * @remarks When the leader's VM loses power, nothing closes its connections, and callers would wait until
     * its lease expires in the store. Nodes that agree need not wait: a claim is safe at any time, and a
     * needless one costs only a load of the journal.
     */
    private async isUnreachableForAll(view: LeaderView): Promise<boolean> {
        const { options } = this;
        const { record } = view;
        const now = options.clock.now();
        if (
            record === undefined || options.isDraining() ||
            !options.reachability.isRecentlySilent(record.epoch, now)
        ) {
            return false;
        }
        return options.peers.isUnreachable(record, options.clock, options.buildStatus);
    }

    /** Follows a connected leader until its link closes, it no longer leads or this node takes over. */
    private async watchLeader(leaderLink: LeaderLink, view: LeaderView): Promise<string | undefined> {
        const { clock, log, reachability } = this.options;
        const epoch = view.record?.epoch ?? 0;
        this.link = leaderLink;
        log.info("leaderFound", { epoch, nodeName: view.record?.nodeName });
        const begin = clock.now();
        let isLinkClosed = false;
        void leaderLink.closed.then(message => {
            isLinkClosed = true;
            reachability.observeLinkLost(epoch, clock.now(), leaderLink.link.wasSilent);
            log.warn("CR1632", "leaderLost", { epoch, message });
        });
        while (!isLinkClosed && !this.options.isClosed()) {
            await Promise.race([leaderLink.closed, sleep(clock, CHECK_INTERVAL_MS)]);
            if (leaderLink.status?.leadsEpoch !== undefined) {
                reachability.observeLeader();
                this.options.epochs.observe(leaderLink.status.leadsEpoch, clock.now());
                if (!leaderLink.status.isLoading) {
                    this.options.startupGrace.observeReady(leaderLink.status.leadsEpoch);
                }
            }
            // A leader without a first status may be busy. The link closes by itself if it stays silent.
            const hasSteppedDown = leaderLink.status !== undefined &&
                leaderLink.status.leadsEpoch !== epoch &&
                clock.now() - begin > CHECK_INTERVAL_MS;
            if (this.isSuccessorOf(epoch) || hasSteppedDown) {
                leaderLink.link.close("it no longer leads");
                return this.isSuccessorOf(epoch) ? "the leader handed over" : undefined;
            }
            if (!this.options.isDraining() && await this.isolationDetector.shouldReplace(leaderLink)) {
                leaderLink.link.close("it cannot reach the store");
                return "the leader cannot reach the store, but this node can";
            }
            const followedMs = clock.now() - begin;
            if (this.mayTakeOver(leaderLink, followedMs)) {
                leaderLink.link.close("a larger node takes its place");
                return "the leader is a much smaller node and has not loaded the journal yet";
            }
            void this.offerToLead(leaderLink, epoch, followedMs);
        }
        return undefined;
    }

    private mayTakeOver({ status }: LeaderLink, followedMs: Millis): boolean {
        return !this.options.isDraining() && status !== undefined &&
            shouldTakeOver(this.options.cores, status, followedMs);
    }

    /** Offers to replace a much smaller leader. Repeated, as a leader that is still loading accepts none. */
    private async offerToLead(leaderLink: LeaderLink, epoch: number, followedMs: Millis): Promise<void> {
        const { options } = this;
        const { status } = leaderLink;
        const hasRecentOffer = options.clock.now() - this.lastOfferAt < OFFER_INTERVAL_MS;
        if (
            hasRecentOffer || options.isDraining() || status === undefined ||
            !shouldOffer(options.cores, status.cores, followedMs)
        ) {
            return;
        }
        this.lastOfferAt = options.clock.now();
        const readAt = options.clock.now();
        const view = await readLeader(options.storePort, OFFER_READ_TIMEOUT_MS);
        if (view?.record?.epoch === epoch && isQuickRead(options.clock.now() - readAt)) {
            options.log.info("leadershipOffered", {
                epoch,
                cores: options.cores,
                leaderCores: status.cores,
            });
            leaderLink.link.notify({ kind: "offer", epoch } satisfies NodeNotification);
        }
    }

    private handleNotification(link: LeaderLink, notification: NodeNotification): void {
        switch (notification.kind) {
            case "config":
                this.options.config.accept(notification.config, "leader");
                return;
            case "configWanted":
                this.options.catchUp.sendNewer(link, notification.version);
                return;
            case "handover":
                this.handoverEpoch = notification.epoch;
                link.link.close("it handed over");
                return;
            case "members":
                this.options.peers.setMembers(notification.members);
                this.options.log.info("peersChanged", { nodes: notification.members.length });
                return;
            case "status":
                this.options.catchUp.observeVersion(link, notification.configVersion, CatchUpDelay.follower);
                return;
            case "offer":
                // Only leaders handle offers.
                return;
        }
    }
}
