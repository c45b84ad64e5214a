/**
 * A cell in one process: entries built as in production, over fakes at the ports and one fake clock. Only the
 * other side of each port is faked, no part of the system itself.
 */
import type { Millis } from "../../common/clock.js";
import { createRandom, makeUniqueId, type Random } from "../../common/random.js";
import { createEntry, type Entry } from "../../process/entry.js";
import type { EditReply, FieldChange } from "../../process/operator-gateway.js";
import { VmState } from "../../process/ports/index.js";
import {
    StoreModel,
    VmListModel,
    WorkerJournal,
    WorkerModel,
    type WorkerModelOptions,
} from "../../stand-ins/index.js";
import { CallPath } from "./call-path.js";
import { FakeClock } from "./fake-clock.js";
import { FakePeerNetwork } from "./fake-peer-network.js";
import { FakeStorePort } from "./fake-store-port.js";
import { createFakeLog, createFakeMetrics, type FakeLog, type FakeMetrics } from "./fake-telemetry.js";
import { FakeVmListPort } from "./fake-vm-list-port.js";
import { FakeWorkerPort } from "./fake-worker-port.js";
import { PausableClock } from "./pausable-clock.js";

/** Size and settings of a fake cell. */
export interface FakeCellOptions {
    readonly seed?: number;
    readonly entries?: number;
    readonly workers?: number;
    /** Workers in a rack; racks are distributed round-robin over the failure domains. */
    readonly rackSize?: number;
    readonly failureDomains?: readonly string[];
    readonly worker?: Partial<Omit<WorkerModelOptions, "workerId" | "journal">>;
    /** Changes of the settings tree made once all entries are members. */
    readonly changes?: readonly FieldChange[];
    readonly shutdownMs?: Millis;
}

/** One entry of a fake cell, with the handles for injecting faults. */
export interface FakeMember {
    readonly memberId: string;
    readonly entry: Entry;
    readonly clock: PausableClock;
    readonly storePath: CallPath;
    readonly workerPort: FakeWorkerPort;
    readonly log: FakeLog;
    readonly metrics: FakeMetrics;
    alive: boolean;
}

/** Longest time until a new cell is ready, in fake milliseconds. */
const READY_LIMIT_MS: Millis = 30_000;
const STEP_MS: Millis = 50;
/** Time without a table change after which no handover is due: two intervals of planned moves. */
const STABLE_TABLE_MS: Millis = 2_000;
/** Two digest intervals: by then every entry has received a digest of every other entry's workers. */
const DIGEST_SETTLE_MS: Millis = 500;
const DEFAULT_DOMAINS = ["domain-a", "domain-b", "domain-c", "domain-d"];

/** Branches that a fake cell has by default. */
export const DEFAULT_CHANGES: readonly FieldChange[] = [
    { path: "services", field: "kind", value: "service" },
    { path: "services/catalogue", field: "kind", value: "service" },
    { path: "batch", field: "kind", value: "batch" },
    { path: "gangs", field: "kind", value: "gang" },
    { path: "short", field: "kind", value: "short" },
];

/** Entries, workers, store, VM list and links under one fake clock. */
export class FakeCell {
    readonly clock = new FakeClock();
    readonly random: Random;
    readonly store: StoreModel;
    readonly vmList: VmListModel;
    readonly journal = new WorkerJournal();
    readonly network: FakePeerNetwork;
    readonly workers = new Map<string, WorkerModel>();
    readonly members: FakeMember[] = [];
    private readonly downWorkers = new Set<string>();
    private nextMember = 0;

    constructor(private readonly options: FakeCellOptions = {}) {
        this.random = createRandom(options.seed ?? 1);
        this.store = new StoreModel(this.clock);
        this.vmList = new VmListModel(this.clock);
        this.network = new FakePeerNetwork(this.clock);
        this.addWorkers(options.workers ?? 4);
        for (let index = 0; index < (options.entries ?? 3); index++) {
            this.addMember();
        }
    }

    /** Starts everything and waits until all slices are ready and the branches are in force. */
    async start(): Promise<void> {
        await this.waitUntil(() => this.isFormed(), "the entries became members");
        const reply = await this.edit(this.options.changes ?? DEFAULT_CHANGES);
        if (reply.kind !== "accepted" && reply.kind !== "written") {
            throw new Error(`the first edit failed: ${JSON.stringify(reply)}`);
        }
        await this.waitUntil(() => this.isReady(), "all slices became ready");
        await this.waitForStableTable();
        await this.clock.step(DIGEST_SETTLE_MS);
    }

    /** Waits until the first entry has handed over to the others their shares of the slices. */
    private async waitForStableTable(): Promise<void> {
        let revision = -1;
        while (revision !== this.getTableRevision()) {
            revision = this.getTableRevision();
            await this.clock.step(STABLE_TABLE_MS);
        }
        await this.waitUntil(() => this.isReady(), "all slices became ready after the handovers");
    }

    private getTableRevision(): number {
        return this.requireMember().entry.operators.getStatus().tableRevision;
    }

    /** Edits the settings, at the first live entry by default. */
    async edit(changes: readonly FieldChange[], member = this.requireMember()): Promise<EditReply> {
        const baseVersion = member.entry.operators.readTree()?.version ?? 0;
        const editId = makeUniqueId(this.random);
        return await this.clock.wait(
            member.entry.operators.editTree({ editId, baseVersion, author: "test", changes }),
            60_000,
        );
    }

    /** Adds an entry and starts it. */
    addMember(): FakeMember {
        const index = this.nextMember++;
        const memberId = `entry-${index}`;
        const domains = this.getDomains();
        const clock = new PausableClock(this.clock);
        const random = createRandom((this.options.seed ?? 1) * 1_000 + index);
        const createPath = (): CallPath => new CallPath(this.clock, clock, { latencyMs: 1, random });
        const storePath = createPath();
        const workerPort = new FakeWorkerPort(
            workerId => this.downWorkers.has(workerId) ? undefined : this.workers.get(workerId),
            createPath,
        );
        const log = createFakeLog(false);
        const metrics = createFakeMetrics();
        const entry = createEntry({
            self: {
                memberId,
                host: "127.0.0.1",
                peerPort: 7_000 + index,
                httpUrl: `http://127.0.0.1:${8_000 + index}`,
                failureDomain: domains[index % domains.length] ?? "domain-a",
            },
            clock,
            random,
            log,
            metrics,
            store: new FakeStorePort(this.store, storePath),
            peers: this.network.createPort(memberId, clock),
            workers: workerPort,
            vmList: new FakeVmListPort(this.vmList, createPath()),
            shutdownMs: this.options.shutdownMs ?? 10_000,
        });
        const member: FakeMember = {
            memberId,
            entry,
            clock,
            storePath,
            workerPort,
            log,
            metrics,
            alive: true,
        };
        this.members.push(member);
        entry.start();
        return member;
    }

    /** Ends an entry without any notification, as a crash does. */
    kill(member: FakeMember): void {
        member.alive = false;
        member.clock.kill();
        member.entry.close();
        this.network.cutMember(member.memberId);
    }

    /** Takes a worker down: it answers no calls and its tasks end. */
    killWorker(workerId: string): void {
        this.workers.get(workerId)?.close();
        this.downWorkers.add(workerId);
    }

    /** Starts a worker again, without its previous state. */
    restartWorker(workerId: string): void {
        this.downWorkers.delete(workerId);
        this.workers.get(workerId)?.restart();
    }

    /** Returns the entries that have not been killed or shut down. */
    listAlive(): readonly FakeMember[] {
        return this.members.filter(member => member.alive);
    }

    /** Returns the first live entry. */
    requireMember(): FakeMember {
        const member = this.listAlive()[0];
        if (member === undefined) {
            throw new Error("no entry is alive");
        }
        return member;
    }

    /** Advances time until a condition holds; fails after the limit, {@link READY_LIMIT_MS} by default. */
    async waitUntil(condition: () => boolean, what: string, limit: Millis = READY_LIMIT_MS): Promise<void> {
        const end = this.clock.now() + limit;
        while (!condition()) {
            if (this.clock.now() >= end) {
                throw new Error(`not within ${limit} ms: ${what}`);
            }
            await this.clock.step(STEP_MS);
        }
    }

    /** Tells whether every slice is ready at a live owner and every worker that is up is open for work. */
    isReady(): boolean {
        const alive = this.listAlive();
        const status = alive[0]?.entry.operators.getStatus();
        if (status === undefined || !alive.every(member => member.entry.isReady())) {
            return false;
        }
        const homes = alive.flatMap(member => member.entry.operators.getStatus().home.slices).filter(each =>
            each.ready
        );
        const workers = alive.flatMap(member => member.entry.operators.getStatus().workers);
        return homes.length === status.homeSlices.length &&
            workers.filter(worker => worker.state === "open").length >=
                this.workers.size - this.downWorkers.size;
    }

    private isFormed(): boolean {
        return this.listAlive().every(member =>
            member.entry.operators.getStatus().members.length === this.listAlive().length &&
            member.entry.operators.getStatus().members.every(each => each.reachable)
        );
    }

    private getDomains(): readonly string[] {
        return this.options.failureDomains ?? DEFAULT_DOMAINS;
    }

    private addWorkers(count: number): void {
        const domains = this.getDomains();
        const rackSize = this.options.rackSize ?? 2;
        for (let index = 0; index < count; index++) {
            const workerId = `worker-${index}`;
            const rack = Math.floor(index / rackSize);
            this.workers.set(workerId, this.createWorker(workerId));
            this.vmList.put({
                workerId,
                url: `http://127.0.0.1:${9_000 + index}`,
                rack: `rack-${rack}`,
                failureDomain: domains[rack % domains.length] ?? "domain-a",
                state: VmState.live,
            });
        }
    }

    private createWorker(workerId: string): WorkerModel {
        return new WorkerModel(this.clock, {
            capacity: { cpuMillis: 8_000, memoryMib: 16_384, accelerators: 1 },
            slots: 8,
            comparesEpochs: true,
            ...this.options.worker,
            workerId,
            journal: this.journal,
        });
    }
}
