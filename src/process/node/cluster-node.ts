/**
 * One node of the cluster: it answers callers, through the leader, and leads when its turn comes.
 *
 * @remarks All nodes are alike and any number of them may be lost. The store's leader record says who leads; a claim
 * is one conditional write and needs nobody's consent, so the last node standing goes on alone.
 */
import type { Millis, Timer } from "../../common/clock.js";
import { sleep } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import { EpochHistory } from "../leadership/epoch-history.js";
import { claimLeadership, readLeader } from "../leadership/leader-record.js";
import type { LeaderView } from "../leadership/leader-record.js";
import type { SourceHandle } from "../ports/cluster-sources.js";
import type { AdvicePort } from "../ports/task-worker-port.js";
import { serveCaller } from "./caller-way.js";
import type { WayToLeader } from "./caller-way.js";
import { computeClaimDelay, computeFirstClaimDelay, isMuchLarger } from "./larger-node.js";
import { LeaderFollower } from "./leader-follower.js";
import { LeaderReach } from "./leader-reach.js";
import { LeaderSeat } from "./leader-seat.js";
import type { LeadingParts } from "./leader-seat.js";
import { LinkServer } from "./link-server.js";
import type { InboundLink } from "./link-server.js";
import type { LeaderHint, NodeAnswer, NodeCall, NodeMember, NodeNote, StatusNote } from "./messages.js";
import { PeerBook } from "./peer-book.js";
import { addRemoteCaller } from "./remote-advice.js";
import { isSilence } from "./silenced-leader.js";

/** What a node is made from. */
export interface ClusterNodeOptions extends Omit<LeadingParts, "epochs"> {
    readonly name: string;
    readonly host: string;
    /** Port for links of other nodes; 0 lets the operating system pick one. */
    readonly port: number;
    readonly random: Random;
    readonly advicePort: AdvicePort;
    /** Processor time of the VM, in cores: large nodes lead rather than small ones. */
    readonly cores: number;
}

const READ_TIMEOUT_MS: Millis = 500;
const STORE_RETRY_MS: Millis = 150;
const RELOOK_MS: Millis = 100;
/** Spread of claims, so that one usually wins before the others try. */
const CLAIM_SPREAD_MS: Millis = 40;
/** How often a leader without answers of the store tells its followers. */
const SILENCE_CHECK_MS: Millis = 100;
/** Nodes come and go in groups: all of a group are told of in one message to each. */
const MEMBERS_DELAY_MS: Millis = 250;
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
    private readonly peers: PeerBook;
    private readonly reach = new LeaderReach();
    private readonly epochs = new EpochHistory();
    /** The leadership that this node gave to another one. */
    private given: { readonly epoch: number; readonly at: Millis; } | undefined;
    private membersTimer: Timer | undefined;
    private isDraining = false;
    private closed = false;

    constructor(private readonly options: ClusterNodeOptions) {
        this.peers = new PeerBook(options.random);
        this.follower = new LeaderFollower({
            ...options,
            peers: this.peers,
            reach: this.reach,
            epochs: this.epochs,
            buildStatus: () => this.buildStatus(),
            handleCall: body => this.handleCall(body),
            isDraining: () => this.isDraining,
            isClosed: () => this.closed,
        });
        this.server = new LinkServer(options.clock, options.log, {
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
        void this.run();
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
            configVersion: this.options.config.get().version,
            cores: this.options.cores,
            isDraining: this.isDraining,
        };
    }

    /** First step of a shutdown: the leadership goes to another node; callers are still answered. */
    async startDraining(): Promise<void> {
        this.isDraining = true;
        const heir = [...this.server.links].find(inbound => inbound.status?.isDraining === false);
        await this.releaseLeadership("this node shuts down", heir);
    }

    /** Last step of a shutdown. */
    close(): void {
        this.closed = true;
        void this.seat?.leave("this node has shut down");
        this.configHandle?.stop();
        this.membersTimer?.cancel();
        this.follower.close("this node shuts down");
        this.server.close();
    }

    private async run(): Promise<void> {
        const { clock, storePort, log } = this.options;
        while (!this.closed) {
            const view = await readLeader(storePort, READ_TIMEOUT_MS);
            if (view === undefined) {
                await this.followHint();
                await sleep(clock, STORE_RETRY_MS);
                continue;
            }
            this.epochs.observe(view.record?.epoch ?? 0, clock.now());
            const reason = await this.findClaimReason(view);
            if (reason === undefined) {
                await sleep(clock, RELOOK_MS);
                continue;
            }
            await this.waitBeforeClaim(view);
            log.info("leadershipClaimed", {
                reason,
                lastEpoch: view.record?.epoch,
                lastLeader: view.record?.nodeName,
            });
            await this.claim(view);
        }
    }

    /** Follows the leader for as long as it is there; returns why to claim its place, or undefined to look again. */
    private async findClaimReason(view: LeaderView): Promise<string | undefined> {
        const { record } = view;
        const { name, clock, random } = this.options;
        if (this.isDraining) {
            // A node that leaves still follows, so that its last callers are answered.
            return record === undefined ? undefined : this.follower.follow(view);
        }
        if (record === undefined) {
            await sleep(clock, computeFirstClaimDelay(this.options.cores) + random.pickInt(CLAIM_SPREAD_MS));
            return "nobody leads yet";
        }
        if (this.given?.epoch === record.epoch && clock.now() - this.given.at < HEIR_PATIENCE_MS) {
            return undefined;
        }
        if (record.nodeName === name) {
            return "the leader was an earlier life of this node";
        }
        if (this.follower.isHeirOf(record.epoch)) {
            return "the leader handed over";
        }
        return this.follower.follow(view);
    }

    /** Finds the leader through other nodes while the store turns this one away. */
    private async followHint(): Promise<void> {
        const hint = await this.peers.findLeader(this.options.clock, () => this.buildStatus());
        if (hint === undefined || this.closed) {
            return;
        }
        const record = { epoch: hint.epoch, address: hint.address, nodeName: "", life: "" };
        await this.follower.follow({ record, revision: 0, isAlive: true });
    }

    /** Lets larger nodes go first, unless the place was given to this one. */
    private async waitBeforeClaim(view: LeaderView): Promise<void> {
        const delay = computeClaimDelay(this.options.cores, this.peers.getMostCores());
        if (delay > 0 && !this.follower.isHeirOf(view.record?.epoch)) {
            await sleep(this.options.clock, delay);
        }
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

    private async claim(view: LeaderView): Promise<void> {
        const { options } = this;
        const { life, name } = options;
        const wasHandedOver = this.follower.isHeirOf(view.record?.epoch);
        const own = { nodeName: name, address: this.address, life };
        const result = await claimLeadership(options.storePort, view, own, READ_TIMEOUT_MS);
        if (result.kind !== "won" || this.closed) {
            options.log.info("claimFailed", { result: result.kind });
            return;
        }
        this.reach.observeClaim();
        this.epochs.observe(result.epoch, options.clock.now());
        const seat = new LeaderSeat({ ...options, epochs: this.epochs }, {
            epoch: result.epoch,
            revision: result.revision,
            wasHandedOver,
        });
        this.seat = seat;
        this.addCallers(seat);
        this.publishMembers();
        this.noteSilence(seat);
        options.log.info("leadershipWon", { epoch: result.epoch, wasHandedOver });
        await seat.over;
        this.seat = undefined;
        this.reach.observeDeposed(options.clock.now());
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
        if (note.kind === "offer") {
            this.acceptOffer(inbound, note.epoch);
        }
        if (note.kind !== "status") {
            return;
        }
        const { config } = this.options;
        if (note.configVersion < config.get().version) {
            inbound.link.note({ kind: "config", config: config.get() } satisfies NodeNote);
        }
        if (this.seat !== undefined && !this.knownCallers.has(inbound)) {
            addRemoteCaller(this.seat, inbound);
            this.publishMembers();
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

    /** Tells all followers of each other, so that they find a leader while the store turns them away. */
    private publishMembers(): void {
        this.membersTimer ??= this.options.clock.schedule(MEMBERS_DELAY_MS, () => {
            this.membersTimer = undefined;
            const members = this.listMembers();
            this.peers.setMembers(members);
            this.server.links.forEach(({ link }) =>
                link.note({ kind: "members", members } satisfies NodeNote)
            );
        });
    }

    private listMembers(): readonly NodeMember[] {
        const members = new Map<string, NodeMember>();
        for (const { status } of this.server.links) {
            if (status !== undefined) {
                members.set(status.address, { address: status.address, cores: status.cores });
            }
        }
        members.set(this.address, { address: this.address, cores: this.options.cores });
        return [...members.values()];
    }

    /** While the store does not answer a leader, its followers hear of it sooner than with the next beat. */
    private noteSilence(seat: LeaderSeat): void {
        if (this.seat !== seat) {
            return;
        }
        if (isSilence(seat.getStoreSilenceMs())) {
            this.server.links.forEach(({ link }) => link.note(this.buildStatus()));
        }
        this.options.clock.schedule(SILENCE_CHECK_MS, () => this.noteSilence(seat));
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
