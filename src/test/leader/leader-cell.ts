/** A test fixture: successive or concurrent leaders over one store and model workers, with runs observed. */
import assert from "node:assert/strict";
import type { Millis } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import { isWithin } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import { buildRunRecord, RunPhase } from "../../process/dispatch/worker-state.js";
import type { RunRecord } from "../../process/dispatch/worker-state.js";
import type { JobRegistry } from "../../process/jobs/job-registry.js";
import type { JobSpec, StepSpec } from "../../process/jobs/job-spec.js";
import { GuardedStore } from "../../process/journal/guarded-store.js";
import { loadJournal } from "../../process/journal/load-journal.js";
import { MAX_UNCONFIRMED_MS } from "../../process/leader/authority.js";
import { Leader } from "../../process/leader/leader.js";
import type { CallerReply } from "../../process/leader/requests.js";
import { EpochHistory } from "../../process/leadership/epoch-history.js";
import { InheritedLeases } from "../../process/leadership/inherited-leases.js";
import { LeaderLease } from "../../process/leadership/leader-lease.js";
import { claimLeadership, readLeader } from "../../process/leadership/leader-record.js";
import type { WorkerRecord } from "../../process/ports/task-worker-port.js";
import { StoreModel, TaskWorkerModel } from "../../stand-ins/index.js";
import type { TaskBehavior, TaskWorkerModelOptions } from "../../stand-ins/index.js";
import type { ClusterConfig, QueueConfig } from "../../version/cluster-config.js";
import { CallPath } from "../fakes/call-path.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { FakeStorePort } from "../fakes/fake-store-port.js";
import { FakeTaskWorkers } from "../fakes/fake-task-workers.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";
import type { FakeLog } from "../fakes/fake-telemetry.js";
import type { NarrowLink } from "../fakes/narrow-link.js";
import { PausableClock } from "../fakes/pausable-clock.js";

export const CORE: Resources = { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 };
export const WORKER_CAPACITY: Resources = { cpuMillis: 4_000, memoryMib: 8_192, accelerators: 0 };
export const HOST = "jobs.example";
export const PREFIX = "/batch/";
export const LEASE_MS: Millis = 4_500;
const LATENCY_MS: Millis = 1;
const CALL_MS: Millis = 500;

/** Queue to which the cell's jobs are submitted. */
export const QUEUE: QueueConfig = {
    name: "batch",
    host: HOST,
    pathPrefix: PREFIX,
    pool: "pool",
    priority: 1,
    maxAttempts: 3,
    stretch: 3,
    targetMs: 1_000,
    advice: undefined,
};

/** Builds a step from defaults and the given changes. */
export function makeStep(change: Partial<StepSpec> = {}): StepSpec {
    return {
        taskCount: 1,
        demand: CORE,
        estimateMs: 1_000,
        after: [],
        savesCheckpoints: false,
        isGang: false,
        prefersOneRack: false,
        requiredLabel: undefined,
        dataRack: undefined,
        maxPerWorker: undefined,
        isLongRunning: false,
        fillsSpareCpu: false,
        ...change,
    };
}

/** Builds a job whose steps are defaults with the given changes. */
export function makeSpec(...steps: readonly Partial<StepSpec>[]): JobSpec {
    return { payload: "work", steps: steps.map(makeStep), repeat: undefined };
}

/** Builds a worker's registration from defaults and the given changes. */
export function makeWorkerRecord(workerId: string, change: Partial<WorkerRecord> = {}): WorkerRecord {
    return {
        workerId,
        address: "",
        pool: "pool",
        failureDomain: "a",
        capacity: WORKER_CAPACITY,
        labels: [],
        rack: undefined,
        isDraining: false,
        ...change,
    };
}

/** Builds a worker's run record from defaults and the given changes. */
export function makeRunRecord(task: string, change: Partial<RunRecord> = {}): RunRecord {
    const usual = { run: 1, step: "x", demand: CORE, settledAfter: 0, wasSeen: true, orderedAt: 0 };
    return buildRunRecord({ ...usual, task, phase: RunPhase.running, ...change });
}

/** Returns the id of the n-th job of a test. */
export function makeJobId(number: number): string {
    return number.toString(16).padStart(16, "0");
}

/** Returns the number of the job that a task belongs to. */
export function readJobNumber(task: string): number {
    return Number.parseInt(task.split(".")[0] ?? "", 16);
}

/** A leader under test and its paths to the store and the workers. */
export interface TestLeader {
    readonly leader: Leader;
    readonly epoch: number;
    readonly jobs: JobRegistry;
    readonly clock: PausableClock;
    readonly storePath: CallPath;
    readonly workers: FakeTaskWorkers;
    readonly log: FakeLog;
    /** Reasons with which it was notified that it no longer leads; empty until then. */
    readonly deposed: string[];
}

/** The start of a run on a worker. */
export interface RunStart {
    readonly task: string;
    readonly run: number;
    readonly workerId: string;
    readonly at: Millis;
}

/** Starts leaders and workers on a fake clock and records what runs where. */
export class LeaderCell {
    readonly clock = new FakeClock();
    readonly store = new StoreModel(this.clock);
    readonly starts: RunStart[] = [];
    /** Violated guarantees: two concurrent runs of a task, or a worker over its capacity. */
    readonly faults: string[] = [];
    private readonly running = new Map<string, string>();
    private readonly models = new Map<string, TaskWorkerModel>();
    readonly records = new Map<string, WorkerRecord>();
    private readonly random = createRandom(7);
    /** Random numbers of the leaders, separate so that their draws do not shift those of the faults. */
    private readonly leaderRandom = createRandom(11);
    /** Link that the calls of a leader to workers share; without limits by default. */
    link: NarrowLink | undefined;
    /** Time that a worker may take to stop a run. */
    stopMs: Millis = 400;
    /** What a run that saves its progress loses when it is stopped and resumed. */
    resumeCostMs: Millis | undefined;
    /** Lateness that the leaders measure for their timers. */
    latenessMs: Millis = 0;
    config: ClusterConfig = {
        version: 1,
        queues: [QUEUE],
        pools: [{ name: "pool", checksAdmission: false, maxConnections: 64 }],
        maxBodyBytes: 262_144,
    };
    /** Whether the leaders may grant requests access by the configuration. */
    isConfigConfirmed = true;
    /** Called for each run that starts. */
    handleStarted: (start: RunStart) => void = () => undefined;
    getBehavior: (task: string, run: number) => TaskBehavior = () => ({
        demand: CORE,
        runMs: 1_000,
        end: "done",
    });

    /** @param workerCount - Number of workers, named `w1` to `wN`, each at its own address. */
    constructor(workerCount: number) {
        for (let number = 1; number <= workerCount; number++) {
            this.addWorker(`w${number}`, `10.0.0.${number}:80`);
        }
    }

    /**
     * Adds a worker, or a new incarnation at the address of an existing one, which is killed.
     * @param change - Options that differ from the defaults.
     */
    addWorker(workerId: string, address: string, change: Partial<TaskWorkerModelOptions> = {}): void {
        this.models.get(address)?.kill();
        this.models.set(
            address,
            new TaskWorkerModel({
                clock: this.clock,
                workerId,
                capacity: WORKER_CAPACITY,
                clockOffset: 50_000,
                getBehavior: (task, run) => this.getBehavior(task, run),
                handleStart: (task, run, used) => this.observeStart(workerId, task, run, used),
                handleEnd: (task, run) => this.observeEnd(workerId, task, run),
                ...change,
            }),
        );
        const { capacity = WORKER_CAPACITY } = change;
        this.records.set(workerId, makeWorkerRecord(workerId, { address, capacity }));
    }

    /** Kills the worker at an address; nothing answers there anymore. */
    killWorker(address: string): void {
        this.models.get(address)?.kill();
        this.models.delete(address);
    }

    /** Removes a worker from the worker list; the worker itself keeps running. */
    removeFromList(workerId: string): void {
        this.records.delete(workerId);
    }

    /** Adds a worker to the worker list again. */
    restoreToList(workerId: string, address: string, change: Partial<WorkerRecord> = {}): void {
        this.records.set(workerId, makeWorkerRecord(workerId, { address, ...change }));
    }

    /** Finds the worker at an address; undefined if nothing answers there. */
    findModel(address: string): TaskWorkerModel | undefined {
        return this.models.get(address);
    }

    getModel(address: string): TaskWorkerModel {
        const model = this.findModel(address);
        assert(model !== undefined);
        return model;
    }

    /**
     * Starts a leader: claims the leadership and loads the journal.
     * @param wasHandedOver - Whether the previous leader stepped down.
     * @param epochs - Earlier epochs that the leader's process has observed.
     */
    async startLeader(wasHandedOver = false, epochs = new EpochHistory()): Promise<TestLeader> {
        const clock = new PausableClock(this.clock);
        const storePath = this.createPath(clock);
        const port = new FakeStorePort(this.store, storePath);
        const log = createFakeLog(true);
        const deposed: string[] = [];
        const view = await this.clock.wait(readLeader(port, CALL_MS), CALL_MS);
        assert(view !== undefined);
        const own = { nodeName: `node-${view.revision}`, address: "", life: `life-${view.revision}` };
        const claim = await this.clock.wait(claimLeadership(port, view, own, CALL_MS), CALL_MS);
        assert(claim.kind === "won");
        epochs.observe(claim.epoch, clock.now());
        const context = { port, clock, log, isOver: () => false };
        const loaded = await this.clock.wait(loadJournal(context), CALL_MS);
        assert(loaded !== undefined);
        const metrics = createFakeMetrics();
        const store = new GuardedStore({ port, clock, log, metrics, leaderRevision: claim.revision });
        const workers = new FakeTaskWorkers(
            address => this.models.get(address),
            () => this.createPath(clock),
            this.link && { clock: this.clock, link: this.link },
        );
        function handleDeposed(reason: string): void {
            deposed.push(reason);
            lease.close();
            leader.close();
        }
        const lease = new LeaderLease({
            port,
            clock,
            incarnation: own.life,
            leaderRevision: claim.revision,
            getLastContact: () => store.getLastContact(),
            observeContact: sentAt => store.observeContact(sentAt),
            observeAnswer: tookMs => store.observeAnswer(tookMs),
            handleDeposed,
        });
        const leader = new Leader({
            clock,
            log,
            metrics,
            epoch: claim.epoch,
            store,
            loaded,
            workerPort: workers,
            leaseMs: LEASE_MS,
            stopMs: this.stopMs,
            resumeCostMs: this.resumeCostMs,
            inheritedLeases: new InheritedLeases({
                previousEpoch: claim.previousEpoch,
                wasHandedOver,
                begin: clock.now(),
                history: epochs,
                leaseMs: LEASE_MS,
                unconfirmedMs: MAX_UNCONFIRMED_MS,
            }),
            getConfig: () => this.config,
            isConfigConfirmed: () => this.isConfigConfirmed,
            confirmLeading: () => lease.confirm(),
            handleDeposed,
            random: this.leaderRandom,
            lateness: {
                getLatenessMs: () => this.latenessMs,
                getMeanLatenessMs: () => this.latenessMs,
            },
        });
        leader.setWorkers(new Map(this.records));
        return { leader, epoch: claim.epoch, jobs: loaded.jobs, clock, storePath, workers, log, deposed };
    }

    /** Passes the current worker list to a leader. */
    refreshWorkers({ leader }: TestLeader): void {
        leader.setWorkers(new Map(this.records));
    }

    /** Submits a job without advancing time. */
    send({ leader }: TestLeader, number: number, spec: JobSpec): Promise<CallerReply> {
        return leader.serve({ kind: "submit", host: HOST, path: `${PREFIX}${makeJobId(number)}`, spec });
    }

    /** Submits a job and advances time until the answer arrives. */
    submit(leader: TestLeader, number: number, spec: JobSpec): Promise<CallerReply> {
        return this.clock.wait(this.send(leader, number, spec), CALL_MS * 8);
    }

    /** Requests a job's state. */
    show({ leader }: TestLeader, number: number): Promise<CallerReply> {
        const path = `${PREFIX}${makeJobId(number)}`;
        return this.clock.wait(leader.serve({ kind: "show", host: HOST, path }), CALL_MS);
    }

    /** Cancels a job. */
    cancel({ leader }: TestLeader, number: number): Promise<CallerReply> {
        const path = `${PREFIX}${makeJobId(number)}`;
        return this.clock.wait(leader.serve({ kind: "cancel", host: HOST, path }), CALL_MS * 8);
    }

    /** Counts the started runs of a job's tasks. */
    countStarts(number: number): number {
        return this.starts.filter(start => start.task.startsWith(makeJobId(number))).length;
    }

    private createPath(clock: PausableClock): CallPath {
        return new CallPath(this.clock, clock, { latencyMs: LATENCY_MS, random: this.random });
    }

    private observeStart(workerId: string, task: string, run: number, used: Resources): void {
        const start = { task, run, workerId, at: this.clock.now() };
        this.starts.push(start);
        const other = this.running.get(task);
        if (other !== undefined) {
            this.faults.push(`${task} runs on ${other} and on ${workerId}`);
        }
        if (!isWithin(used, WORKER_CAPACITY)) {
            this.faults.push(`${workerId} is over its capacity`);
        }
        this.running.set(task, workerId);
        this.handleStarted(start);
    }

    private observeEnd(workerId: string, task: string, run: number): void {
        if (this.running.get(task) === workerId) {
            this.running.delete(task);
        }
        void run;
    }
}
