/**
 * One node of the cluster: it answers callers, through the leader, and leads when its turn comes.
 *
 * @remarks All nodes are alike and any number of them may be lost. The store's leader record says who leads; a claim
 * is one conditional write and needs nobody's consent, so the last node standing goes on alone.
 */
import type { Millis } from "../../common/clock.js";
import type { LinkNetwork } from "../../connection/link-network.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import { EpochHistory } from "../leadership/epoch-history.js";
import type { SourceHandle } from "../ports/cluster-sources.js";
import type { AdvicePort } from "../ports/task-worker-port.js";
import { serveCaller } from "./caller-way.js";
import type { WayToLeader } from "./caller-way.js";
import { ClaimPatience } from "./claim-patience.js";
import { CatchUpPatience, ConfigCatchUp } from "./config-catch-up.js";
import { isMuchLarger } from "./larger-node.js";
import { LeaderFollower } from "./leader-follower.js";
import { LeaderNotes } from "./leader-notes.js";
import { LeaderReach } from "./leader-reach.js";
import { LeaderSearch } from "./leader-search.js";
import { LeaderSeat } from "./leader-seat.js";
import type { LeadingParts, WonClaim } from "./leader-seat.js";
import { LinkServer } from "./link-server.js";
import type { InboundLink } from "./link-server.js";
import type { LeaderHint, NodeAnswer, NodeCall, NodeNote, StatusNote } from "./messages.js";
import { PeerBook } from "./peer-book.js";
import { addRemoteCaller } from "./remote-advice.js";

/** What a node is made from. */
export interface ClusterNodeOptions extends Omit<LeadingParts, "epochs"> {
    readonly name: string;
    readonly host: string;
    /** Connections to and from other nodes. */
    readonly network: LinkNetwork;
    /** Port for links of other nodes; 0 lets the operating system pick one. */
    readonly port: number;
    readonly advicePort: AdvicePort;
    /** Processor time of the VM, in cores: large nodes lead rather than small ones. */
    readonly cores: number;
}

/** A leader that gave its place to another node claims it back if nobody has led for this long. */
const HEIR_PATIENCE_MS: Millis = 1_000;

/** The node; see the module comment. */
export class ClusterNode {
    private readonly server: LinkServer;
    private address = "";
    private seat: LeaderSeat | undefined;
    private readonly follower: LeaderFollower;
    private configHandle: SourceHandle | undefined;
    private readonly knownCallers = new WeakSet<InboundLink>();
    private readonly search: LeaderSearch;
    private readonly notes: LeaderNotes;
    private readonly epochs = new EpochHistory();
    /** The leadership that this node gave to another one. */
    private given: { readonly epoch: number; readonly at: Millis; } | undefined;
    private isDraining = false;
    private closed = false;

    private readonly catchUp: ConfigCatchUp;

    constructor(private readonly options: ClusterNodeOptions) {
        this.catchUp = new ConfigCatchUp(options);
        const peers = new PeerBook(options.random, options.network);
        const shared = {
            ...options,
            peers,
            catchUp: this.catchUp,
            reach: new LeaderReach(),
            epochs: this.epochs,
            patience: new ClaimPatience(),
            buildStatus: () => this.buildStatus(),
            isDraining: () => this.isDraining,
            isClosed: () => this.closed,
        };
        this.follower = new LeaderFollower({ ...shared, handleCall: body => this.handleCall(body) });
        this.search = new LeaderSearch({
            ...shared,
            follower: this.follower,
            isLeftToHeir: epoch => this.isLeftToHeir(epoch),
            runLeadership: claim => this.runLeadership(claim),
        });
        this.notes = new LeaderNotes({
            ...shared,
            getLinks: () => this.server.links,
            getSeat: () => this.seat,
        });
        this.server = new LinkServer(options.network, options.clock, options.log, {
            buildStatus: () => this.buildStatus(),
            handleCall: body => this.handleCall(body),
            handleNote: (inbound, note) => this.handleInboundNote(inbound, note),
            handleClosed: inbound => this.handleInboundClosed(inbound),
        });
    }

    /** Opens the node's port and starts to look for a leader. */
    async open(): Promise<void> {
        const { options } = this;
        const port = await this.server.open(options.host, options.port);
        this.address = `${options.host}:${port}`;
        options.config.subscribe(() => this.seat?.handleConfig());
        this.configHandle = options.configSource.follow(config => options.config.accept(config, "store"));
        void this.search.run();
    }

    /** Tells whether callers' requests can be answered here. */
    isReady(): boolean {
        const hasLeader = this.seat?.isReady() === true ||
            this.follower.getLeaderStatus()?.leadsEpoch !== undefined;
        return !this.isDraining && this.options.config.get().version > 0 && hasLeader;
    }

    /**
     * Answers a caller's request.
     * @param request - What is asked.
     * @param patience - Milliseconds that the caller waits.
     */
    serve(request: CallerRequest, patience: Millis): Promise<CallerReply> {
        return serveCaller(this.buildWay(), request, patience);
    }

    /** Builds what this node says of itself to others. */
    buildStatus(): StatusNote {
        return {
            kind: "status",
            nodeName: this.options.name,
            address: this.address,
            leadsEpoch: this.seat?.claim.epoch,
            isLoading: this.seat?.isReady() === false,
            leader: this.findHint(),
            heardEpoch: this.seat?.claim.epoch ?? this.follower.getHeardEpoch(),
            storeSilenceMs: this.seat?.getStoreSilenceMs() ?? 0,
            latenessMs: Math.round(this.seat?.getLatenessMs() ?? 0),
            configVersion: this.options.config.get().version,
            cores: this.options.cores,
            isDraining: this.isDraining,
        };
    }

    /** First step of a shutdown: the leadership goes to another node; callers are still answered. */
    async startDraining(): Promise<void> {
        this.isDraining = true;
        this.follower.sendStatus();
        const heir = [...this.server.links].find(inbound => inbound.status?.isDraining === false);
        await this.releaseLeadership("this node shuts down", heir);
    }

    /** Last step of a shutdown. */
    close(): void {
        this.closed = true;
        void this.seat?.leave("this node has shut down");
        this.configHandle?.stop();
        this.notes.close();
        this.follower.close("this node shuts down");
        this.server.close();
    }

    /** Gives the leadership up, to a node that can take it where there is one. */
    private async releaseLeadership(reason: string, heir: InboundLink | undefined): Promise<void> {
        const { seat } = this;
        if (seat === undefined) {
            return;
        }
        const { epoch } = seat.claim;
        this.given = { epoch, at: this.options.clock.now() };
        await seat.leave(reason);
        heir?.link.note({ kind: "handover", epoch } satisfies NodeNote);
    }

    /** Leads under a claim that was won, until another node leads or this one gives its place up. */
    private async runLeadership(claim: WonClaim): Promise<void> {
        const { options } = this;
        const seat = new LeaderSeat({ ...options, epochs: this.epochs }, claim);
        this.seat = seat;
        this.addCallers(seat);
        this.notes.publishMembers();
        this.notes.noteSilence(seat);
        options.log.info("leadershipWon", { epoch: claim.epoch, wasHandedOver: claim.wasHandedOver });
        await seat.over;
        this.seat = undefined;
    }

    private addCallers(seat: LeaderSeat): void {
        const { advicePort, name } = this.options;
        seat.addCaller({
            nodeName: name,
            requestPermits: (step, workerIds, timeout) => advicePort.requestPermits(step, workerIds, timeout),
        });
        this.server.links.forEach(inbound => addRemoteCaller(seat, inbound));
    }

    /** How callers' requests reach the leader from here, at the moment that each is tried. */
    private buildWay(): WayToLeader {
        return {
            clock: this.options.clock,
            hasConfig: () => this.options.config.get().version > 0,
            getSeat: () => this.seat,
            getLink: () => this.follower.getLink()?.link,
            offerConfig: () => this.follower.offerConfig(),
        };
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
        const { seat } = this;
        return seat === undefined ?
            { kind: "notLeading" } :
            { kind: "served", reply: await seat.serve(call.request) };
    }

    private handleInboundNote(inbound: InboundLink, note: NodeNote): void {
        if (note.kind === "config") {
            this.options.config.accept(note.config, "follower");
        }
        if (note.kind === "configWanted") {
            this.catchUp.sendNewer(inbound, note.version);
        }
        if (note.kind === "offer") {
            this.acceptOffer(inbound, note.epoch);
        }
        if (note.kind !== "status") {
            return;
        }
        this.catchUp.observeVersion(inbound, note.configVersion, CatchUpPatience.leader);
        if (this.seat !== undefined && !this.knownCallers.has(inbound)) {
            addRemoteCaller(this.seat, inbound);
            this.notes.publishMembers();
        }
        this.knownCallers.add(inbound);
    }

    /** Lets a follower on a much larger VM lead. */
    private acceptOffer(inbound: InboundLink, epoch: number): void {
        const { seat } = this;
        const isUsable = inbound.status !== undefined && !inbound.status.isDraining &&
            isMuchLarger(inbound.status.cores, this.options.cores);
        if (isUsable && seat?.isReady() === true && seat.claim.epoch === epoch && !this.isGiven(epoch)) {
            void this.releaseLeadership("a larger node can lead", inbound);
        }
    }

    private isGiven(epoch: number): boolean {
        return this.given?.epoch === epoch;
    }

    /** Tells whether the place of an epoch was given away so short a time ago that the next claim is the heir's. */
    private isLeftToHeir(epoch: number): boolean {
        const { given } = this;
        return given?.epoch === epoch && this.options.clock.now() - given.at < HEIR_PATIENCE_MS;
    }

    private findHint(): LeaderHint | undefined {
        if (this.seat !== undefined) {
            return { epoch: this.seat.claim.epoch, address: this.address };
        }
        const status = this.follower.getLeaderStatus();
        return status?.leadsEpoch === undefined ?
            undefined :
            { epoch: status.leadsEpoch, address: status.address };
    }

    private handleInboundClosed(inbound: InboundLink): void {
        const nodeName = inbound.status?.nodeName;
        const remaining = [...this.server.links].find(other => other.status?.nodeName === nodeName);
        if (nodeName === undefined || this.seat === undefined) {
            return;
        }
        if (remaining === undefined) {
            this.seat.removeCaller(nodeName);
            return;
        }
        // The newest link of a node is its way to the advice service; kept after its end, every question over it would fail.
        addRemoteCaller(this.seat, remaining);
    }
}
