/**
 * One node of the cluster: it answers callers, through the leader, and leads when its turn comes.
 *
 * @remarks All nodes are alike and any number of them may be lost. The store's leader record says who leads; a claim
 * is one conditional write and needs nobody's consent, so the last node standing goes on alone.
 */
import type { Millis } from "../../common/clock.js";
import { sleep } from "../../common/clock.js";
import type { Random } from "../../common/random.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import { claimLeadership, readLeader } from "../leadership/leader-record.js";
import type { LeaderView } from "../leadership/leader-record.js";
import type { SourceHandle } from "../ports/cluster-sources.js";
import type { AdvicePort } from "../ports/task-worker-port.js";
import { serveCaller } from "./caller-way.js";
import type { WayToLeader } from "./caller-way.js";
import { connectToLeader } from "./leader-dialer.js";
import type { LeaderLink } from "./leader-dialer.js";
import { LeaderReach } from "./leader-reach.js";
import { LeaderSeat } from "./leader-seat.js";
import type { LeadingParts } from "./leader-seat.js";
import { LinkServer } from "./link-server.js";
import type { InboundLink } from "./link-server.js";
import type { LeaderHint, NodeAnswer, NodeCall, NodeNote, StatusNote } from "./messages.js";
import { PeerBook } from "./peer-book.js";
import { addRemoteCaller } from "./remote-advice.js";
import { isSilence, shouldReplaceLeader } from "./silenced-leader.js";

/** What a node is made from. */
export interface ClusterNodeOptions extends LeadingParts {
    readonly name: string;
    readonly host: string;
    /** Port for links of other nodes; 0 lets the operating system pick one. */
    readonly port: number;
    readonly random: Random;
    readonly advicePort: AdvicePort;
    /** Added to the time before a claim: nodes with more processor time lead sooner. */
    readonly claimDelayMs: Millis;
}

const READ_TIMEOUT_MS: Millis = 500;
const STORE_RETRY_MS: Millis = 150;
const RELOOK_MS: Millis = 100;
/** Spread of claims, so that one usually wins before the others try. */
const CLAIM_SPREAD_MS: Millis = 40;
/** How often a leader without answers tells its followers, and how often they look. */
const SILENCE_CHECK_MS: Millis = 100;

/** The node; see the module comment. */
export class ClusterNode {
    private readonly server: LinkServer;
    private address = "";
    private seat: LeaderSeat | undefined;
    private leaderLink: LeaderLink | undefined;
    private configHandle: SourceHandle | undefined;
    private readonly knownCallers = new WeakSet<InboundLink>();
    private readonly peers = new PeerBook();
    private readonly reach = new LeaderReach();
    private handoverEpoch: number | undefined;
    private isDraining = false;
    private closed = false;

    constructor(private readonly options: ClusterNodeOptions) {
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
        const hasLeader = this.seat?.isReady() === true || this.leaderLink?.status?.leadsEpoch !== undefined;
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

    /** First step of a shutdown: the leadership goes to another node; callers are still answered. */
    async startDraining(): Promise<void> {
        this.isDraining = true;
        const { seat } = this;
        if (seat === undefined) {
            return;
        }
        const heir = [...this.server.links].find(inbound => inbound.status?.isDraining === false);
        await seat.leave("this node shuts down");
        heir?.link.note({ kind: "handover", epoch: seat.claim.epoch } satisfies NodeNote);
    }

    /** Last step of a shutdown. */
    close(): void {
        this.closed = true;
        void this.seat?.leave("this node has shut down");
        this.configHandle?.stop();
        this.leaderLink?.link.close("this node shuts down");
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
            const reason = await this.findClaimReason(view);
            if (reason === undefined) {
                await sleep(clock, RELOOK_MS);
                continue;
            }
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
            return record === undefined ? undefined : this.connectAndFollow(view);
        }
        if (record === undefined) {
            await sleep(clock, this.options.claimDelayMs + random.pickInt(CLAIM_SPREAD_MS));
            return "nobody leads yet";
        }
        if (record.nodeName === name) {
            return "the leader was an earlier life of this node";
        }
        if (this.handoverEpoch === record.epoch) {
            return "the leader handed over";
        }
        return this.connectAndFollow(view);
    }

    /** Finds the leader through other nodes while the store turns this one away. */
    private async followHint(): Promise<void> {
        const hint = await this.peers.findLeader(this.options.clock, () => this.buildStatus());
        if (hint === undefined || this.closed) {
            return;
        }
        const record = { epoch: hint.epoch, address: hint.address, nodeName: "", life: "" };
        await this.connectAndFollow({ record, revision: 0, isAlive: true });
    }

    private async connectAndFollow(view: LeaderView): Promise<string | undefined> {
        const { clock } = this.options;
        const early = this.isDraining ? undefined : this.reach.decideBeforeAttempt(view, clock.now());
        if (early !== undefined) {
            return early;
        }
        const address = view.record?.address ?? "";
        const result = await connectToLeader(address, clock, {
            buildStatus: () => this.buildStatus(),
            handleCall: body => this.handleCall(body),
            handleNote: (link, note) => this.handleLeaderNote(link, note),
        });
        if (result.kind !== "up") {
            return this.isDraining ? undefined : this.reach.decideOnFailure(view, result.kind, clock.now());
        }
        const reason = await this.followLeader(result.link, view);
        this.leaderLink = undefined;
        return this.isDraining ? undefined : reason;
    }

    /** Stays with a leader until its link closes, it no longer leads, or this node should take its place. */
    private async followLeader(leaderLink: LeaderLink, view: LeaderView): Promise<string | undefined> {
        const { clock, log } = this.options;
        const epoch = view.record?.epoch ?? 0;
        this.leaderLink = leaderLink;
        log.info("leaderFound", { epoch, nodeName: view.record?.nodeName });
        const begin = clock.now();
        let isClosed = false;
        void leaderLink.closed.then(message => {
            isClosed = true;
            this.reach.observeLinkLost(epoch, clock.now());
            log.warn("CR1632", "leaderLost", { epoch, message });
        });
        while (!isClosed && !this.closed) {
            await Promise.race([leaderLink.closed, sleep(clock, SILENCE_CHECK_MS)]);
            if (leaderLink.status?.leadsEpoch !== undefined) {
                this.reach.observeLeader();
            }
            const hasLeft = leaderLink.status?.leadsEpoch !== epoch && clock.now() - begin > SILENCE_CHECK_MS;
            if (this.handoverEpoch === epoch || hasLeft) {
                leaderLink.link.close("it no longer leads");
                return this.handoverEpoch === epoch ? "the leader handed over" : undefined;
            }
            if (!this.isDraining && await shouldReplaceLeader(leaderLink, this.options)) {
                leaderLink.link.close("it cannot reach the store");
                return "the leader cannot reach the store, this node can";
            }
        }
        return undefined;
    }

    private async claim(view: LeaderView): Promise<void> {
        const { options } = this;
        const { life, name } = options;
        const wasHandedOver = this.handoverEpoch === view.record?.epoch && view.record !== undefined;
        const own = { nodeName: name, address: this.address, life };
        const result = await claimLeadership(options.storePort, view, own, READ_TIMEOUT_MS);
        if (result.kind !== "won" || this.closed) {
            options.log.info("claimFailed", { result: result.kind });
            return;
        }
        this.reach.observeClaim();
        const seat = new LeaderSeat(options, {
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
            getLink: () => {
                if (this.leaderLink !== undefined) {
                    this.forwardConfig(this.leaderLink);
                }
                return this.leaderLink?.link;
            },
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

    /** Tells all followers of each other, so that they find a leader while the store turns them away. */
    private publishMembers(): void {
        const others = [...this.server.links].flatMap(inbound => inbound.status?.address ?? []);
        const addresses = [...new Set([this.address, ...others])];
        this.peers.setAddresses(addresses);
        this.server.links.forEach(({ link }) => link.note({ kind: "members", addresses } satisfies NodeNote));
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
        const status = this.leaderLink?.status;
        return status?.leadsEpoch === undefined ?
            undefined :
            { epoch: status.leadsEpoch, address: status.address };
    }

    private handleInboundClosed(inbound: InboundLink): void {
        const nodeName = inbound.status?.nodeName;
        const isStillLinked = [...this.server.links].some(other => other.status?.nodeName === nodeName);
        if (nodeName !== undefined && !isStillLinked) {
            this.seat?.removeCaller(nodeName);
        }
    }

    private handleLeaderNote(link: LeaderLink, note: NodeNote): void {
        switch (note.kind) {
            case "config":
                this.options.config.accept(note.config, "leader");
                return;
            case "handover":
                this.handoverEpoch = note.epoch;
                link.link.close("it handed over");
                return;
            case "members":
                this.peers.setAddresses(note.addresses);
                return;
            case "status":
                this.forwardConfig(link);
        }
    }

    /** Gives the leader a configuration that it does not have: it decides for all nodes. */
    private forwardConfig(link: LeaderLink): void {
        const config = this.options.config.get();
        const known = link.status?.configVersion;
        if (known !== undefined && known < config.version) {
            link.link.note({ kind: "config", config } satisfies NodeNote);
            link.status = link.status && { ...link.status, configVersion: config.version };
        }
    }

    private buildStatus(): StatusNote {
        return {
            kind: "status",
            nodeName: this.options.name,
            address: this.address,
            leadsEpoch: this.seat?.claim.epoch,
            leader: this.findHint(),
            storeSilenceMs: this.seat?.getStoreSilenceMs() ?? 0,
            configVersion: this.options.config.get().version,
            isDraining: this.isDraining,
        };
    }
}
