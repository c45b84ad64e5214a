/**
 * A node of the cluster: it serves callers through the leader and can become the leader itself.
 *
 * @remarks All nodes are equal and any number of them may fail. The leader record in the store names the
 * leader. A claim is a single conditional write that needs no quorum of nodes, so even the last remaining
 * node can lead.
 */
import type { Millis } from "../../common/clock.js";
import type { LinkNetwork } from "../../connection/link-network.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import { EpochHistory } from "../leadership/epoch-history.js";
import type { ConfigSubscription } from "../ports/cluster-sources.js";
import type { AdvicePort } from "../ports/task-worker-port.js";
import { CatchUpDelay, ConfigCatchUp } from "./config-catch-up.js";
import { isMuchLarger } from "./larger-node.js";
import { LeaderFollower } from "./leader-follower.js";
import { LeaderNotifier } from "./leader-notifier.js";
import { LeaderReachability } from "./leader-reachability.js";
import { LeaderSearch } from "./leader-search.js";
import { LeaderStartupGrace } from "./leader-startup-grace.js";
import { LeadershipTerm } from "./leadership-term.js";
import type { LeadershipOptions, WonClaim } from "./leadership-term.js";
import { LinkServer } from "./link-server.js";
import type { InboundLink } from "./link-server.js";
import type { LeaderHint, NodeAnswer, NodeCall, NodeNotification, NodeStatus } from "./messages.js";
import { PeerRegistry } from "./peer-registry.js";
import { addRemoteCaller } from "./remote-advice.js";
import { serveCaller } from "./serve-caller.js";
import type { LeaderRoute } from "./serve-caller.js";

const DEFAULT_MAX_INBOUND_LINKS = 1_000;

/** Dependencies and settings of a node. */
export interface ClusterNodeOptions extends Omit<LeadershipOptions, "epochs" | "confirmConfig"> {
    readonly name: string;
    readonly host: string;
    /** Connections to and from other nodes. */
    readonly network: LinkNetwork;
    /** Port for links from other nodes; 0 lets the operating system pick one. */
    readonly port: number;
    readonly advicePort: AdvicePort;
    /** Processor time of the VM, in cores. Larger nodes are preferred as leader. */
    readonly cores: number;
    /** Most links that other nodes may have opened. */
    readonly maxInboundLinks?: number;
}

/** A leader that stepped down claims the leadership back if its successor has not claimed it by then. */
const SUCCESSOR_TIMEOUT_MS: Millis = 1_000;

/** A node that follows the leader, or leads. */
export class ClusterNode {
    private readonly server: LinkServer;
    private address = "";
    private term: LeadershipTerm | undefined;
    private readonly follower: LeaderFollower;
    private configWatch: ConfigSubscription | undefined;
    private readonly identifiedLinks = new WeakSet<InboundLink>();
    private readonly search: LeaderSearch;
    private readonly notifier: LeaderNotifier;
    private readonly epochs = new EpochHistory();
    /** The leadership that this node last gave up. */
    private handover: { readonly epoch: number; readonly at: Millis; } | undefined;
    private isDraining = false;
    private closed = false;

    private readonly catchUp: ConfigCatchUp;

    constructor(private readonly options: ClusterNodeOptions) {
        this.catchUp = new ConfigCatchUp(options);
        const peers = new PeerRegistry(options.random, options.network);
        const shared = {
            ...options,
            peers,
            catchUp: this.catchUp,
            reachability: new LeaderReachability(),
            epochs: this.epochs,
            startupGrace: new LeaderStartupGrace(),
            buildStatus: () => this.buildStatus(),
            isDraining: () => this.isDraining,
            isClosed: () => this.closed,
        };
        this.follower = new LeaderFollower({ ...shared, handleCall: body => this.handleCall(body) });
        this.search = new LeaderSearch({
            ...shared,
            follower: this.follower,
            isReservedForSuccessor: epoch => this.isReservedForSuccessor(epoch),
            runLeadership: claim => this.runLeadership(claim),
        });
        this.notifier = new LeaderNotifier({
            ...shared,
            getLinks: () => this.server.links,
            getTerm: () => this.term,
        });
        this.server = new LinkServer(options.network, options.clock, options.log, {
            buildStatus: () => this.buildStatus(),
            handleCall: body => this.handleCall(body),
            handleNotification: (inbound, note) => this.handleInboundNotification(inbound, note),
            handleClosed: inbound => this.handleInboundClosed(inbound),
        }, options.maxInboundLinks ?? DEFAULT_MAX_INBOUND_LINKS);
    }

    /** Opens the node's port and starts the search for a leader. */
    async open(): Promise<void> {
        const { options } = this;
        const port = await this.server.open(options.host, options.port);
        this.address = `${options.host}:${port}`;
        options.config.subscribe(() => this.term?.handleConfig());
        this.configWatch = options.configSource.follow(config => options.config.accept(config, "store"));
        void this.search.run();
    }

    /** Returns whether this node can serve callers. */
    isReady(): boolean {
        const hasLeader = this.term?.isReady() === true ||
            this.follower.getLeaderStatus()?.leadsEpoch !== undefined;
        return !this.isDraining && this.options.config.get().version > 0 && hasLeader;
    }

    /**
     * Serves a caller's request through the leader.
     * @param timeoutMs - How long the caller waits for its answer.
     */
    serve(request: CallerRequest, timeoutMs: Millis): Promise<CallerReply> {
        return serveCaller(this.buildLeaderRoute(), request, timeoutMs);
    }

    /** Builds the status that this node sends to other nodes. */
    buildStatus(): NodeStatus {
        return {
            kind: "status",
            nodeName: this.options.name,
            address: this.address,
            leadsEpoch: this.term?.claim.epoch,
            isLoading: this.term?.isReady() === false,
            leader: this.findHint(),
            heardEpoch: this.term?.claim.epoch ?? this.follower.getConnectedEpoch(),
            storeSilenceMs: this.term?.getStoreSilenceMs() ?? 0,
            latenessMs: Math.round(this.term?.getLatenessMs() ?? 0),
            configVersion: this.options.config.get().version,
            cores: this.options.cores,
            isDraining: this.isDraining,
        };
    }

    /** First step of a shutdown: hands the leadership over. Callers are still served. */
    async startDraining(): Promise<void> {
        this.isDraining = true;
        this.follower.sendStatus();
        const successor = [...this.server.links].find(inbound => inbound.status?.isDraining === false);
        await this.releaseLeadership("this node shuts down", successor);
    }

    /** Last step of a shutdown: closes all links and the port. */
    close(): void {
        this.closed = true;
        void this.term?.release("this node has shut down");
        this.configWatch?.stop();
        this.notifier.close();
        this.follower.close("this node shuts down");
        this.server.close();
    }

    /** Steps down, and notifies the successor if there is one. */
    private async releaseLeadership(reason: string, successor: InboundLink | undefined): Promise<void> {
        const { term } = this;
        if (term === undefined) {
            return;
        }
        const { epoch } = term.claim;
        this.handover = { epoch, at: this.options.clock.now() };
        await term.release(reason);
        successor?.link.notify({ kind: "handover", epoch } satisfies NodeNotification);
    }

    /** Leads under a claim that was won, until this node is deposed or steps down. */
    private async runLeadership(claim: WonClaim): Promise<void> {
        const { options } = this;
        const term = new LeadershipTerm({
            ...options,
            epochs: this.epochs,
            confirmConfig: timeout => this.configWatch?.confirm(timeout) ?? Promise.resolve(false),
        }, claim);
        this.term = term;
        this.addCallers(term);
        this.notifier.publishMembers();
        this.notifier.watchStoreSilence(term);
        options.log.info("leadershipWon", { epoch: claim.epoch, wasHandedOver: claim.wasHandedOver });
        await term.ended;
        this.term = undefined;
    }

    private addCallers(term: LeadershipTerm): void {
        const { advicePort, name } = this.options;
        term.addCaller({
            nodeName: name,
            requestPermits: (step, workerIds, timeout) => advicePort.requestPermits(step, workerIds, timeout),
        });
        this.server.links.forEach(inbound => addRemoteCaller(term, inbound));
    }

    /** Builds the route to the leader. It is evaluated anew for each attempt of a request. */
    private buildLeaderRoute(): LeaderRoute {
        return {
            clock: this.options.clock,
            getConfig: () => this.options.config.get(),
            isConfigAsNewAsLeaders: () => this.isConfigAsNewAsLeaders(),
            getTerm: () => this.term,
            getLink: () => this.follower.getLink()?.link,
            offerConfig: () => this.follower.offerConfig(),
        };
    }

    /** Returns whether the leader, as far as this node has heard from it, has no newer configuration than this node. */
    private isConfigAsNewAsLeaders(): boolean {
        const status = this.follower.getLeaderStatus();
        return this.term !== undefined ||
            status?.leadsEpoch !== undefined && status.configVersion <= this.options.config.get().version;
    }

    private async handleCall(body: unknown): Promise<NodeAnswer> {
        const call = body as NodeCall;
        if (call.kind === "advise") {
            const answer = await this.options.advicePort.requestPermits(
                call.step,
                call.workerIds,
                call.timeoutMs,
            );
            return { kind: "advised", answer };
        }
        const { term } = this;
        return term === undefined ?
            { kind: "notLeading" } :
            { kind: "served", reply: await term.serve(call.request) };
    }

    private handleInboundNotification(inbound: InboundLink, notification: NodeNotification): void {
        if (notification.kind === "config") {
            this.options.config.accept(notification.config, "follower");
        }
        if (notification.kind === "configWanted") {
            this.catchUp.sendNewer(inbound, notification.version);
        }
        if (notification.kind === "offer") {
            this.acceptOffer(inbound, notification.epoch);
        }
        if (notification.kind !== "status") {
            return;
        }
        this.catchUp.observeVersion(inbound, notification.configVersion, CatchUpDelay.leader);
        if (this.term !== undefined && !this.identifiedLinks.has(inbound)) {
            addRemoteCaller(this.term, inbound);
            this.notifier.publishMembers();
        }
        this.identifiedLinks.add(inbound);
    }

    /** Hands over to a follower on a much larger VM that offers to lead. */
    private acceptOffer(inbound: InboundLink, epoch: number): void {
        const { term } = this;
        const isUsable = inbound.status !== undefined && !inbound.status.isDraining &&
            isMuchLarger(inbound.status.cores, this.options.cores);
        if (isUsable && term?.isReady() === true && term.claim.epoch === epoch && !this.isHandedOver(epoch)) {
            void this.releaseLeadership("a larger node can lead", inbound);
        }
    }

    private isHandedOver(epoch: number): boolean {
        return this.handover?.epoch === epoch;
    }

    /** Returns whether this node handed an epoch over so recently that the next claim is the successor's. */
    private isReservedForSuccessor(epoch: number): boolean {
        const { handover } = this;
        return handover?.epoch === epoch && this.options.clock.now() - handover.at < SUCCESSOR_TIMEOUT_MS;
    }

    private findHint(): LeaderHint | undefined {
        if (this.term !== undefined) {
            return { epoch: this.term.claim.epoch, address: this.address };
        }
        const status = this.follower.getLeaderStatus();
        return status?.leadsEpoch === undefined ?
            undefined :
            { epoch: status.leadsEpoch, address: status.address };
    }

    private handleInboundClosed(inbound: InboundLink): void {
        const nodeName = inbound.status?.nodeName;
        const remaining = [...this.server.links].find(other => other.status?.nodeName === nodeName);
        if (nodeName === undefined || this.term === undefined) {
            return;
        }
        if (remaining === undefined) {
            this.term.removeCaller(nodeName);
            return;
        }
        // Advice requests through a node use its newest link and would all fail if it were kept once closed.
        addRemoteCaller(this.term, remaining);
    }
}
