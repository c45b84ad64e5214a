/**
 * A cell in one process: entries built as the program builds them, over fakes at the ports and one fake clock.
 * Not a simulator: what is faked is the other side of each port, nothing of the system itself.
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

/** Size of a fake cell. */
export interface FakeCellOptions {
    readonly seed?: number;
    readonly entries?: number;
    readonly workers?: number;
    /** Workers in a rack; racks take turns over the failure domains. */
    readonly rackSize?: number;
    readonly failureDomains?: readonly string[];
    readonly worker?: Partial<Omit<WorkerModelOptions, "workerId" | "journal">>;
    /** Changes of the root and its branches made once the cell stands. */
    readonly changes?: readonly FieldChange[];
    readonly shutdownMs?: Millis;
}

/** One entry of a fake cell, with the handles for its faults. */
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
/** Time without a change of the table after which no hand-over is due: two paces of planned moves. */
const STEADY_MS: Millis = 2_000;
/** Two digest intervals: every entry has heard of every other's workers. */
const DIGEST_SETTLE_MS: Millis = 500;
const DEFAULT_DOMAINS = ["domain-a", "domain-b", "domain-c", "domain-d"];

/** Branches that a fake cell has unless told otherwise. */
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
    private readonly down = new Set<string>();
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
        await this.waitForSteadyTable();
        await this.clock.step(DIGEST_SETTLE_MS);
    }

    /** Waits until the first entry has handed over to the others what they should own. */
    private async waitForSteadyTable(): Promise<void> {
        let revision = -1;
        while (revision !== this.getTableRevision()) {
            revision = this.getTableRevision();
            await this.clock.step(STEADY_MS);
        }
        await this.waitUntil(() => this.isReady(), "all slices became ready after the hand-overs");
    }

    private getTableRevision(): number {
        return this.requireMember().entry.operators.getStatus().tableRevision;
    }

    /** Makes an edit at the first entry that lives. */
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
            workerId => this.down.has(workerId) ? undefined : this.workers.get(workerId),
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

    /** Ends an entry without a word, as a crash does. */
    kill(member: FakeMember): void {
        member.alive = false;
        member.clock.kill();
        member.entry.close();
        this.network.cutMember(member.memberId);
    }

    /** Takes a worker down: it answers nothing and its tasks end. */
    killWorker(workerId: string): void {
        this.workers.get(workerId)?.close();
        this.down.add(workerId);
    }

    /** Starts a worker again, with no memory of what it ran. */
    restartWorker(workerId: string): void {
        this.down.delete(workerId);
        this.workers.get(workerId)?.restart();
    }

    /** Entries that are not killed or shut down. */
    listAlive(): readonly FakeMember[] {
        return this.members.filter(member => member.alive);
    }

    /** The first entry that lives. */
    requireMember(): FakeMember {
        const member = this.listAlive()[0];
        if (member === undefined) {
            throw new Error("no entry is alive");
        }
        return member;
    }

    /** Moves time until a condition holds; fails after {@link READY_LIMIT_MS} unless told otherwise. */
    async waitUntil(condition: () => boolean, what: string, limit: Millis = READY_LIMIT_MS): Promise<void> {
        const end = this.clock.now() + limit;
        while (!condition()) {
            if (this.clock.now() >= end) {
                throw new Error(`not within ${limit} ms: ${what}`);
            }
            await this.clock.step(STEP_MS);
        }
    }

    /** Whether every slice has a live owner that has it ready. */
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
            workers.filter(worker => worker.state === "open").length >= this.workers.size - this.down.size;
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
