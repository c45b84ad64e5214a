/** The placement core: admits items, keeps the allocation ledger and runs the slot and task schedulers. */
import type { Millis } from "../../common/clock.js";
import { computeMin } from "../../common/lists.js";
import { createRandom, type Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { PlacerLoad } from "../../connection/messages.js";
import { Adoption, type BranchSettings, type SettingsVersion } from "../../version/settings.js";
import { Admission, MAX_RETRY_MS } from "./admission.js";
import { AllocationLedger } from "./allocation-ledger.js";
import { observeService } from "./concurrency.js";
import { GangHolds } from "./gang-holds.js";
import { ItemRecord, ItemState } from "./item-record.js";
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
import { RunTimeEstimator } from "./run-time-estimator.js";
import type { Scheduler } from "./scheduler.js";
import { SlotScheduler } from "./slot-scheduler.js";
import { TaskScheduler } from "./task-scheduler.js";
import { WaitingTracker } from "./waiting-tracker.js";

/** Options of {@link createPlacementCore}. */
export interface PlacementCoreOptions {
    /** Seed of the choices made by `reserve`, which is given no random source. */
    readonly seed?: number;
    /** Policies by name; {@link POLICIES} if left out. */
    readonly policies?: Readonly<Record<string, Policy>>;
}

/** Maximum number of decisions per call, so that the caller's event loop stays responsive. */
const MAX_DECISIONS = 256;
/** Interval of sweeps over work that only time can change, such as tasks that wait for a reservation. */
const SWEEP_MS = 250;

/**
 * Creates the placement core of one placer.
 * @returns A core without workers or settings.
 */
export function createPlacementCore(options: PlacementCoreOptions = {}): PlacementCore {
    return new Core(options);
}

class Core implements PlacementCore {
    private readonly ledger = new AllocationLedger();
    private readonly waiting = new WaitingTracker();
    private readonly estimator = new RunTimeEstimator();
    private readonly reservations = new Reservations(this.ledger, this.estimator);
    private readonly preemption = new Preemption(this.ledger, this.reservations);
    private readonly slots: SlotScheduler;
    private readonly tasks: TaskScheduler;
    private readonly gangs: GangHolds;
    private readonly admission: Admission;
    private readonly schedulers: Readonly<Record<CapacityKind, Scheduler>>;
    private readonly policies: Readonly<Record<string, Policy>>;
    private readonly random: Random;
    private settings: SettingsVersion | undefined;
    private sweptAt: Millis = -Infinity;
    private hasMore = false;

    constructor(options: PlacementCoreOptions) {
        const context = { ledger: this.ledger, waiting: this.waiting, estimator: this.estimator };
        this.slots = new SlotScheduler(context);
        this.tasks = new TaskScheduler(context, this.reservations, this.preemption);
        this.schedulers = { slot: this.slots, room: this.tasks };
        this.admission = new Admission(this.ledger, this.waiting, this.slots, this.tasks);
        this.policies = options.policies ?? POLICIES;
        this.random = createRandom(options.seed ?? 0);
        this.gangs = new GangHolds(this.ledger, this.reservations, {
            findWorker: record => this.findMemberWorker(record),
            makeRecord: item => this.makeRecord(item),
        });
    }

    setSettings(settings: SettingsVersion): void {
        const before = this.settings;
        this.settings = settings;
        this.ledger.teams.setSettings(settings.teams);
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
        this.ledger.teams.setShares(shares);
    }

    upsertWorker(worker: WorkerView): void {
        this.ledger.updateWorker(worker);
    }

    removeWorker(workerId: string): readonly string[] {
        const lost = this.ledger.removeWorker(workerId);
        for (const record of lost) {
            this.gangs.removeItem(record);
        }
        return lost.map(record => record.item.id);
    }

    setWorkerOpen(workerId: string, open: boolean): void {
        const worker = this.ledger.workers.get(workerId);
        if (worker !== undefined) {
            this.ledger.setOpen(worker, open);
        }
    }

    enqueue(item: WorkItem, now: Millis): EnqueueResult {
        if (this.ledger.records.has(item.id)) {
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
        const record = this.ledger.records.get(itemId);
        if (record === undefined || record.state !== ItemState.queued) {
            return false;
        }
        this.admission.drop(record);
        return true;
    }

    adopt(workerId: string, item: WorkItem, now: Millis): void {
        const worker = this.ledger.workers.get(workerId);
        const known = this.ledger.records.get(item.id);
        if (worker === undefined || known?.worker === worker) {
            return;
        }
        if (known !== undefined) {
            this.dropAny(known);
        }
        const record = this.makeRecord(item);
        record.reason = "it ran there already when this placer took the worker over";
        this.ledger.place(record, worker, "running", now);
    }

    release(itemId: string, now: Millis, sample?: RunSample): boolean {
        this.gangs.expire(now);
        const record = this.ledger.records.get(itemId);
        const worker = record?.worker;
        if (record === undefined || worker === undefined || record.state === ItemState.queued) {
            return false;
        }
        if (sample !== undefined) {
            if (record.item.kind === "service") {
                observeService(worker, sample, this.estimator.getMeanRun(record.item.branch));
            }
            this.estimator.observe(record.item, sample);
        }
        this.gangs.removeItem(record);
        this.ledger.release(record);
        return true;
    }

    decide(now: Millis, random: Random): readonly Decision[] {
        this.gangs.expire(now);
        this.admission.expire(now);
        // The same sum as in getNextDecisionAt: with rounding, `now - sweptAt` could stay below SWEEP_MS at
        // the instant announced there, and the sweep would never come due.
        if (now >= this.sweptAt + SWEEP_MS) {
            this.sweptAt = now;
            this.admission.sweep(this.settings?.branches.values() ?? [], now);
        }
        const decisions = this.admission.takeSheds();
        this.slots.decide(now, random, decisions, MAX_DECISIONS);
        this.tasks.decide(now, random, decisions, MAX_DECISIONS);
        this.hasMore = decisions.length >= MAX_DECISIONS;
        return decisions;
    }

    getNextDecisionAt(now: Millis): Millis | undefined {
        if (this.hasMore || this.admission.hasSheds() || this.tasks.hasReady()) {
            return now;
        }
        const needsSweep = this.tasks.hasBlocked() || this.waiting.requests > 0;
        const instants = [
            needsSweep ? this.sweptAt + SWEEP_MS : undefined,
            this.admission.getNextExpiry(),
            this.gangs.getNextExpiry(),
            this.preemption.getNextAt(),
        ].filter(instant => instant !== undefined);
        return instants.length === 0 ? undefined : Math.max(now, computeMin(instants));
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
        return computeLoad(this.ledger, this.waiting);
    }

    findWorkerOf(itemId: string): string | undefined {
        return this.ledger.records.get(itemId)?.worker?.id;
    }

    explain(itemId: string, now: Millis): readonly string[] {
        const record = this.ledger.records.get(itemId);
        if (record === undefined) {
            return [];
        }
        const { worker, branch, item } = record;
        const learned = this.estimator.describe(item.branch);
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
            this.ledger.release(record);
        }
    }

    private enqueueAgain(changed: ReadonlySet<string>): void {
        const moved: ItemRecord[] = [];
        for (const record of this.ledger.records.values()) {
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
                this.admission.addShed({
                    kind: "shed",
                    item,
                    reason: result.reason,
                    retryAfterMs: result.retryAfterMs,
                });
            }
        }
    }

    private findMemberWorker(record: ItemRecord) {
        const { branch, item } = record;
        return branch === undefined ?
            undefined :
            this.tasks.findWorker(item, this.getPolicy(branch, item), this.random).worker;
    }

    private makeRecord(item: WorkItem): ItemRecord {
        return new ItemRecord(
            item,
            this.settings?.branches.get(item.branch),
            this.estimator.estimateRun(item),
        );
    }

    /**
     * A service request always takes a slot and a task always resources, whatever policy the branch names.
     */
    private getPolicy(branch: BranchSettings, item: WorkItem): Policy {
        const named = this.policies[branch.policy];
        const wanted = item.kind === "service" ? CapacityKind.slot : CapacityKind.room;
        return named?.capacity === wanted ? named : POLICIES[item.kind];
    }
}
