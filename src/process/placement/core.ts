/** The placement core: takes items in, keeps the books, and lets the two schedulers decide. */
import type { Millis } from "../../common/clock.js";
import { createRandom, type Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { PlacerLoad } from "../../connection/messages.js";
import { Adoption, type BranchSettings, type SettingsVersion } from "../../version/settings.js";
import { Admission, MAX_RETRY_MS } from "./admission.js";
import { Books } from "./books.js";
import { observeService } from "./concurrency.js";
import { GangBook } from "./gang-book.js";
import { ItemRecord, ItemState } from "./item-record.js";
import { Learning } from "./learning.js";
import { computeLoad } from "./load.js";
import {
    type Decision,
    type EnqueueResult,
    type HoldResult,
    type PlacementCore,
    type RunSample,
    ShedReason,
    type WorkerView,
    type WorkItem,
} from "./placement-core.js";
import { POLICIES } from "./policies/index.js";
import { CapacityKind, type Policy } from "./policy.js";
import { Preemption } from "./preemption.js";
import { Reservations } from "./reservations.js";
import { RoomScheduler } from "./room-scheduler.js";
import type { Scheduler } from "./scheduler.js";
import { SlotScheduler } from "./slot-scheduler.js";
import { WaitingBook } from "./waiting-book.js";

/** Options of {@link createPlacementCore}. */
export interface PlacementCoreOptions {
    /** Seed of the choices made by `reserve`, which is given no random source. */
    readonly seed?: number;
    /** Policies by name; the table of this project if left out. */
    readonly policies?: Readonly<Record<string, Policy>>;
}

/** Decisions of one call at most: the caller goes on at once, and its event loop stays responsive. */
const MAX_DECISIONS = 256;
/** Time between looks at work that only time can change, such as waiting for reserved room. */
const SWEEP_MS = 250;

/**
 * Creates the decisions of one placer.
 * @param options - Seed and table of policies.
 * @returns A core without workers or settings.
 */
export function createPlacementCore(options: PlacementCoreOptions = {}): PlacementCore {
    return new Core(options);
}

class Core implements PlacementCore {
    private readonly books = new Books();
    private readonly waiting = new WaitingBook();
    private readonly learning = new Learning();
    private readonly reservations = new Reservations(this.books, this.learning);
    private readonly preemption = new Preemption(this.books, this.reservations);
    private readonly slots: SlotScheduler;
    private readonly room: RoomScheduler;
    private readonly gangs: GangBook;
    private readonly admission: Admission;
    private readonly schedulers: Readonly<Record<CapacityKind, Scheduler>>;
    private readonly policies: Readonly<Record<string, Policy>>;
    private readonly random: Random;
    private settings: SettingsVersion | undefined;
    private sweptAt: Millis = -Infinity;
    private hasMore = false;

    constructor(options: PlacementCoreOptions) {
        const context = { books: this.books, waiting: this.waiting, learning: this.learning };
        this.slots = new SlotScheduler(context);
        this.room = new RoomScheduler(context, this.reservations, this.preemption);
        this.schedulers = { slot: this.slots, room: this.room };
        this.admission = new Admission(this.books, this.waiting, this.slots, this.room);
        this.policies = options.policies ?? POLICIES;
        this.random = createRandom(options.seed ?? 0);
        this.gangs = new GangBook(this.books, this.reservations, {
            findWorker: record => this.findGangWorker(record),
            makeRecord: item => this.makeRecord(item),
        });
    }

    setSettings(settings: SettingsVersion): void {
        const before = this.settings;
        this.settings = settings;
        this.books.teams.setSettings(settings.teams);
        this.preemption.setBudget(settings.cell.preemptionsPerMinute);
        const changed = new Set<string>();
        for (const [path, branch] of before?.branches ?? []) {
            if (JSON.stringify(branch) !== JSON.stringify(settings.branches.get(path))) {
                changed.add(path);
            }
        }
        if (changed.size > 0) {
            this.enqueueAgain(changed);
        }
    }

    setTeamShares(shares: ReadonlyMap<string, Resources>): void {
        this.books.teams.setShares(shares);
    }

    upsertWorker(worker: WorkerView): void {
        this.books.updateWorker(worker);
    }

    removeWorker(workerId: string): readonly string[] {
        const lost = this.books.removeWorker(workerId);
        for (const record of lost) {
            this.gangs.removeItem(record);
        }
        return lost.map(record => record.item.id);
    }

    setWorkerOpen(workerId: string, open: boolean): void {
        const worker = this.books.workers.get(workerId);
        if (worker !== undefined) {
            this.books.setOpen(worker, open);
        }
    }

    enqueue(item: WorkItem, now: Millis): EnqueueResult {
        if (this.books.records.has(item.id)) {
            return { kind: "queued" };
        }
        const branch = this.settings?.branches.get(item.branch);
        if (branch === undefined) {
            return { kind: "shed", reason: ShedReason.branchUnknown, retryAfterMs: MAX_RETRY_MS };
        }
        if (branch.adoption === Adoption.off) {
            return { kind: "shed", reason: ShedReason.branchOff, retryAfterMs: MAX_RETRY_MS };
        }
        const record = this.makeRecord(item);
        const policy = this.getPolicy(branch, item);
        return policy.capacity === CapacityKind.slot ?
            this.admission.enqueueRequest(record, branch, policy, now) :
            this.admission.enqueueTask(record, branch, policy, now);
    }

    withdraw(itemId: string): boolean {
        const record = this.books.records.get(itemId);
        if (record === undefined || record.state !== ItemState.queued) {
            return false;
        }
        this.admission.drop(record);
        return true;
    }

    adopt(workerId: string, item: WorkItem, now: Millis): void {
        const worker = this.books.workers.get(workerId);
        const known = this.books.records.get(item.id);
        if (worker === undefined || known?.worker === worker) {
            return;
        }
        if (known !== undefined) {
            this.dropAny(known);
        }
        const record = this.makeRecord(item);
        record.reason = "it ran there already when this placer took the worker over";
        this.books.place(record, worker, "running", now);
    }

    release(itemId: string, now: Millis, sample?: RunSample): boolean {
        this.gangs.expire(now);
        const record = this.books.records.get(itemId);
        const worker = record?.worker;
        if (record === undefined || worker === undefined || record.state === ItemState.queued) {
            return false;
        }
        if (sample !== undefined) {
            if (record.item.kind === "service") {
                observeService(worker, sample, this.learning.getMeanRun(record.item.branch));
            }
            this.learning.observe(record.item, sample);
        }
        this.gangs.removeItem(record);
        this.books.release(record);
        return true;
    }

    decide(now: Millis, random: Random): readonly Decision[] {
        this.gangs.expire(now);
        this.admission.expire(now);
        // The same sum as in getNextDecisionAt: the difference may round to less and then never come due.
        if (now >= this.sweptAt + SWEEP_MS) {
            this.sweptAt = now;
            this.admission.sweep(this.settings?.branches.values() ?? [], now);
        }
        const decisions = this.admission.takeSheds();
        this.slots.decide(now, random, decisions, MAX_DECISIONS);
        this.room.decide(now, random, decisions, MAX_DECISIONS);
        this.hasMore = decisions.length >= MAX_DECISIONS;
        return decisions;
    }

    getNextDecisionAt(now: Millis): Millis | undefined {
        if (this.hasMore || this.admission.hasSheds() || this.room.hasReady()) {
            return now;
        }
        const needsSweep = this.room.hasBlocked() || this.waiting.requests > 0;
        const instants = [
            needsSweep ? this.sweptAt + SWEEP_MS : undefined,
            this.admission.getNextExpiry(),
            this.gangs.getNextExpiry(),
            this.preemption.getNextAt(),
        ].filter(instant => instant !== undefined);
        return instants.length === 0 ? undefined : Math.max(now, Math.min(...instants));
    }

    reserve(gangId: string, items: readonly WorkItem[], expiresAt: Millis, now: Millis): HoldResult {
        this.gangs.expire(now);
        const isOff = items.some(item => this.settings?.branches.get(item.branch)?.adoption !== Adoption.on);
        return isOff ? { held: 0 } : this.gangs.reserve(gangId, items, expiresAt, now, this.random);
    }

    commitHold(gangId: string, now: Millis): readonly Decision[] {
        return this.gangs.commit(gangId, now);
    }

    releaseHold(gangId: string): void {
        this.gangs.release(gangId);
    }

    getLoad(): PlacerLoad {
        return computeLoad(this.books, this.waiting);
    }

    findWorkerOf(itemId: string): string | undefined {
        return this.books.records.get(itemId)?.worker?.id;
    }

    explain(itemId: string, now: Millis): readonly string[] {
        const record = this.books.records.get(itemId);
        if (record === undefined) {
            return [];
        }
        const { worker, branch, item } = record;
        const learned = this.learning.describe(item.branch);
        if (worker !== undefined) {
            return [
                `${record.state} on ${worker.id} since ${
                    Math.round(now - record.startedAt)
                } ms: ${record.reason}`,
                ...learned,
            ];
        }
        if (branch === undefined) {
            return [];
        }
        const scheduler = this.schedulers[this.getPolicy(branch, item).capacity];
        const waited = `waits since ${Math.round(now - item.queuedAt)} ms in ${item.branch}`;
        return [waited, ...scheduler.explain(record, now), ...learned];
    }

    private dropAny(record: ItemRecord): void {
        if (record.state === ItemState.queued) {
            this.admission.drop(record);
        }
        else {
            this.gangs.removeItem(record);
            this.books.release(record);
        }
    }

    private enqueueAgain(changed: ReadonlySet<string>): void {
        const moved: ItemRecord[] = [];
        for (const record of this.books.records.values()) {
            if (record.state === ItemState.queued && changed.has(record.item.branch)) {
                moved.push(record);
            }
        }
        for (const record of moved) {
            this.admission.drop(record);
        }
        for (const path of changed) {
            this.slots.removeQueue(path);
        }
        for (const { item } of moved) {
            const result = this.enqueue(item, item.queuedAt);
            if (result.kind === "shed") {
                this.admission.report({
                    kind: "shed",
                    item,
                    reason: result.reason,
                    retryAfterMs: result.retryAfterMs,
                });
            }
        }
    }

    private findGangWorker(record: ItemRecord) {
        const { branch, item } = record;
        return branch === undefined ?
            undefined :
            this.room.findWorker(item, this.getPolicy(branch, item), this.random).worker;
    }

    private makeRecord(item: WorkItem): ItemRecord {
        return new ItemRecord(
            item,
            this.settings?.branches.get(item.branch),
            this.learning.estimateRun(item),
        );
    }

    /** A service request always takes a slot and a task always room, whatever a branch names. */
    private getPolicy(branch: BranchSettings, item: WorkItem): Policy {
        const named = this.policies[branch.policy];
        const wanted = item.kind === "service" ? CapacityKind.slot : CapacityKind.room;
        return named?.capacity === wanted ? named : POLICIES[item.kind];
    }
}
