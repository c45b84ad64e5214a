/** A cell of home roles over one store, with scripted placers: no worker, no ownership role, one fake clock. */
import type { Clock } from "../../../common/clock.js";
import type { Outcome } from "../../../common/outcome.js";
import { createRandom } from "../../../common/random.js";
import type {
    AnswerBody,
    CallBody,
    HomeReply,
    HomeRequest,
    NoteBody,
    PlaceOrder,
    PlacerLoad,
    TaskUpdate,
} from "../../../connection/messages.js";
import { createHomeRole } from "../../../process/home/index.js";
import type { HomeOptions } from "../../../process/home/index.js";
import type { CallResult, HeardDigest, HomeRole, Member, SliceOwner } from "../../../process/roles.js";
import type { JobSpec } from "../../../request/work.js";
import { StoreModel } from "../../../stand-ins/store-model.js";
import type { BranchSettings, SettingsVersion } from "../../../version/settings.js";
import { DEFAULT_BRANCH, DEFAULT_CELL, WORKER_SLICES } from "../../../version/settings.js";
import { FakeClock } from "../../fakes/fake-clock.js";
import { createFakeLog, createFakeMetrics } from "../../fakes/fake-telemetry.js";
import type { FakeLog } from "../../fakes/fake-telemetry.js";
import { PausableClock } from "../../fakes/pausable-clock.js";
import { StoreForHome } from "./store-for-home.js";

export const SLICE = 3;
const BIG = { cpuMillis: 64_000, memoryMib: 130_000, accelerators: 0 };
const LATENCY_MS = 1;
const GRANT_HOLD_MS = 3_000;

/** A placer that does what the test says, and remembers every order. */
export class ScriptedPlacer {
    readonly orders: PlaceOrder[] = [];
    /** Orders of tasks that must not run twice, once their start was confirmed. */
    readonly confirmed: PlaceOrder[] = [];
    /** Orders below the floor of a census. */
    readonly refused: PlaceOrder[] = [];
    readonly withdrawn: string[] = [];
    readonly acknowledged = new Set<string>();
    /** What it holds and tells a census: attempt to update. */
    readonly known = new Map<string, TaskUpdate>();
    readonly served: string[] = [];
    /** Attempts that it began to run; the checks look here for a task that ran twice. */
    readonly started: PlaceOrder[] = [];
    isReady = true;
    isSilent = false;
    dropsNotes = false;
    dropsConfirmations = false;
    /** Whether it has room for tasks that must not run twice; if not, they wait. */
    grants = true;
    largestWorker = BIG;
    room = 1_000;
    serve: (requestId: string) => Promise<AnswerBody> | "never" = () => Promise.resolve(makeServed());
    private readonly byAttempt = new Map<string, PlaceOrder>();
    private floor = { epoch: 0, sequence: 0 };

    constructor(readonly memberId: string, private readonly cell: HomeCell) {}

    makeLoad(): PlacerLoad {
        return {
            workers: 4,
            freeSlots: 16,
            totalSlots: 32,
            queuedRequests: 0,
            queuedTasks: 0,
            free: BIG,
            total: BIG,
            largestFree: this.largestWorker,
            largestWorker: this.largestWorker,
            teamUse: {},
        };
    }

    receiveNote(note: NoteBody): void {
        if (this.dropsNotes) {
            return;
        }
        switch (note.kind) {
            case "place":
                note.orders.forEach(order => this.receiveOrder(order));
                break;
            case "confirm":
                if (!this.dropsConfirmations) {
                    note.attempts.forEach(attempt => this.receiveConfirmation(attempt));
                }
                break;
            case "withdraw":
                note.attempts.forEach(attempt => this.receiveWithdrawal(attempt));
                break;
            case "acknowledge":
                note.attempts.forEach(attempt => {
                    this.acknowledged.add(attempt);
                    this.known.delete(attempt);
                });
                break;
            case "updates":
                break;
        }
    }

    async handleCall(body: CallBody): Promise<AnswerBody | "never"> {
        if (this.isSilent) {
            return "never";
        }
        if (body.kind === "census") {
            this.floor = { epoch: body.epoch, sequence: body.floor };
            this.dropUnsent(body.epoch);
            const slices = this.isReady ? this.cell.listSlicesOf(this.memberId) : [];
            return { kind: "census", slices, tasks: [...this.known.values()] };
        }
        if (body.kind === "serve") {
            this.served.push(body.requestId);
            return this.serve(body.requestId);
        }
        if (body.kind === "reserve") {
            return { kind: "reserved", held: Math.min(this.room, body.orders.length) };
        }
        return { kind: "error", code: "invalid", message: body.kind };
    }

    /** Begins to run an attempt and says so. */
    startTask(order: PlaceOrder): void {
        this.started.push(order);
        this.report(order, { state: "running", workerId: "w1", sliceEpoch: 1 });
    }

    /** Tells the home of an attempt; ends are kept for the census until acknowledged. */
    report(order: PlaceOrder, update: Omit<TaskUpdate, "attempt" | "jobId" | "index">): void {
        const { attempt, jobId, index } = order;
        const full = { attempt, jobId, index, ...update };
        this.known.set(attempt, full);
        this.cell.sendUpdates(this.memberId, [full]);
    }

    /** Tells everything again, as placers do until acknowledged. */
    reportAll(): void {
        this.cell.sendUpdates(this.memberId, [...this.known.values()]);
    }

    private receiveOrder(order: PlaceOrder): void {
        const { epoch, sequence } = order.home;
        const isOld = epoch < this.floor.epoch ||
            epoch === this.floor.epoch && sequence < this.floor.sequence;
        if (isOld) {
            this.refused.push(order);
            return;
        }
        if (this.byAttempt.has(order.attempt)) {
            return;
        }
        this.byAttempt.set(order.attempt, order);
        this.orders.push(order);
        this.known.set(order.attempt, { ...order, state: "queued" });
        if (order.repeatable || order.gangId !== undefined) {
            this.cell.handleOrder(this, order);
        }
        else if (this.grants) {
            this.report(order, { state: "granted", workerId: "w1" });
            this.cell.clock.schedule(GRANT_HOLD_MS, () => this.expireGrant(order));
        }
    }

    private expireGrant(order: PlaceOrder): void {
        if (this.known.get(order.attempt)?.state === "granted") {
            this.report(order, { state: "notStarted", reason: "not confirmed in time", retryAfterMs: 250 });
        }
    }

    /** What an older home ordered and was not started is given up, and told until acknowledged. */
    private dropUnsent(epoch: number): void {
        for (const [attempt, update] of this.known) {
            const order = this.byAttempt.get(attempt);
            const isUnsent = update.state === "queued" || update.state === "granted";
            if (isUnsent && order !== undefined && order.home.epoch < epoch) {
                this.known.set(attempt, { ...update, state: "notStarted" });
            }
        }
    }

    /** From here on it may start a task that must not run twice. */
    private receiveConfirmation(attempt: string): void {
        const order = this.byAttempt.get(attempt);
        if (order !== undefined && this.known.get(attempt)?.state === "granted") {
            this.confirmed.push(order);
            this.known.set(attempt, { ...order, state: "queued" });
            this.cell.handleOrder(this, order);
        }
    }

    private receiveWithdrawal(attempt: string): void {
        this.withdrawn.push(attempt);
        const order = this.byAttempt.get(attempt);
        const state = this.known.get(attempt)?.state;
        if (order !== undefined && (state === "queued" || state === "granted")) {
            this.report(order, { state: "notStarted", reason: "withdrawn" });
        }
        else if (order !== undefined && state === "running") {
            this.report(order, { state: "stopped" });
        }
    }
}

/** An entry with a home role. */
export interface HomeEntry {
    readonly memberId: string;
    readonly home: HomeRole;
    readonly clock: PausableClock;
    readonly store: StoreForHome;
    readonly log: FakeLog;
    mayAct: boolean;
}

/** The whole of a test. */
export class HomeCell {
    readonly clock = new FakeClock();
    readonly model = new StoreModel(this.clock);
    readonly placers = new Map<string, ScriptedPlacer>();
    readonly entries = new Map<string, HomeEntry>();
    workerOwner: (slice: number) => SliceOwner | undefined = () => undefined;
    homeOwner: SliceOwner | undefined;
    /** Settings in force; the defaults unless a test sets them. */
    settings: SettingsVersion | undefined;
    /** What a placer does with a new order; nothing unless a test says so. */
    handleOrder: (placer: ScriptedPlacer, order: PlaceOrder) => void = () => undefined;
    private readonly listeners: (() => void)[] = [];

    constructor(placers: readonly string[] = ["p1"]) {
        for (const memberId of placers) {
            this.placers.set(memberId, new ScriptedPlacer(memberId, this));
        }
        this.workerOwner = slice => ({ memberId: placers[slice % placers.length] ?? "p1", epoch: 1 });
    }

    getPlacer(memberId = "p1"): ScriptedPlacer {
        const placer = this.placers.get(memberId);
        if (placer === undefined) {
            throw new Error(`no placer ${memberId}`);
        }
        return placer;
    }

    /** Creates an entry; `own` makes it the owner of the slice with the next epoch. */
    addEntry(memberId: string, options: Partial<HomeOptions> = {}): HomeEntry {
        const clock = new PausableClock(this.clock);
        const store = new StoreForHome(this.model, clock);
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
                    subscribe: listener => this.listeners.push(listener),
                },
            }, options),
        };
        this.entries.set(memberId, entry);
        return entry;
    }

    /** Gives the slice to an entry with the next epoch and waits until it serves. */
    async openSliceAt(entry: HomeEntry): Promise<void> {
        const epoch = (this.homeOwner?.epoch ?? 0) + 1;
        this.homeOwner = { memberId: entry.memberId, epoch };
        entry.home.openSlice(SLICE, epoch);
        await this.clock.step(50);
    }

    /** Asks the home and waits for its answer, moving time at most `limit` milliseconds. */
    query(entry: HomeEntry, request: HomeRequest, limit = 30_000): Promise<HomeReply> {
        return this.clock.wait(entry.home.handleRequest(SLICE, request), limit);
    }

    notifyTable(): void {
        this.listeners.forEach(listener => listener());
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

    /** Sends updates to the owner of the slice, as the table names it. */
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
            note: (to: string, body: NoteBody) => {
                this.clock.schedule(LATENCY_MS, () => this.placers.get(to)?.receiveNote(body));
                return this.placers.has(to);
            },
            getDigest: (of: string) => this.makeDigest(of),
            listReachable: () => [memberId, ...this.placers.keys()],
        };
    }

    private makeDigest(of: string): HeardDigest | undefined {
        const placer = this.placers.get(of);
        if (placer === undefined) {
            return undefined;
        }
        return {
            heardAt: this.clock.now(),
            sureAt: this.clock.now(),
            digest: {
                kind: "digest",
                sequence: 1,
                treeVersion: 1,
                tableRevision: 1,
                storeContactAgeMs: 0,
                draining: false,
                suspects: [],
                echoes: {},
                slices: this.listSlicesOf(of).map(slice => ({ ...slice, ready: placer.isReady })),
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

/** An answer of a placer to a service request. */
export function makeServed(text = "ok"): AnswerBody {
    return { kind: "served", retrySafe: false, outcome: makeDone(text) };
}

export function makeDone(text: string): Outcome {
    return {
        kind: "done",
        answer: new TextEncoder().encode(text),
        contentType: "text/plain",
        workerId: "w1",
    };
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

/** Settings whose one branch differs from the defaults. */
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

/** The job of a reply; fails the test if it is another kind of reply. */
export function requireJob(reply: HomeReply) {
    if (reply.kind !== "job") {
        throw new Error(`expected a job, got ${JSON.stringify(reply)}`);
    }
    return reply.job;
}
