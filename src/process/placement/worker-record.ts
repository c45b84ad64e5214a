/** One worker as the placement core books it: what it has, what is taken, and what is kept back on it. */
import type { Millis } from "../../common/clock.js";
import type { Resources } from "../../common/resources.js";
import type { ItemRecord } from "./item-record.js";
import type { WorkerView } from "./placement-core.js";

/** Room kept back on a worker for one waiting task or gang. */
export interface Reservation {
    /** Item id or gang id. */
    readonly ownerId: string;
    /** What one member of the owner takes; the whole need of a task. */
    readonly unit: Resources;
    /** Members that may start here at most; 1 for a task. */
    readonly count: number;
    /** Instant at which, by the corrected estimates, the room will be free. */
    readonly readyAt: Millis;
    /** Instant after which the reservation lapses. */
    readonly expiresAt: Millis;
}

/** Slot limit below which adaptive concurrency never goes. */
const MIN_SLOT_LIMIT = 1;

/** A worker and everything booked on it. Sums are whole numbers, so taking and giving back are exact. */
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
    /** Tasks and holds booked here. */
    readonly tasks = new Map<string, ItemRecord>();
    /** Service requests booked here. */
    readonly requests = new Map<string, ItemRecord>();
    reservation: Reservation | undefined;
    /** Whether room is left beside idle accelerators, because work for them was seen lately. */
    keepsRoom = false;
    /** Adaptive limit of service requests; at most the worker's own slots. */
    slotLimit: number;
    /** Mean ratio of the duration of service requests here to their branch's mean. */
    slowness = 1;
    /** Place in the room index; -1 when not in it. */
    cell = -1;
    positionInCell = -1;

    constructor(view: WorkerView) {
        this.view = view;
        this.slotLimit = view.slots;
    }

    /** @returns The worker's id. */
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

    /** @returns Service requests that it may have in flight now. */
    getSlotCeiling(): number {
        const slots = Math.min(this.view.slots, this.view.maxConnections);
        return Math.min(slots, Math.max(MIN_SLOT_LIMIT, Math.floor(this.slotLimit)));
    }

    /** @returns Whether the need fits into what is free, in every dimension. */
    hasRoom(need: Resources): boolean {
        return need.cpuMillis <= this.freeCpu &&
            need.memoryMib <= this.freeMemory &&
            need.accelerators <= this.freeAccelerators;
    }

    /** @returns Whether the need would fit on the empty worker. */
    canHold(need: Resources): boolean {
        const { capacity, foreignUse } = this.view;
        return need.cpuMillis <= capacity.cpuMillis - foreignUse.cpuMillis &&
            need.memoryMib <= capacity.memoryMib - foreignUse.memoryMib &&
            need.accelerators <= capacity.accelerators - foreignUse.accelerators;
    }

    /**
     * Tells whether a task may go here as ordinary work, that is without a reservation of its own.
     * @remarks On a worker with accelerators, work that needs none leaves half of the processors and memory
     * that belong to each free accelerator, so that accelerator work still finds room.
     */
    mayTake(need: Resources): boolean {
        if (!this.hasRoom(need)) {
            return false;
        }
        const { capacity } = this.view;
        if (!this.keepsRoom || need.accelerators > 0 || capacity.accelerators === 0) {
            return true;
        }
        const kept = KEPT_SHARE * Math.max(0, this.freeAccelerators) / capacity.accelerators;
        return this.freeCpu - need.cpuMillis >= kept * capacity.cpuMillis &&
            this.freeMemory - need.memoryMib >= kept * capacity.memoryMib;
    }

    /** Books a task or hold. */
    addTask(record: ItemRecord): void {
        const { resources } = record.item;
        this.usedCpu += resources.cpuMillis;
        this.usedMemory += resources.memoryMib;
        this.usedAccelerators += resources.accelerators;
        this.tasks.set(record.item.id, record);
    }

    /** Gives back what a task or hold took. */
    removeTask(record: ItemRecord): void {
        if (!this.tasks.delete(record.item.id)) {
            return;
        }
        const { resources } = record.item;
        this.usedCpu -= resources.cpuMillis;
        this.usedMemory -= resources.memoryMib;
        this.usedAccelerators -= resources.accelerators;
    }

    /** Books a service request. */
    addRequest(record: ItemRecord): void {
        this.inFlight += 1;
        this.requests.set(record.item.id, record);
        const { branch } = record.item;
        this.inFlightByBranch.set(branch, (this.inFlightByBranch.get(branch) ?? 0) + 1);
    }

    /** Gives back the slot of a service request. */
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

/** Share of an idle accelerator's processors and memory that other work leaves alone. */
const KEPT_SHARE = 0.5;
