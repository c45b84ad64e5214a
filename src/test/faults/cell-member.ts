/**
 * One incarnation of an entry in a fault run: a real entry over fakes, on a clock that can be paused or killed.
 */
import type { Clock } from "../../common/clock.js";
import { createRandom } from "../../common/random.js";
import type { Entry } from "../../process/entry.js";
import { createEntry } from "../../process/entry.js";
import type { Member } from "../../process/roles.js";
import type { StoreModel, VmListModel, WorkerModel } from "../../stand-ins/index.js";
import { CallPath } from "../fakes/call-path.js";
import type { FakePeerNetwork } from "../fakes/fake-peer-network.js";
import { FakeStorePort } from "../fakes/fake-store-port.js";
import { createFakeLog, createFakeMetrics } from "../fakes/fake-telemetry.js";
import type { FakeLog } from "../fakes/fake-telemetry.js";
import { FakeVmListPort } from "../fakes/fake-vm-list-port.js";
import { FakeWorkerPort } from "../fakes/fake-worker-port.js";
import { PausableClock } from "../fakes/pausable-clock.js";

/** The fakes that all members share. */
export interface CellEnvironment {
    readonly base: Clock;
    readonly store: StoreModel;
    readonly vmList: VmListModel;
    readonly network: FakePeerNetwork;
    findWorker(workerId: string): WorkerModel | undefined;
}

/** Identity of an incarnation. */
export interface EntryIdentity {
    readonly self: Member;
    /** Number of the entry, the same for all its incarnations. */
    readonly index: number;
    readonly seed: number;
    /** Whether the log also keeps decisions, debug and info lines, for the analysis of a run. */
    readonly verbose: boolean;
}

const SHUTDOWN_MS = 20_000;
const STORE_LATENCY_MS = 2;
const WORKER_LATENCY_MS = 1;

/** One incarnation of an entry. */
export class CellMember {
    readonly memberId: string;
    readonly clock: PausableClock;
    readonly storePath: CallPath;
    readonly vmListPath: CallPath;
    readonly workers: FakeWorkerPort;
    readonly log: FakeLog;
    readonly entry: Entry;
    /** `up`, `leaving` until it has left, then `gone`. */
    state: "up" | "leaving" | "gone" = "up";

    constructor(private readonly environment: CellEnvironment, readonly identity: EntryIdentity) {
        this.memberId = identity.self.memberId;
        this.clock = new PausableClock(environment.base);
        const random = createRandom(identity.seed);
        const createPath = (latencyMs: number): CallPath =>
            new CallPath(environment.base, this.clock, {
                latencyMs,
                random: createRandom(identity.seed + 1),
            });
        this.storePath = createPath(STORE_LATENCY_MS);
        this.vmListPath = createPath(STORE_LATENCY_MS);
        this.workers = new FakeWorkerPort(
            workerId => environment.findWorker(workerId),
            () => createPath(WORKER_LATENCY_MS),
        );
        this.log = createFakeLog(identity.verbose);
        this.entry = createEntry({
            self: identity.self,
            clock: this.clock,
            random,
            log: this.log,
            metrics: createFakeMetrics(),
            store: new FakeStorePort(environment.store, this.storePath),
            peers: environment.network.createPort(identity.self.memberId, this.clock),
            workers: this.workers,
            vmList: new FakeVmListPort(environment.vmList, this.vmListPath),
            shutdownMs: SHUTDOWN_MS,
        });
        this.entry.start();
    }

    /** Tells whether callers can reach it. */
    isUp(): boolean {
        return this.state !== "gone" && !this.clock.isPaused();
    }

    /** Crashes the member: none of its callbacks run any more, but what it has already sent still arrives. */
    kill(): void {
        this.state = "gone";
        this.clock.kill();
        this.environment.network.removeMember(this.memberId);
    }
}
