/**
 * A cell for fault runs on one fake clock. The entries are the real ones; the store, VM list, workers and links
 * are models behind the ports.
 */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import { TABLE_KEY } from "../../process/ownership/index.js";
import { addMember } from "../../process/ownership/table-changes.js";
import { buildEmptyTable, encodeTable } from "../../process/ownership/table.js";
import type { VmRecord } from "../../process/ports/index.js";
import type { Member } from "../../process/roles.js";
import { encodeEnvelope } from "../../process/store/index.js";
import { StoreModel, VmListModel, WorkerJournal, WorkerModel } from "../../stand-ins/index.js";
import { type CellSettings, encodeTree, type RootNode, TREE_FORMAT } from "../../version/index.js";
import type { PathFaults } from "../fakes/call-path.js";
import { FakeClock } from "../fakes/fake-clock.js";
import { FakePeerNetwork } from "../fakes/fake-peer-network.js";
import { CellMember } from "./cell-member.js";
import type { Evidence, LeavingSignal, MemberOutage, SettingsSample, ShutdownRecord } from "./evidence.js";

/** Size and settings of a cell. */
export interface CellOptions {
    readonly seed: number;
    readonly entries: number;
    readonly workers: number;
    /** Whether the workers compare epochs; otherwise they know leases only. */
    readonly comparesEpochs: boolean;
    readonly verbose?: boolean;
    /** Overrides of the cell's settings, which have short leases by default. */
    readonly cell?: Partial<CellSettings>;
}

/** Paths of the branches of every cell. */
export const Branch = {
    service: "services/catalogo",
    batch: "batch/rebuild",
    gang: "gang/reach",
    short: "short/nozzle",
} as const;

/** Capacity of each worker. */
export const WORKER_CAPACITY: Resources = { cpuMillis: 4_000, memoryMib: 8_192, accelerators: 1 };
const WORKER_SLOTS = 3;
const WORKERS_PER_RACK = 2;
export const DOMAINS = ["sala-milano", "sala-torino", "sala-verona", "sala-bologna"];
const TREE_KEY = "cell/tree";
const FIRST_PEER_PORT = 7_000;
const FIRST_HTTP_PORT = 8_000;
const SAMPLE_MS: Millis = 250;
/** Time within which a new cell must accept work. */
const START_LIMIT_MS: Millis = 60_000;

/** Settings tree with short leases, so that runs stay short. */
const ROOT = {
    cell: {
        workerLeaseMs: 6_000,
        memberTtlMs: 5_000,
        digestMs: 250,
        freshMs: 2_000,
        outageToleranceMs: 120_000,
    },
    children: {
        services: {
            children: {
                catalogo: { kind: "service", settings: { attemptTimeoutMs: 2_000, maxWaitMs: 3_000 } },
            },
        },
        batch: { children: { rebuild: { kind: "batch" } } },
        gang: { children: { reach: { kind: "gang" } } },
        short: { children: { nozzle: { kind: "short" } } },
    },
} satisfies RootNode;

interface WorkerSlot {
    readonly model: WorkerModel;
    readonly vm: VmRecord;
    up: boolean;
}

/** A cell under test. */
export class Cell {
    readonly clock = new FakeClock();
    readonly store = new StoreModel(this.clock);
    readonly vmList = new VmListModel(this.clock, 500);
    readonly network = new FakePeerNetwork(this.clock);
    readonly journal = new WorkerJournal();
    readonly samples: SettingsSample[] = [];
    readonly leaving: LeavingSignal[] = [];
    readonly shutdowns: ShutdownRecord[] = [];
    readonly outages: MemberOutage[] = [];
    private readonly workers = new Map<string, WorkerSlot>();
    private readonly incarnations: CellMember[] = [];
    private readonly currentMembers: CellMember[] = [];

    constructor(private readonly options: CellOptions) {
        const cell = { ...ROOT.cell, ...options.cell };
        const tree = encodeTree({
            format: TREE_FORMAT,
            version: 1,
            root: { ...ROOT, cell },
            recentEdits: [],
        });
        this.store.putDirectly(TREE_KEY, encodeEnvelope("seed", tree));
        this.store.putDirectly(TABLE_KEY, encodeEnvelope("seed", this.buildTable()));
        for (let index = 0; index < options.workers; index++) {
            this.addWorker(index);
        }
        for (let index = 0; index < options.entries; index++) {
            this.startEntry(index);
        }
        this.scheduleSample();
    }

    /** Waits until every entry accepts work and every slice has a ready owner. */
    async open(): Promise<void> {
        const limit = this.clock.now() + START_LIMIT_MS;
        while (!this.isOpen()) {
            if (this.clock.now() > limit) {
                throw new Error("the cell was not ready for work within the start limit");
            }
            await this.clock.step(250);
        }
    }

    /** Starts a new incarnation of an entry. */
    startEntry(index: number): CellMember {
        const incarnation = this.incarnations.length;
        const member = new CellMember({
            base: this.clock,
            store: this.store,
            vmList: this.vmList,
            network: this.network,
            findWorker: workerId => this.findWorker(workerId),
        }, {
            self: buildMember(index, incarnation),
            index,
            seed: this.options.seed * 1_000 + incarnation * 2,
            verbose: this.options.verbose ?? false,
        });
        this.incarnations.push(member);
        this.currentMembers[index] = member;
        return member;
    }

    /** Returns the latest incarnation of an entry. */
    getMember(index: number): CellMember {
        const member = this.currentMembers[index % this.currentMembers.length];
        if (member === undefined) {
            throw new Error(`no entry ${index}`);
        }
        return member;
    }

    /** Counts entries, whatever their state. */
    countEntries(): number {
        return this.options.entries;
    }

    /** Starts an entry again if its latest incarnation has ended. */
    ensureEntry(index: number): void {
        if (this.getMember(index).state === "gone") {
            this.startEntry(index);
        }
    }

    /** Sets faults on the paths from an entry to all workers, for a time. */
    setWorkerFaults(member: CellMember, faults: Partial<PathFaults>, duration: Millis): void {
        const none = Object.fromEntries(Object.keys(faults).map(name => [name, 0]));
        const paths = this.listWorkerIds().map(workerId => member.workers.getPath(workerId));
        paths.forEach(path => Object.assign(path.faults, faults));
        this.clock.schedule(duration, () => paths.forEach(path => Object.assign(path.faults, none)));
    }

    /** Returns all incarnations, including those that have ended. */
    listIncarnations(): readonly CellMember[] {
        return this.incarnations;
    }

    /** Returns the members that callers can reach. */
    listUp(): readonly CellMember[] {
        return this.currentMembers.filter(member => member.isUp());
    }

    /** Kills an entry; its callers' connections break. */
    killEntry(index: number): void {
        const member = this.getMember(index);
        if (member.state !== "gone") {
            this.outages.push({ memberId: member.memberId, at: this.clock.now() });
            member.kill();
        }
    }

    /** Freezes an entry for a time. */
    pauseEntry(index: number, duration: Millis): void {
        const member = this.getMember(index);
        const at = this.clock.now();
        this.outages.push({ memberId: member.memberId, at, until: at + duration });
        member.clock.pause();
        this.clock.schedule(duration, () => member.clock.resume());
    }

    /** Shuts an entry down gracefully; `undisturbed` records that no other fault may strike meanwhile. */
    async leaveEntry(index: number, undisturbed: boolean): Promise<void> {
        const member = this.getMember(index);
        if (member.state !== "up") {
            return;
        }
        member.state = "leaving";
        this.shutdowns.push({ memberId: member.memberId, at: this.clock.now(), undisturbed });
        await member.entry.leave();
        member.state = "gone";
        // The process exits here, so nothing may depend on callbacks that would run later.
        member.kill();
    }

    /** Cuts an entry from the store for a time. */
    cutStore(member: CellMember, duration: Millis): void {
        member.storePath.faults.unreachable = true;
        this.clock.schedule(duration, () => {
            member.storePath.faults.unreachable = false;
        });
    }

    /** Makes the store unreachable for all current entries for a time. */
    stopStore(duration: Millis): void {
        this.currentMembers.forEach(member => this.cutStore(member, duration));
    }

    /** Cuts the links between the first entries and the rest for a time. */
    splitEntries(count: number, duration: Millis): void {
        const half = this.currentMembers.slice(0, count).map(member => member.memberId);
        this.network.splitHalves(half);
        this.clock.schedule(duration, () => this.network.healAll());
    }

    /** Cuts one entry from one worker for a time. */
    cutWorker(member: CellMember, workerId: string, duration: Millis): void {
        const path = member.workers.getPath(workerId);
        path.faults.unreachable = true;
        this.clock.schedule(duration, () => {
            path.faults.unreachable = false;
        });
    }

    /** Cuts all entries from a worker for a time; its tasks continue to run. */
    cutWorkerFromAll(workerId: string, duration: Millis): void {
        this.currentMembers.forEach(member => this.cutWorker(member, workerId, duration));
    }

    /**
     * Kills a worker and everything that runs on it; if a duration is given, it boots again after that time.
     */
    killWorker(workerId: string, duration?: Millis): void {
        const slot = this.getWorker(workerId);
        if (!slot.up) {
            return;
        }
        slot.up = false;
        slot.model.close();
        if (duration !== undefined) {
            this.clock.schedule(duration, () => {
                slot.model.restart();
                slot.up = true;
            });
        }
    }

    /** Marks a worker as leaving in the VM list; the worker itself reports it after `reportDelay`, or never. */
    leaveWorker(workerId: string, reportDelay?: Millis): void {
        this.vmList.setState(workerId, "leaving");
        this.leaving.push({ workerId, at: this.clock.now() + this.vmList.lagMs });
        if (reportDelay !== undefined) {
            this.clock.schedule(reportDelay, () => this.getWorker(workerId).model.setLeaving(true));
        }
    }

    /** Returns the model of a worker, whether or not it is up. */
    getWorkerModel(workerId: string): WorkerModel {
        return this.getWorker(workerId).model;
    }

    /** Returns the ids of all workers. */
    listWorkerIds(): readonly string[] {
        return [...this.workers.keys()];
    }

    /** Collects the checker's evidence except for what the callers recorded. */
    collectEvidence(): Omit<Evidence, "requests" | "jobs" | "edits"> {
        return {
            runs: this.journal.runs,
            capacities: this.journal.capacities,
            samples: this.samples,
            leaving: this.leaving,
            shutdowns: this.shutdowns,
            outages: this.outages,
            endedAt: this.clock.now(),
        };
    }

    /** Tells whether every entry is ready and every slice is served by an owner that is up. */
    isOpen(): boolean {
        const reachable = this.listUp();
        const [first] = reachable;
        if (first === undefined || !reachable.every(member => member.entry.isReady())) {
            return false;
        }
        const ids = new Set(reachable.map(member => member.memberId));
        const { workerSlices, homeSlices, members } = first.entry.operators.getStatus();
        const owned = [...workerSlices, ...homeSlices].every(({ owner }) =>
            owner !== undefined && ids.has(owner)
        );
        const served = reachable.reduce((sum, member) => sum + countReadySlices(member), 0);
        const open = reachable.reduce((sum, member) => sum + countOpenWorkers(member), 0);
        return owned && served === homeSlices.length && members.length === reachable.length &&
            open >= this.options.workers;
    }

    private findWorker(workerId: string): WorkerModel | undefined {
        const slot = this.workers.get(workerId);
        return slot?.up === true ? slot.model : undefined;
    }

    private getWorker(workerId: string): WorkerSlot {
        const slot = this.workers.get(workerId);
        if (slot === undefined) {
            throw new Error(`no worker ${workerId}`);
        }
        return slot;
    }

    private addWorker(index: number): void {
        const workerId = `w${index}`;
        const model = new WorkerModel(this.clock, {
            workerId,
            capacity: WORKER_CAPACITY,
            slots: WORKER_SLOTS,
            comparesEpochs: this.options.comparesEpochs,
            clockOffset: 1_000 * index + 17,
            clockRate: 1 + (index % 3 - 1) * 0.005,
            refusesOvercommit: false,
            journal: this.journal,
        });
        const vm: VmRecord = {
            workerId,
            url: `http://127.0.0.1:${9_000 + index}`,
            rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
            failureDomain: DOMAINS[Math.floor(index / WORKERS_PER_RACK) % DOMAINS.length] ?? "",
            state: "live",
        };
        this.workers.set(workerId, { model, vm, up: true });
        this.vmList.put(vm);
    }

    /**
     * Builds a table in which the first incarnations own equal shares; without it, a run would begin with
     * minutes of planned moves.
     */
    private buildTable(): string {
        const members = Array.from(
            { length: this.options.entries },
            (...[, index]) => buildMember(index, index),
        );
        const [last, ...others] = members.reverse();
        const empty = { ...buildEmptyTable(), members: others, workerDomains: [...DOMAINS] };
        return encodeTable(last === undefined ? empty : addMember(empty, last));
    }

    private scheduleSample(): void {
        this.clock.schedule(SAMPLE_MS, () => {
            for (const member of this.listUp()) {
                const version = member.entry.operators.readTree()?.version;
                if (version !== undefined) {
                    const acceptsWork = member.state === "up" &&
                        member.entry.callers.findRefusal() === undefined;
                    this.samples.push({
                        memberId: member.memberId,
                        at: this.clock.now(),
                        version,
                        acceptsWork,
                    });
                }
            }
            this.scheduleSample();
        });
    }
}

function buildMember(index: number, incarnation: number): Member {
    return {
        memberId: `e${index}-${incarnation}`,
        host: "127.0.0.1",
        peerPort: FIRST_PEER_PORT + index,
        httpUrl: `http://127.0.0.1:${FIRST_HTTP_PORT + index}`,
        failureDomain: DOMAINS[index % DOMAINS.length] ?? "",
    };
}

function countReadySlices(member: CellMember): number {
    return member.entry.operators.getStatus().home.slices.filter(slice => slice.ready).length;
}

function countOpenWorkers(member: CellMember): number {
    return member.entry.operators.getStatus().workers.filter(worker => worker.state === "open").length;
}
