/** This node's leadership: from a claim that was won until another node leads or the node shuts down. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { LatenessMeter } from "../../common/lateness.js";
import type { Random } from "../../common/random.js";
import type { AdviceCaller } from "../dispatch/advice-desk.js";
import { GuardedStore } from "../journal/guarded-store.js";
import type { LoadedJournal } from "../journal/load-journal.js";
import { loadJournal } from "../journal/load-journal.js";
import { MAX_UNCONFIRMED_MS } from "../leader/authority.js";
import { Leader } from "../leader/leader.js";
import type { CallerReply, CallerRequest } from "../leader/requests.js";
import type { EpochHistory } from "../leadership/epoch-history.js";
import { InheritedLeases } from "../leadership/inherited-leases.js";
import { LeaderLease } from "../leadership/leader-lease.js";
import { computeTimeoutFactor } from "../leadership/timeout-factor.js";
import type { ConfigSource, SourceHandle, WorkerSource } from "../ports/cluster-sources.js";
import type { StorePort } from "../ports/index.js";
import type { TaskWorkerPort, WorkerRecord } from "../ports/task-worker-port.js";
import type { Log, Metrics } from "../telemetry.js";
import type { ConfigHolder } from "./config-holder.js";

/** What leading needs. */
export interface LeadingParts {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly random: Random;
    readonly storePort: StorePort;
    readonly workerPort: TaskWorkerPort;
    readonly workerSource: WorkerSource;
    readonly configSource: ConfigSource;
    readonly config: ConfigHolder;
    readonly life: string;
    /** Processor time of this VM, in cores. */
    readonly cores: number;
    readonly epochs: EpochHistory;
    /** Longest lease that workers give. */
    readonly maxLeaseMs: Millis;
}

/** A claim that was won. */
export interface WonClaim {
    readonly epoch: number;
    readonly revision: number;
    /** Whether the earlier leader gave its place up, so that its right to order workers has ended. */
    readonly wasHandedOver: boolean;
}

/**
 * Length of the leases of what runs: longer than a take-over after a silent death, in which nobody renews. What is lost
 * with an unreachable worker starts again only after this time.
 */
const LEASE_MS: Millis = 4_500;
/** Part of the workers' longest lease that is used at most: they cut longer ones short. */
const MAX_LEASE_SHARE = 0.9;
/** A leader that shuts down waits this long for what it has decided to be durable. */
const FLUSH_MS: Millis = 400;

/** The seat; see the module comment. */
export class LeaderSeat {
    /** Resolves once the leadership is over. */
    readonly over: Promise<string>;
    private readonly store: GuardedStore;
    private readonly lateness: LatenessMeter;
    private readonly ready: Promise<Leader | undefined>;
    private leader: Leader | undefined;
    private lease: LeaderLease | undefined;
    private workers: SourceHandle | undefined;
    private readonly callers = new Map<string, AdviceCaller>();
    private isOver = false;
    private settleOver: (reason: string) => void = () => undefined;

    /**
     * @param parts - What leading needs.
     * @param claim - The claim.
     */
    constructor(private readonly parts: LeadingParts, readonly claim: WonClaim) {
        this.over = new Promise(resolve => {
            this.settleOver = resolve;
        });
        this.lateness = new LatenessMeter(parts.clock);
        this.store = new GuardedStore({
            port: parts.storePort,
            clock: parts.clock,
            log: parts.log,
            metrics: parts.metrics,
            leaderRevision: claim.revision,
            getResponsiveMs: () => this.lateness.getAttentiveMs(),
        });
        this.ready = this.open();
    }

    /** Answers a caller's request, once the journal is loaded. */
    async serve(request: CallerRequest): Promise<CallerReply> {
        const leader = await this.ready;
        return leader === undefined || this.isOver ?
            { kind: "unknown", message: "the leader has changed" } :
            leader.serve(request);
    }

    /** Tells whether it has loaded the journal and decides. */
    isReady(): boolean {
        return this.leader !== undefined && !this.isOver;
    }

    /** Returns for how long writes have waited while the store answered nothing. */
    getStoreSilenceMs(): Millis {
        return this.store.getSilenceMs();
    }

    /** Returns how late this process was within the last second. */
    getLatenessMs(): Millis {
        return this.lateness.getLatenessMs();
    }

    /** Takes in that a newer configuration is in force. */
    handleConfig(): void {
        this.leader?.handleConfig();
    }

    /** Adds a node that can ask the advice service. */
    addCaller(caller: AdviceCaller): void {
        this.callers.set(caller.nodeName, caller);
        this.leader?.addCaller(caller);
    }

    /** Removes a node that is gone. */
    removeCaller(nodeName: string): void {
        this.callers.delete(nodeName);
        this.leader?.advice.removeCaller(nodeName);
    }

    /** Gives the leadership up: what was decided becomes durable first, if that is quick. */
    async leave(reason: string): Promise<void> {
        const { clock } = this.parts;
        if (this.leader !== undefined) {
            await Promise.race([this.leader.flush(), sleep(clock, FLUSH_MS)]);
        }
        this.end(reason);
    }

    private end(reason: string): void {
        if (this.isOver) {
            return;
        }
        this.isOver = true;
        this.parts.log.warn("CR1631", "leadershipOver", { epoch: this.claim.epoch, reason });
        this.workers?.stop();
        this.lateness.close();
        this.lease?.close();
        this.leader?.close();
        this.store.close();
        this.settleOver(reason);
    }

    /** What nobody can read is named, and the place is left: nothing may be decided without it. */
    private async loadJournal(): Promise<LoadedJournal | undefined> {
        const { storePort: port, clock, log } = this.parts;
        try {
            return await loadJournal({ port, clock, log, isOver: () => this.isOver });
        }
        catch (error) {
            log.error("CR1604", "journalUnreadable", { message: String(error) });
            this.end("the journal cannot be read");
            return undefined;
        }
    }

    private async open(): Promise<Leader | undefined> {
        const { parts, claim } = this;
        const { clock, log } = parts;
        const begin = clock.now();
        const lease = new LeaderLease({
            port: parts.storePort,
            clock,
            incarnation: parts.life,
            leaderRevision: claim.revision,
            ttlFactor: computeTimeoutFactor(parts.cores),
            getLastContact: () => this.store.getLastContact(),
            observeContact: sentAt => this.store.observeContact(sentAt),
            observeAnswer: tookMs => this.store.observeAnswer(tookMs),
            handleDeposed: reason => this.end(reason),
        });
        this.lease = lease;
        // The list is read beside the journal: both take a while when a new leader has little processor time.
        let listed: ReadonlyMap<string, WorkerRecord> | undefined;
        this.workers = parts.workerSource.follow(records => {
            listed = records;
            this.leader?.setWorkers(records);
        });
        const loaded = await this.loadJournal();
        if (loaded === undefined || this.isOver) {
            return undefined;
        }
        const leaseMs = Math.min(LEASE_MS, parts.maxLeaseMs * MAX_LEASE_SHARE);
        const leader = new Leader({
            clock,
            log,
            metrics: parts.metrics,
            epoch: claim.epoch,
            store: this.store,
            loaded,
            workerPort: parts.workerPort,
            leaseMs,
            inheritedLeases: new InheritedLeases({
                epoch: claim.epoch,
                wasHandedOver: claim.wasHandedOver,
                begin,
                history: parts.epochs,
                leaseMs,
                unconfirmedMs: MAX_UNCONFIRMED_MS,
            }),
            getConfig: () => parts.config.get(),
            confirmLeading: () => lease.confirm(),
            random: parts.random,
            lateness: this.lateness,
            handleDeposed: reason => this.end(reason),
        });
        this.leader = leader;
        this.callers.forEach(caller => leader.addCaller(caller));
        if (listed !== undefined) {
            leader.setWorkers(listed);
        }
        log.info("leadershipReady", {
            epoch: claim.epoch,
            openJobs: loaded.jobs.countOpen(),
            sequence: loaded.sequence,
            pieces: loaded.pieces,
            characters: loaded.snapshotLength + loaded.recordsLength,
            tookMs: Math.round(clock.now() - begin),
        });
        return leader;
    }
}
