/** Composes the roles of one entry process over its ports, for the program and the tests alike. */
import type { Clock, Millis, Timer } from "../common/clock.js";
import { sleep } from "../common/clock.js";
import type { Random } from "../common/random.js";
import {
    type AnswerBody,
    type CallBody,
    type NotificationBody,
    PeerErrorCode,
    type PlacerLoad,
} from "../connection/messages.js";
import { DEFAULT_CELL } from "../version/settings.js";
import { EntryGauges } from "./entry-gauges.js";
import { createHomeRole } from "./home/index.js";
import type { OperatorGateway, StatusView } from "./operator-gateway.js";
import { findWorkerSlice, OwnershipRole, SliceKind, TABLE_KEY } from "./ownership/index.js";
import { createPeerHub, type HubListener, type OwnDigest, type OwnedPeerHub } from "./peers/index.js";
import { createPlacementCore } from "./placement/index.js";
import { createPlacerRole, type OwnedPlacerRole } from "./placer/index.js";
import type { PeerPort, StoreListing, StorePort, VmListPort, WorkerPort } from "./ports/index.js";
import type {
    CallerGateway,
    HomeRole,
    Member,
    ReceivedDigest,
    RoleContext,
    SettingsSource,
} from "./roles.js";
import { createRouter } from "./router/index.js";
import { SliceReconciler } from "./slice-reconciler.js";
import type { StoreClient, WatchHandle } from "./store-client.js";
import { createStoreClient } from "./store/index.js";
import type { Log, Metrics } from "./telemetry.js";
import { createTreeRole, type TreeRole } from "./tree/index.js";

/** Prefix of all records in the store that every entry follows, so that one watch serves all roles. */
const CELL_PREFIX = "cell/";
/** Interval at which a shutdown checks for requests in flight. */
const DRAIN_POLL_MS: Millis = 50;
/** Delay of the digest that is sent ahead of the regular one after a change of the workers. */
const WORKER_CHANGE_DIGEST_DELAY_MS: Millis = 20;
/** Share of the shutdown time for requests in flight; the rest is for handing slices over. */
const DRAIN_SHARE = 0.7;

/** Options of {@link createEntry}. */
export interface EntryOptions {
    /** Identity and addresses; the member id is unique per incarnation of the process. */
    readonly self: Member;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly store: StorePort;
    readonly peers: PeerPort;
    readonly workers: WorkerPort;
    readonly vmList: VmListPort;
    /** Time limit for {@link Entry.leave}. */
    readonly shutdownMs: Millis;
}

/** An entry, as the program that runs it sees it. */
export interface Entry {
    readonly callers: CallerGateway;
    readonly operators: OperatorGateway;
    /** The settings tree, as this entry knows it. */
    readonly settings: SettingsSource;
    start(): void;
    /** Whether the balancer should route callers to this entry. */
    isReady(): boolean;
    /** Counts a caller's request as in flight, for the shutdown; returns a function that ends this. */
    track(): () => void;
    /** Shuts down gracefully: accepts no new work, finishes requests in flight, and hands its slices over. */
    leave(): Promise<void>;
    /** Stops immediately, as a crash would. */
    close(): void;
}

/** Creates an entry. Nothing runs until {@link Entry.start} is called. */
export function createEntry(options: EntryOptions): Entry {
    return new EntryProcess(options);
}

class EntryProcess implements Entry, HubListener {
    readonly callers: CallerGateway;
    readonly operators: OperatorGateway;
    readonly settings: SettingsSource;
    private readonly store: StoreClient;
    private readonly hub: OwnedPeerHub;
    private readonly tree: TreeRole;
    private readonly ownership: OwnershipRole;
    private readonly placer: OwnedPlacerRole;
    private readonly home: HomeRole;
    private readonly sliceReconciler: SliceReconciler;
    private readonly gauges: EntryGauges;
    private watch: WatchHandle | undefined;
    private digestTimer: Timer | undefined;
    private digestSequence = 0;
    private digestDue = Number.POSITIVE_INFINITY;
    private inFlight = 0;
    private draining = false;
    private closed = false;

    constructor(private readonly options: EntryOptions) {
        const { clock, random, log, metrics, self } = options;
        const { memberId } = self;
        this.store = createStoreClient({ port: options.store, clock, random, metrics, log, memberId });
        this.hub = createPeerHub({ memberId, clock, random, metrics, port: options.peers });
        const base = { memberId, clock, random, log, metrics, store: this.store, peers: this.hub };
        this.tree = createTreeRole({
            ...base,
            table: {
                key: TABLE_KEY,
                getRevision: () => this.ownership.getRevision(),
                listMemberIds: () => this.ownership.listMembers().map(member => member.memberId),
                listLostIds: () => this.ownership.getTable()?.lost ?? [],
            },
        });
        this.ownership = new OwnershipRole({
            context: { ...base, settings: this.tree },
            self,
            getCell: () => this.tree.getCurrent()?.cell ?? DEFAULT_CELL,
            listWorkerDomains: () => this.placer.listWorkerDomains(),
            hasWorkers: name => name.kind === SliceKind.worker && this.placer.hasWorkers(name.slice),
            releaseSlice: name => this.sliceReconciler.release(name),
        });
        const context: RoleContext = { ...base, settings: this.tree, ownership: this.ownership };
        this.placer = createPlacerRole(context, {
            core: createPlacementCore(),
            workers: options.workers,
            vmList: options.vmList,
            findSlice: vm =>
                findWorkerSlice(this.ownership.getTable()?.workerDomains ?? [], vm.failureDomain, vm.rack),
            isKnownByMajority: revision => this.ownership.isKnownByMajority(revision),
            handleWorkersChange: () => this.scheduleDigest(WORKER_CHANGE_DIGEST_DELAY_MS),
            handleFenced: (slice, epoch) => this.sliceReconciler.closeFenced(SliceKind.worker, slice, epoch),
        });
        this.home = createHomeRole(context);
        this.sliceReconciler = new SliceReconciler({
            memberId,
            ownership: this.ownership,
            home: this.home,
            placer: this.placer,
        });
        this.callers = createRouter(context, { isDraining: () => this.draining });
        this.operators = this.buildOperators();
        this.gauges = new EntryGauges(clock, metrics);
        this.settings = this.tree;
        this.ownership.subscribe(() => this.applyMembers());
    }

    start(): void {
        this.hub.install(this);
        this.watch = this.store.watch(CELL_PREFIX, {
            replaceAll: listing => this.applyListing(listing),
            applyEvent: (key, value, revision) => {
                this.tree.applyEvent(key, value, revision);
                this.ownership.applyEvent(key, value, revision);
            },
        });
        this.ownership.start();
        this.placer.start();
        this.publishDigest();
    }

    isReady(): boolean {
        const members = this.ownership.listMembers().length;
        const reachesHalf = this.hub.listReachable().length * 2 >= members;
        return !this.closed && members > 0 && reachesHalf && this.callers.findRefusal() === undefined;
    }

    track(): () => void {
        this.inFlight++;
        let ended = false;
        return () => {
            this.inFlight -= ended ? 0 : 1;
            ended = true;
        };
    }

    async leave(): Promise<void> {
        const { clock, log, shutdownMs } = this.options;
        this.draining = true;
        log.info("shutting down", { inFlight: this.inFlight });
        const deadline = clock.now() + shutdownMs * DRAIN_SHARE;
        this.placer.drain();
        this.publishDigest();
        while (this.inFlight > 0 && clock.now() < deadline) {
            await sleep(clock, DRAIN_POLL_MS);
        }
        await this.ownership.leave();
        this.close();
        await this.options.peers.close();
        log.info("shut down", { inFlight: this.inFlight });
    }

    close(): void {
        this.closed = true;
        this.draining = true;
        this.digestTimer?.cancel();
        this.watch?.stop();
        this.ownership.close();
        // A slice received from an entry that left at the same time may still be opening, and its timers
        // would keep the process alive forever.
        this.home.getStatus().slices.forEach(({ slice }) => void this.home.closeSlice(slice, "lost"));
        this.placer.close();
        this.tree.close();
        this.store.close();
    }

    async handleCall(from: string, body: CallBody): Promise<AnswerBody> {
        switch (body.kind) {
            case "serve":
            case "reserve":
            case "census":
            case "explain":
                return await this.placer.handleCall(from, body);
            case "home":
                return await this.handleHomeCall(body);
            case "tree":
            case "force":
                return this.tree.handleCall(body);
            case "table":
                return {
                    kind: "table",
                    text: this.ownership.getTableText() ?? "",
                    revision: this.ownership.getRevision(),
                };
        }
    }

    receiveNotification(from: string, body: NotificationBody): void {
        if (body.kind === "updates") {
            this.home.receiveUpdates(from, body);
        }
        else {
            this.placer.receiveNotification(from, body);
        }
    }

    receiveDigest(from: string, received: ReceivedDigest): void {
        this.tree.receiveDigest(from, received);
        this.ownership.receiveDigest(from, received);
    }

    handleLinkChange(memberId: string, up: boolean): void {
        this.options.log.info(up ? "link up" : "link down", { member: memberId });
    }

    private async handleHomeCall(body: Extract<CallBody, { kind: "home"; }>): Promise<AnswerBody> {
        if (!this.home.listReady().includes(body.homeSlice)) {
            const message = `home slice ${body.homeSlice} is not served here now: ask its owner, or again`;
            return { kind: "error", code: PeerErrorCode.notReady, message };
        }
        return { kind: "home", reply: await this.home.handleRequest(body.homeSlice, body.request) };
    }

    private applyListing(listing: StoreListing): void {
        this.tree.replaceAll(listing);
        this.ownership.replaceAll(listing);
    }

    private applyMembers(): void {
        const members = this.ownership.listMembers();
        const others = members.filter(member => member.memberId !== this.options.self.memberId);
        this.options.peers.setPeers(
            others.map(({ memberId, host, peerPort }) => ({ memberId, host, port: peerPort })),
        );
        const cell = this.tree.getCurrent()?.cell ?? DEFAULT_CELL;
        const memberCount = Math.max(1, members.length);
        this.store.setBudget(cell.storeWritesPerSecond / memberCount, cell.storeReadsPerSecond / memberCount);
    }

    private publishDigest(): void {
        const load = this.placer.getLoad();
        this.gauges.record(load);
        this.hub.publishDigest(this.buildDigest(load));
        this.digestDue = Number.POSITIVE_INFINITY;
        if (!this.closed) {
            this.scheduleDigest(this.tree.getCurrent()?.cell.digestMs ?? DEFAULT_CELL.digestMs);
        }
    }

    /** Ensures that a digest is sent within `delay`; changes in quick succession share one digest. */
    private scheduleDigest(delay: Millis): void {
        const due = this.options.clock.now() + delay;
        if (this.closed || due >= this.digestDue) {
            return;
        }
        this.digestTimer?.cancel();
        this.digestDue = due;
        this.digestTimer = this.options.clock.schedule(delay, () => this.publishDigest());
    }

    private buildDigest(load: PlacerLoad): OwnDigest {
        const contact = this.store.getLastContact();
        return {
            kind: "digest",
            sequence: ++this.digestSequence,
            treeVersion: this.tree.getVersion(),
            tableRevision: this.ownership.getRevision(),
            storeContactAgeMs: contact === undefined ? -1 : this.options.clock.now() - contact,
            draining: this.draining,
            suspects: this.ownership.failureDetector.listSuspects(),
            slices: this.placer.listSlices(),
            // Use by team serves only this entry's own status. With 410 teams it would grow a digest from 300
            // bytes to 23 KB.
            load: { ...load, teamUse: {} },
        };
    }

    private buildOperators(): OperatorGateway {
        return {
            readTree: () => this.tree.readTree(),
            editTree: edit => this.tree.editTree(edit),
            listHistory: limit => this.tree.listHistory(limit),
            getEffective: path => this.tree.getEffective(path),
            checkEdit: edit => this.tree.checkEdit(edit),
            getStatus: () => this.getStatus(),
        };
    }

    private getStatus(): StatusView {
        const reachable = new Set(this.hub.listReachable());
        const table = this.ownership.getTable();
        return {
            memberId: this.options.self.memberId,
            accepting: this.isReady(),
            treeVersion: this.tree.getVersion(),
            tableRevision: this.ownership.getRevision(),
            mayAct: this.ownership.mayAct(),
            members: this.ownership.listMembers().map(member => ({
                ...member,
                reachable: reachable.has(member.memberId),
                treeVersion: this.hub.getDigest(member.memberId)?.digest.treeVersion,
            })),
            workerSlices: (table?.workerSlices ?? []).map(({ owner, epoch }, slice) => ({
                slice,
                owner,
                epoch,
            })),
            homeSlices: (table?.homeSlices ?? []).map(({ owner, epoch }, slice) => ({ slice, owner, epoch })),
            workers: this.placer.listWorkers(),
            home: this.home.getStatus(),
            store: this.store.getCounters(),
        };
    }
}
