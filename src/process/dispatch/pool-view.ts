/**
 * A planning pass's view of a pool's workers, with the free capacity that the pass has not used yet.
 *
 * @remarks Hundreds of steps may wait for 246 workers of which hardly any has free capacity. What does not
 * change during a pass is therefore computed once, and a step that fits nowhere is rejected by one comparison
 * per dimension.
 */
import type { Millis } from "../../common/clock.js";
import {
    addResources,
    countFitting,
    isWithin,
    NO_RESOURCES,
    removeResources,
} from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { Step } from "../jobs/job.js";
import { MAX_PROOF_MS } from "./crash-risk.js";
import { RunPhase } from "./worker-state.js";
import type { RunRecord, WorkerState } from "./worker-state.js";

/** A worker and the capacity that the current pass has not used yet. */
export class Slot {
    readonly id: string;
    readonly capacity: Resources;
    /** Capacity that comes free by itself: the total less that of open-ended runs. */
    readonly obtainable: Resources;
    free: Resources;
    /** Logarithm of how much longer runs take here than expected. */
    readonly slowness: number;
    /** Number of tasks that this pass has placed here, by step. */
    private placedTasks: Map<Step, number> | undefined;
    /** Name of the step that has the worker to itself. */
    private exclusiveStep: string | undefined;
    /** Whether its exclusive run has shown that it does not crash the worker by starting. */
    private readonly isExclusiveRunProven: boolean;
    /** Step for which the worker is reserved. */
    private reservedFor: Step | undefined;

    /**
     * @param now - On the leader's clock.
     * @param mayStart - Whether anything may start on the worker in this pass.
     */
    constructor(readonly worker: WorkerState, now: Millis, readonly mayStart = true) {
        this.id = worker.id;
        this.capacity = worker.record.capacity;
        this.obtainable = computeObtainable(worker);
        this.free = mayStart ? worker.free : NO_RESOURCES;
        this.slowness = worker.getSlowness(now);
        this.exclusiveStep = worker.exclusiveRun?.step;
        this.isExclusiveRunProven = isProven(worker.exclusiveRun, now);
    }

    /**
     * Tells whether tasks of a step may start here in this pass, capacity aside.
     * @param isOverdue - Whether it has waited for too long: it may then join an exclusive run that has proven harmless, and use
     * a worker that is reserved for another step.
     */
    isOpenTo(step: Step, isOverdue = false): boolean {
        const isExclusive = this.exclusiveStep !== undefined && this.exclusiveStep !== step.name;
        const isReserved = this.reservedFor !== undefined && this.reservedFor !== step;
        const mayJoin = isOverdue && this.isExclusiveRunProven;
        return this.mayStart && (!isExclusive || mayJoin) && (!isReserved || isOverdue);
    }

    /** Tells whether only tasks of a step run here or were placed here by this pass. */
    isIdleExceptFor(step: Step): boolean {
        return [...this.worker.runs.values()].every(run => run.step === step.name) &&
            this.isUntouchedExceptFor(step);
    }

    /** Tells whether this pass has placed only tasks of a step here. */
    isUntouchedExceptFor(step: Step): boolean {
        return [...this.placedTasks?.keys() ?? []].every(other => other === step);
    }

    /** Whether the worker is reserved for a step and still runs others. */
    get isDraining(): boolean {
        return this.reservedFor !== undefined && !this.isIdleExceptFor(this.reservedFor);
    }

    get isReserved(): boolean {
        return this.reservedFor !== undefined;
    }

    /** Reserves the worker for tasks that must run exclusively. */
    reserve(step: Step): void {
        this.reservedFor = step;
    }

    /**
     * Deducts the capacity of one task.
     * @param isAlone - Whether only tasks of the same step may start beside it.
     */
    take(step: Step, isAlone = false): void {
        this.free = removeResources(this.free, step.spec.demand);
        this.placedTasks ??= new Map();
        this.placedTasks.set(step, this.countPlaced(step) + 1);
        this.exclusiveStep ??= isAlone ? step.name : undefined;
    }

    /** Releases the capacity of one task. */
    release(step: Step): void {
        this.free = addResources(this.free, step.spec.demand);
        const left = this.countPlaced(step) - 1;
        if (left > 0) {
            this.placedTasks?.set(step, left);
        }
        else {
            this.placedTasks?.delete(step);
            this.exclusiveStep = this.worker.exclusiveRun?.step;
        }
    }

    /** Tells whether one more task of a step, which may be overdue, fits here now. */
    canTake(step: Step, isOverdue = false): boolean {
        return isWithin(step.spec.demand, this.free) && this.isOpenTo(step, isOverdue) &&
            !this.isAtLimit(step);
    }

    /**
     * Tells whether one more task of a step fits here now, with nothing but tasks of the same step beside it.
     */
    canTakeAlone(step: Step): boolean {
        return this.canTake(step) && this.isIdleExceptFor(step);
    }

    /** Tells whether the worker has the label and the total capacity that a task of a step requires. */
    isSuitable({ spec }: Step): boolean {
        const hasLabel = spec.requiredLabel === undefined ||
            this.worker.record.labels.includes(spec.requiredLabel);
        return hasLabel && isWithin(spec.demand, this.capacity);
    }

    /**
     * Counts the tasks of a step that may still be placed here by the step's limit for each worker, capacity
     * aside.
     */
    countPlacesLeft(step: Step): number {
        return this.isOpenTo(step) ? this.countUnderLimit(step) : 0;
    }

    /** Tells whether as many tasks of a step are here as its limit for each worker allows. */
    isAtLimit(step: Step): boolean {
        return this.countUnderLimit(step) <= 0;
    }

    /** Counts the tasks of a step that this pass has placed here. */
    countPlaced(step: Step): number {
        return this.placedTasks?.get(step) ?? 0;
    }

    private countUnderLimit(step: Step): number {
        const limit = step.spec.maxPerWorker;
        return limit === undefined ?
            Infinity :
            limit - this.worker.countRunsOfStep(step.name) - this.countPlaced(step);
    }
}

function isProven(run: RunRecord | undefined, now: Millis): boolean {
    return run?.phase === RunPhase.running && now - run.orderedAt >= MAX_PROOF_MS;
}

function computeObtainable({ record, runs }: WorkerState): Resources {
    let obtainable = record.capacity;
    for (const run of runs.values()) {
        obtainable = run.isOpenEnded ? removeResources(obtainable, run.demand) : obtainable;
    }
    return obtainable;
}

/** Workers of one pool in one pass. */
export class PoolView {
    readonly slots: readonly Slot[];
    private readonly slotsById = new Map<string, Slot>();
    /** Largest free amount of any worker when the pass begins, in each dimension separately. */
    private readonly mostFree: Resources;
    /** Share of the processors in use when the pass begins. */
    readonly usedShare: number;

    /**
     * @param workers - Usable workers of the pool.
     * @param unreported - Workers that have not reported yet, on which nothing may start.
     * @param now - On the leader's clock.
     */
    constructor(
        readonly name: string,
        workers: readonly WorkerState[],
        unreported: readonly WorkerState[],
        now: Millis,
    ) {
        this.slots = [
            ...workers.map(worker => new Slot(worker, now)),
            ...unreported.map(worker => new Slot(worker, now, false)),
        ];
        this.slots.forEach(slot => this.slotsById.set(slot.id, slot));
        this.mostFree = {
            cpuMillis: this.findLargest(free => free.cpuMillis),
            memoryMib: this.findLargest(free => free.memoryMib),
            accelerators: this.findLargest(free => free.accelerators),
        };
        const capacity = sumCpu(this.slots.map(slot => slot.capacity));
        const free = sumCpu(this.slots.map(({ worker }) => worker.free));
        this.usedShare = capacity === 0 ? 0 : 1 - free / capacity;
    }

    get(workerId: string): Slot | undefined {
        return this.slotsById.get(workerId);
    }

    /** Counts the reserved workers that still run other steps. */
    countDraining(): number {
        return this.slots.filter(slot => slot.isDraining).length;
    }

    /** Tells whether a demand may fit somewhere; false means that it certainly does not. */
    mayFit(demand: Resources): boolean {
        return isWithin(demand, this.mostFree);
    }

    private findLargest(read: (free: Resources) => number): number {
        return this.slots.reduce((most, slot) => Math.max(most, read(slot.free)), 0);
    }
}

function sumCpu(amounts: readonly Resources[]): number {
    return amounts.reduce((sum, { cpuMillis }) => sum + cpuMillis, 0);
}

/**
 * Tells whether all tasks of a step fit at once onto workers that run nothing else; for a gang, that run
 * nothing but open-ended runs.
 *
 * @remarks A gang larger than all workers that may run it, or than the capacity that services leave of them,
 * would otherwise hold capacity for as long as it waits and starve everything behind it.
 */
export function canEverHold(step: Step, slots: readonly Slot[]): boolean {
    const { demand, maxPerWorker, taskCount } = step.spec;
    let tasks = 0;
    for (const { capacity, obtainable } of slots) {
        const available = isAllOrNothing(step) ? obtainable : capacity;
        tasks += Math.min(countFitting(demand, available), maxPerWorker ?? Infinity);
    }
    return tasks >= taskCount;
}

/** Counts the waiting tasks of a step that fit onto workers now. */
export function countPlaces(step: Step, slots: readonly Slot[]): number {
    let places = 0;
    for (const slot of slots) {
        if (slot.isOpenTo(step)) {
            places += Math.min(
                countFitting(step.spec.demand, slot.free),
                slot.countPlacesLeft(step),
                step.waiting,
            );
        }
    }
    return places;
}

/**
 * Tells whether a step's tasks must start together. Members missing from a gang that has started join it one
 * by one.
 */
export function isAllOrNothing(step: Step): boolean {
    return step.spec.isGang && step.repairRun === undefined;
}

/** Counts the tasks of a step that have to start together. */
export function countNeeded(step: Step): number {
    return isAllOrNothing(step) ? step.waiting : 1;
}
