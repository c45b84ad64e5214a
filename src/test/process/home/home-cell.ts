/** A test fixture of home roles over one store model and a fake clock, with scripted placers and without workers. */
import type { Clock } from "../../../common/clock.js";
import { createRandom } from "../../../common/random.js";
import type {
    CallBody,
    HomeReply,
    HomeRequest,
    NotificationBody,
    PlaceOrder,
    TaskUpdate,
} from "../../../connection/messages.js";
import { createHomeRole } from "../../../process/home/index.js";
import type { HomeOptions } from "../../../process/home/index.js";
import type { CallResult, HomeRole, Member, ReceivedDigest, SliceOwner } from "../../../process/roles.js";
import type { JobSpec } from "../../../request/work.js";
import { StoreModel } from "../../../stand-ins/store-model.js";
import type { BranchSettings, SettingsVersion } from "../../../version/settings.js";
import { DEFAULT_BRANCH, DEFAULT_CELL, WORKER_SLICES } from "../../../version/settings.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics } from "../../fakes/fake-telemetry.js";
import type { FakeLog } from "../../fakes/fake-telemetry.js";
import { PausableClock } from "../../fakes/pausable-clock.js";
import { FaultInjectingStore } from "./fault-injecting-store.js";
import { ScriptedPlacer } from "./scripted-placer.js";

export const SLICE = 3;
const LATENCY_MS = 1;

/** An entry with a home role. */
export interface HomeEntry {
    readonly memberId: string;
    readonly home: HomeRole;
    readonly clock: PausableClock;
    readonly store: FaultInjectingStore;
    readonly log: FakeLog;
    mayAct: boolean;
}

/** Home roles, scripted placers, a store model and an ownership table that the test sets. */
export class HomeCell {
    readonly clock = new FakeClock();
    readonly model = new StoreModel(this.clock);
    readonly placers = new Map<string, ScriptedPlacer>();
    readonly entries = new Map<string, HomeEntry>();
    workerOwner: (slice: number) => SliceOwner | undefined = () => undefined;
    homeOwner: SliceOwner | undefined;
    /** Settings in force; undefined for the defaults. */
    settings: SettingsVersion | undefined;
    /** Called with each new order of a placer; does nothing by default. */
    handleOrder: (placer: ScriptedPlacer, order: PlaceOrder) => void = () => undefined;
    private readonly ownershipListeners: (() => void)[] = [];

    constructor(placers: readonly string[] = ["p1"]) {
        for (const memberId of placers) {
            this.placers.set(memberId, new ScriptedPlacer(memberId, this));
        }
        this.workerOwner = slice => ({ memberId: placers[slice % placers.length] ?? "p1", epoch: 1 });
    }

    getPlacer(memberId = "p1"): ScriptedPlacer {
        const placer = this.placers.get(memberId);
        if (placer === undefined) {
            throw new Error(`the fixture has no placer ${memberId}`);
        }
        return placer;
    }

    /** Creates an entry that does not own the slice yet; see {@link openSliceAt}. */
    addEntry(memberId: string, options: Partial<HomeOptions> = {}): HomeEntry {
        const clock = new PausableClock(this.clock);
        const store = new FaultInjectingStore(this.model, clock);
        const log = createFakeLog();
        const entry: HomeEntry = {
            memberId,
            clock,
            store,
            log,
            mayAct: true,
            home: createHomeRole({
                memberId,
                clock,
                random: createRandom(this.entries.size + 1),
                log,
                metrics: createFakeMetrics(),
                store,
                settings: {
                    getCurrent: () => this.settings,
                    isCurrent: () => true,
                    subscribe: () => undefined,
                },
                peers: this.makePeers(memberId, clock),
                ownership: {
                    getRevision: () => 1,
                    listMembers: () => this.listMembers(),
                    getWorkerSliceOwner: slice => this.workerOwner(slice),
                    getHomeSliceOwner: slice => slice === SLICE ? this.homeOwner : undefined,
                    mayAct: () => entry.mayAct,
                    getLeaseOnlyDeadline: () => Infinity,
                    subscribe: listener => this.ownershipListeners.push(listener),
                },
            }, options),
        };
        this.entries.set(memberId, entry);
        return entry;
    }

    /** Makes an entry the owner of the slice with the next epoch, and gives it time to recover the slice. */
    async openSliceAt(entry: HomeEntry): Promise<void> {
        const epoch = (this.homeOwner?.epoch ?? 0) + 1;
        this.homeOwner = { memberId: entry.memberId, epoch };
        entry.home.openSlice(SLICE, epoch);
        await this.clock.step(50);
    }

    /** Sends a request to the home and waits for its reply, advancing the clock at most `limitMs`. */
    query(entry: HomeEntry, request: HomeRequest, limitMs = 30_000): Promise<HomeReply> {
        return this.clock.wait(entry.home.handleRequest(SLICE, request), limitMs);
    }

    /** Notifies the entries that the ownership table has changed. */
    notifyOwnershipChange(): void {
        this.ownershipListeners.forEach(listener => listener());
    }

    listSlicesOf(memberId: string) {
        const slices = [];
        for (let slice = 0; slice < WORKER_SLICES; slice++) {
            const owner = this.workerOwner(slice);
            if (owner?.memberId === memberId) {
                slices.push({ slice, epoch: owner.epoch, ready: true });
            }
        }
        return slices;
    }

    /** Sends updates to the owner of the slice according to the ownership table. */
    sendUpdates(from: string, updates: readonly TaskUpdate[]): void {
        this.clock.schedule(LATENCY_MS, () => {
            const entry = this.entries.get(this.homeOwner?.memberId ?? "");
            entry?.clock.post(() =>
                entry.home.receiveUpdates(from, { kind: "updates", homeSlice: SLICE, updates })
            );
        });
    }

    private listMembers(): Member[] {
        return [...this.placers.keys()].map(memberId => ({
            memberId,
            host: "127.0.0.1",
            peerPort: 1,
            httpUrl: "http://127.0.0.1:1",
            failureDomain: "sala-milano",
        }));
    }

    private makePeers(memberId: string, clock: Clock) {
        return {
            call: (to: string, body: CallBody, timeoutMs: number) => this.call(to, body, timeoutMs, clock),
            notify: (to: string, body: NotificationBody) => {
                this.clock.schedule(LATENCY_MS, () => this.placers.get(to)?.receiveNotification(body));
                return this.placers.has(to);
            },
            getDigest: (of: string) => this.makeDigest(of),
            listReachable: () => [memberId, ...this.placers.keys()],
        };
    }

    private makeDigest(memberId: string): ReceivedDigest | undefined {
        const placer = this.placers.get(memberId);
        if (placer === undefined) {
            return undefined;
        }
        return {
            receivedAt: this.clock.now(),
            createdAfter: this.clock.now(),
            digest: {
                kind: "digest",
                sequence: 1,
                treeVersion: 1,
                tableRevision: 1,
                storeContactAgeMs: 0,
                draining: false,
                suspects: [],
                echoes: {},
                slices: this.listSlicesOf(memberId).map(slice => ({ ...slice, ready: placer.isReady })),
                load: placer.makeLoad(),
            },
        };
    }

    private async call(to: string, body: CallBody, timeoutMs: number, clock: Clock): Promise<CallResult> {
        const placer = this.placers.get(to);
        if (placer === undefined) {
            return { kind: "notSent" };
        }
        return new Promise(resolve => {
            clock.schedule(timeoutMs, () => resolve({ kind: "lost", message: "no answer in time" }));
            this.clock.schedule(LATENCY_MS, () => {
                void placer.handleCall(body).then(answer => {
                    if (answer !== "never") {
                        clock.schedule(LATENCY_MS, () => resolve({ kind: "answer", body: answer }));
                    }
                });
            });
        });
    }
}

export const CALLER = { callerId: "designer", team: "hooghly" };

export function makeSpec(change: Partial<JobSpec> = {}): JobSpec {
    return {
        kind: "batch",
        branch: "batch/impeller",
        tasks: 1,
        resources: { cpuMillis: 1_000, memoryMib: 1_024, accelerators: 0 },
        urgent: false,
        repeatable: true,
        payload: "run",
        ...change,
    };
}

/** Settings with one branch, which differs from the defaults by `change`. */
export function makeSettings(change: Partial<BranchSettings>): SettingsVersion {
    const path = makeSpec().branch;
    const branch = { ...DEFAULT_BRANCH, path, kind: "batch" as const, policy: "batch", ...change };
    return { version: 1, cell: DEFAULT_CELL, teams: new Map(), branches: new Map([[path, branch]]) };
}

export function makeSubmit(jobId: string, change: Partial<JobSpec> = {}): HomeRequest {
    return { kind: "submitJob", jobId, caller: CALLER, spec: makeSpec(change) };
}

export function makeRequest(
    requestKey: string,
    change: Partial<Extract<HomeRequest, { readonly kind: "runRequest"; }>> = {},
): HomeRequest {
    return {
        kind: "runRequest",
        requestKey,
        requestId: `r-${requestKey}`,
        caller: CALLER,
        branch: "services/catalogo-beni",
        body: new Uint8Array([1]),
        contentType: "application/json",
        repeatable: false,
        deadlineMs: 10_000,
        ...change,
    };
}

/** Returns the job of a reply; throws for any other kind of reply. */
export function requireJob(reply: HomeReply) {
    if (reply.kind !== "job") {
        throw new Error(`expected a job, got ${JSON.stringify(reply)}`);
    }
    return reply.job;
}
