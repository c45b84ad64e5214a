/** Allocation state of one worker: capacity, what is allocated, and what is reserved on it. */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import type { ItemRecord } from "./item-record.js";
import type { WorkerView } from "./placement-core.js";

/** Capacity reserved on a worker for one waiting task or gang. */
export interface Reservation {
    /** Id of the item or gang that holds the reservation. */
    readonly ownerId: string;
    /** Resource demand of one member of a gang, or of the task. */
    readonly unit: Resources;
    /** Maximum number of members that may start here; 1 for a task. */
    readonly count: number;
    /** Instant at which the reserved capacity is expected to be free, by the corrected run-time estimates. */
    readonly readyAt: Millis;
    /** Instant after which the reservation lapses. */
    readonly expiresAt: Millis;
}

/** Lower bound of the adaptive slot limit. */
const MIN_SLOT_LIMIT = 1;

/** A worker and everything allocated on it. Sums are integers, so allocating and releasing are exact. */
export class WorkerRecord {
    view: WorkerView;
    open = false;
    usedCpu = 0;
    usedMemory = 0;
    usedAccelerators = 0;
    /** Service requests in flight. */
    inFlight = 0;
    /** Service requests in flight by branch. */
    readonly inFlightByBranch = new Map<string, number>();
    /** Tasks that run or are held for a gang on this worker, by item id. */
    readonly tasks = new Map<string, ItemRecord>();
    /** Service requests in flight on this worker, by item id. */
    readonly requests = new Map<string, ItemRecord>();
    reservation: Reservation | undefined;
    /** Whether headroom is kept beside idle accelerators, because tasks that need them arrived recently. */
    keepsHeadroom = false;
    /** Adaptive limit of concurrent service requests; at most the worker's own slots. */
    slotLimit: number;
    /** Moving mean of the ratio of a service request's run time here to its branch's mean run time. */
    latencyRatio = 1;
    /** Bucket in the capacity index; -1 when not in it. */
    bucket = -1;
    positionInBucket = -1;

    constructor(view: WorkerView) {
        this.view = view;
        this.slotLimit = view.slots;
    }

    get id(): string {
        return this.view.workerId;
    }

    get freeCpu(): number {
        return this.view.capacity.cpuMillis - this.view.foreignUse.cpuMillis - this.usedCpu;
    }

    get freeMemory(): number {
        return this.view.capacity.memoryMib - this.view.foreignUse.memoryMib - this.usedMemory;
    }

    get freeAccelerators(): number {
        return this.view.capacity.accelerators - this.view.foreignUse.accelerators - this.usedAccelerators;
    }

    /** @returns Maximum number of service requests that may be in flight now. */
    getSlotCeiling(): number {
        const slots = Math.min(this.view.slots, this.view.maxConnections);
        return Math.min(slots, Math.max(MIN_SLOT_LIMIT, Math.floor(this.slotLimit)));
    }

    /** @returns Whether the demand fits into the free capacity in every dimension. */
    hasCapacity(demand: Resources): boolean {
        return demand.cpuMillis <= this.freeCpu &&
            demand.memoryMib <= this.freeMemory &&
            demand.accelerators <= this.freeAccelerators;
    }

    /** @returns Whether the demand would fit if nothing were allocated here. */
    canHold(demand: Resources): boolean {
        const { capacity, foreignUse } = this.view;
        return demand.cpuMillis <= capacity.cpuMillis - foreignUse.cpuMillis &&
            demand.memoryMib <= capacity.memoryMib - foreignUse.memoryMib &&
            demand.accelerators <= capacity.accelerators - foreignUse.accelerators;
    }

    /**
     * Tells whether a task may start here without a reservation of its own.
     * @remarks On a worker with accelerators, tasks that need none must leave half of the processors and
     * memory that go with each free accelerator, so that accelerator tasks still fit.
     */
    mayTake(demand: Resources): boolean {
        if (!this.hasCapacity(demand)) {
            return false;
        }
        const { capacity } = this.view;
        if (!this.keepsHeadroom || demand.accelerators > 0 || capacity.accelerators === 0) {
            return true;
        }
        const kept = HEADROOM_SHARE * Math.max(0, this.freeAccelerators) / capacity.accelerators;
        return this.freeCpu - demand.cpuMillis >= kept * capacity.cpuMillis &&
            this.freeMemory - demand.memoryMib >= kept * capacity.memoryMib;
    }

    /** Allocates the resources of a running or held task. */
    addTask(record: ItemRecord): void {
        const { resources } = record.item;
        this.usedCpu += resources.cpuMillis;
        this.usedMemory += resources.memoryMib;
        this.usedAccelerators += resources.accelerators;
        this.tasks.set(record.item.id, record);
    }

    /** Releases the resources of a running or held task; does nothing if it is not on this worker. */
    removeTask(record: ItemRecord): void {
        if (!this.tasks.delete(record.item.id)) {
            return;
        }
        const { resources } = record.item;
        this.usedCpu -= resources.cpuMillis;
        this.usedMemory -= resources.memoryMib;
        this.usedAccelerators -= resources.accelerators;
    }

    /** Allocates a slot to a service request. */
    addRequest(record: ItemRecord): void {
        this.inFlight += 1;
        this.requests.set(record.item.id, record);
        const { branch } = record.item;
        this.inFlightByBranch.set(branch, (this.inFlightByBranch.get(branch) ?? 0) + 1);
    }

    /** Releases the slot of a service request; does nothing if it is not on this worker. */
    removeRequest(record: ItemRecord): void {
        if (!this.requests.delete(record.item.id)) {
            return;
        }
        this.inFlight -= 1;
        const { branch } = record.item;
        const left = (this.inFlightByBranch.get(branch) ?? 1) - 1;
        if (left === 0) {
            this.inFlightByBranch.delete(branch);
        }
        else {
            this.inFlightByBranch.set(branch, left);
        }
    }
}

/** Share of the processors and memory beside an idle accelerator that other tasks leave free. */
const HEADROOM_SHARE = 0.5;
