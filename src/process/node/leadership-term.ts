/** This node's leadership, from a won claim until it is deposed or steps down. */
import { sleep } from "../../common/clock.js";
import type { Clock, Millis } from "../../common/clock.js";
import { LatenessMeter } from "../../common/lateness.js";
import type { Random } from "../../common/random.js";
import { ConfigConfirmation } from "../accounts/config-confirmation.js";
import type { AdviceCaller } from "../dispatch/advice-dispatcher.js";
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

/** Dependencies and settings of a leader. */
export interface LeadershipOptions {
    readonly clock: Clock;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly random: Random;
    readonly storePort: StorePort;
    readonly workerPort: TaskWorkerPort;
    readonly workerSource: WorkerSource;
    readonly configSource: ConfigSource;
    readonly config: ConfigHolder;
    readonly incarnation: string;
    /** Processor time of this VM, in cores. */
    readonly cores: number;
    readonly epochs: EpochHistory;
    /** Longest lease that workers grant. */
    readonly maxLeaseMs: Millis;
    /** Time that a worker may take to stop a run. */
    readonly stopMs: Millis;
    /** What a run that saves its progress loses when it is stopped and resumed; undefined if unknown. */
    readonly resumeCostMs?: Millis | undefined;
    /** Longest time from a revocation to the last request that its key may make; undefined for no limit. */
    readonly revocationMs?: Millis | undefined;
    /** Asks the store whether the configuration in force is the newest, after applying a newer one. */
    readonly confirmConfig: (timeout: Millis) => Promise<boolean>;
}

/** A claim that was won. */
export interface WonClaim {
    readonly epoch: number;
    /** Epoch of the leader before; 0 if there was none. */
    readonly previousEpoch: number;
    readonly revision: number;
    /** Whether the previous leader stepped down, so that its authority over workers has ended. */
    readonly wasHandedOver: boolean;
}

/**
 * Lease of a running task. It outlasts a takeover after a silent failure, during which nobody renews leases.
 * Tasks of an unreachable worker are restarted only after this time.
 */
const LEASE_MS: Millis = 4_500;
/** Upper bound of a lease as a share of the workers' longest: they cut longer ones short. */
const MAX_LEASE_SHARE = 0.9;
/** How long a leader that steps down waits for its decisions to become durable. */
const FLUSH_TIMEOUT_MS: Millis = 400;

/** Loads the journal, runs the leader and ends it when the leadership is lost. */
export class LeadershipTerm {
    /** Resolves with the reason once the leadership has ended. */
    readonly ended: Promise<string>;
    private readonly store: GuardedStore;
    private readonly lateness: LatenessMeter;
    private readonly configConfirmation: ConfigConfirmation;
    private readonly ready: Promise<Leader | undefined>;
    private leader: Leader | undefined;
    private lease: LeaderLease | undefined;
    private workerWatch: SourceHandle | undefined;
    private readonly callers = new Map<string, AdviceCaller>();
    private isOver = false;
    private settleEnded: (reason: string) => void = () => undefined;

    /** Starts to lead under a claim that was won. */
    constructor(private readonly options: LeadershipOptions, readonly claim: WonClaim) {
        this.ended = new Promise(resolve => {
            this.settleEnded = resolve;
        });
        this.lateness = new LatenessMeter(options.clock);
        this.store = new GuardedStore({
            port: options.storePort,
            clock: options.clock,
            log: options.log,
            metrics: options.metrics,
            leaderRevision: claim.revision,
            getResponsiveMs: () => this.lateness.getResponsiveMs(),
        });
        this.configConfirmation = new ConfigConfirmation({
            clock: options.clock,
            log: options.log,
            revocationMs: options.revocationMs,
            hasAccounts: () => options.config.get().accounts !== undefined,
            confirm: options.confirmConfig,
        });
        this.ready = this.open();
    }

    /** Serves a caller's request once the journal is loaded. */
    async serve(request: CallerRequest): Promise<CallerReply> {
        const leader = await this.ready;
        return leader === undefined || this.isOver ?
            { kind: "unknown", message: "the leader has changed" } :
            leader.serve(request);
    }

    /** Returns whether the journal is loaded and the leadership has not ended. */
    isReady(): boolean {
        return this.leader !== undefined && !this.isOver;
    }

    /** Returns how long writes have waited without any answer from the store. */
    getStoreSilenceMs(): Millis {
        return this.store.getSilenceMs();
    }

    /** Returns how late this process's timers were within the last second. */
    getLatenessMs(): Millis {
        return this.lateness.getLatenessMs();
    }

    /** Applies a configuration that has come into force. */
    handleConfig(): void {
        this.leader?.handleConfig();
    }

    /** Adds a node through which the advice service can be called. */
    addCaller(caller: AdviceCaller): void {
        this.callers.set(caller.nodeName, caller);
        this.leader?.addCaller(caller);
    }

    /** Removes a node that has disconnected. */
    removeCaller(nodeName: string): void {
        this.callers.delete(nodeName);
        this.leader?.advice.removeCaller(nodeName);
    }

    /** Steps down, after waiting a short time for decisions to become durable. */
    async release(reason: string): Promise<void> {
        const { clock } = this.options;
        if (this.leader !== undefined) {
            await Promise.race([this.leader.flush(), sleep(clock, FLUSH_TIMEOUT_MS)]);
        }
        this.end(reason);
    }

    private end(reason: string): void {
        if (this.isOver) {
            return;
        }
        this.isOver = true;
        this.options.log.warn("CR1631", "leadershipOver", { epoch: this.claim.epoch, reason });
        this.workerWatch?.stop();
        this.lateness.close();
        this.configConfirmation.close();
        this.lease?.close();
        this.leader?.close();
        this.store.close();
        this.settleEnded(reason);
    }

    /**
     * Loads the journal. If it cannot be read, logs that and steps down: nothing may be decided without it.
     */
    private async loadJournal(): Promise<LoadedJournal | undefined> {
        const { storePort: port, clock, log } = this.options;
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
        const { options, claim } = this;
        const { clock, log } = options;
        const begin = clock.now();
        const lease = new LeaderLease({
            port: options.storePort,
            clock,
            incarnation: options.incarnation,
            leaderRevision: claim.revision,
            ttlFactor: computeTimeoutFactor(options.cores),
            getLastContact: () => this.store.getLastContact(),
            observeContact: sentAt => this.store.observeContact(sentAt),
            observeAnswer: tookMs => this.store.observeAnswer(tookMs),
            handleDeposed: reason => this.end(reason),
        });
        this.lease = lease;
        // Workers are listed while the journal loads: both are slow on a VM with little processor time.
        let listedWorkers: ReadonlyMap<string, WorkerRecord> | undefined;
        this.workerWatch = options.workerSource.follow(records => {
            listedWorkers = records;
            this.leader?.setWorkers(records);
        });
        const loaded = await this.loadJournal();
        if (loaded === undefined || this.isOver) {
            return undefined;
        }
        const leaseMs = Math.min(LEASE_MS, options.maxLeaseMs * MAX_LEASE_SHARE);
        const leader = new Leader({
            clock,
            log,
            metrics: options.metrics,
            epoch: claim.epoch,
            store: this.store,
            loaded,
            workerPort: options.workerPort,
            leaseMs,
            stopMs: options.stopMs,
            resumeCostMs: options.resumeCostMs,
            inheritedLeases: new InheritedLeases({
                previousEpoch: claim.previousEpoch,
                wasHandedOver: claim.wasHandedOver,
                begin,
                history: options.epochs,
                leaseMs,
                unconfirmedMs: MAX_UNCONFIRMED_MS,
            }),
            getConfig: () => options.config.get(),
            isConfigConfirmed: () => this.configConfirmation.isValid(),
            confirmLeading: () => lease.confirm(),
            random: options.random,
            lateness: this.lateness,
            handleDeposed: reason => this.end(reason),
        });
        this.leader = leader;
        this.callers.forEach(caller => leader.addCaller(caller));
        if (listedWorkers !== undefined) {
            leader.setWorkers(listedWorkers);
        }
        log.info("leadershipReady", {
            epoch: claim.epoch,
            openJobs: loaded.jobs.countOpen(),
            sequence: loaded.sequence,
            pieces: loaded.pieces,
            bytes: loaded.snapshotBytes + loaded.recordsBytes,
            tookMs: Math.round(clock.now() - begin),
        });
        return leader;
    }
}
