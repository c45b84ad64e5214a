/** One life of an entry in a fault run: the entry over fakes, on a clock that can be paused or killed. */
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

/** What all members share. */
export interface CellParts {
    readonly base: Clock;
    readonly store: StoreModel;
    readonly vmList: VmListModel;
    readonly network: FakePeerNetwork;
    findWorker(workerId: string): WorkerModel | undefined;
}

/** Which entry a life belongs to. */
export interface MemberPlace {
    readonly self: Member;
    /** Number of the entry, the same over all its lives. */
    readonly index: number;
    readonly seed: number;
    /** Whether the log keeps decisions and information, for a person who looks into a run. */
    readonly verbose: boolean;
}

const SHUTDOWN_MS = 20_000;
const STORE_LATENCY_MS = 2;
const WORKER_LATENCY_MS = 1;

/** One life of an entry. */
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

    /**
     * @param parts - What all members share.
     * @param place - Which entry it is.
     */
    constructor(private readonly parts: CellParts, readonly place: MemberPlace) {
        this.memberId = place.self.memberId;
        this.clock = new PausableClock(parts.base);
        const random = createRandom(place.seed);
        const createPath = (latencyMs: number): CallPath =>
            new CallPath(parts.base, this.clock, { latencyMs, random: createRandom(place.seed + 1) });
        this.storePath = createPath(STORE_LATENCY_MS);
        this.vmListPath = createPath(STORE_LATENCY_MS);
        this.workers = new FakeWorkerPort(
            workerId => parts.findWorker(workerId),
            () => createPath(WORKER_LATENCY_MS),
        );
        this.log = createFakeLog(place.verbose);
        this.entry = createEntry({
            self: place.self,
            clock: this.clock,
            random,
            log: this.log,
            metrics: createFakeMetrics(),
            store: new FakeStorePort(parts.store, this.storePath),
            peers: parts.network.createPort(place.self.memberId, this.clock),
            workers: this.workers,
            vmList: new FakeVmListPort(parts.vmList, this.vmListPath),
            shutdownMs: SHUTDOWN_MS,
        });
        this.entry.start();
    }

    /** Whether callers reach it. */
    isUp(): boolean {
        return this.state !== "gone" && !this.clock.isPaused();
    }

    /** Dies without a warning: nothing of it runs any more, what it sent arrives. */
    kill(): void {
        this.state = "gone";
        this.clock.kill();
        this.parts.network.removeMember(this.memberId);
    }
}
