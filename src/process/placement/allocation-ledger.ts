/** Allocations of one placer: its workers, what runs on them, usage by team and spread by branch. */
import type { Millis } from "../../common/clock.js";
import {
    addResources,
    isWithin,
    NO_RESOURCES,
    removeResources,
    type Resources,
} from "../../common/resources.js";
import { Spread } from "../../version/settings.js";
import { CapacityIndex } from "./capacity-index.js";
import { type ItemRecord, ItemState } from "./item-record.js";
import type { WorkerView, WorkItem } from "./placement-core.js";
import type { CandidateView, SpreadCounter } from "./policy.js";
import { TeamRegistry } from "./team-registry.js";
import { type Reservation, WorkerRecord } from "./worker-record.js";

/** Notified when a worker may have more free capacity than before. */
export interface CapacityListener {
    handleCapacity(worker: WorkerRecord): void;
}

/** Notified when a worker's free slots may have changed. */
export interface SlotListener {
    handleSlots(worker: WorkerRecord): void;
}

/** Makes and releases all allocations, so that the indexes always agree with the sums. */
export class AllocationLedger implements SpreadCounter {
    readonly workers = new Map<string, WorkerRecord>();
    readonly records = new Map<string, ItemRecord>();
    readonly teams = new TeamRegistry();
    readonly index = new CapacityIndex();
    /** Workers with a reservation; they are not in the capacity index. */
    readonly reserved = new Set<WorkerRecord>();
    private readonly capacityListeners: CapacityListener[] = [];
    private readonly slotListeners: SlotListener[] = [];
    private readonly spread = new Map<string, number>();
    private keepsHeadroom = false;
    /** Derived from the workers on demand; reset when one is added, removed or changes its capacity. */
    private fleet: Fleet | undefined;

    /** Adds a listener; called before the first worker. */
    subscribeCapacity(listener: CapacityListener): void {
        this.capacityListeners.push(listener);
    }

    /** Adds a listener; called before the first worker. */
    subscribeSlots(listener: SlotListener): void {
        this.slotListeners.push(listener);
    }

    /** Adds a worker, closed for new work, or updates its capacity. */
    updateWorker(view: WorkerView): void {
        const worker = this.workers.get(view.workerId);
        if (worker === undefined) {
            this.fleet = undefined;
            const added = new WorkerRecord(view);
            added.keepsHeadroom = this.keepsHeadroom;
            this.workers.set(view.workerId, added);
            this.teams.total = addResources(this.teams.total, view.capacity);
            return;
        }
        const { capacity } = worker.view;
        if (!isSameAmount(capacity, view.capacity)) {
            this.fleet = undefined;
        }
        this.teams.total = addResources(removeResources(this.teams.total, capacity), view.capacity);
        if (view.slots !== worker.view.slots) {
            worker.slotLimit = view.slots;
        }
        worker.view = view;
        this.refresh(worker);
    }

    /** Removes a worker and releases everything on it; returns those items. */
    removeWorker(workerId: string): readonly ItemRecord[] {
        const worker = this.workers.get(workerId);
        if (worker === undefined) {
            return [];
        }
        const lost = [...worker.tasks.values(), ...worker.requests.values()];
        worker.open = false;
        this.setReservation(worker, undefined);
        this.refresh(worker);
        for (const record of lost) {
            this.release(record);
        }
        this.workers.delete(workerId);
        this.fleet = undefined;
        this.teams.total = removeResources(this.teams.total, worker.view.capacity);
        return lost;
    }

    /** Turns on or off the headroom beside idle accelerators. */
    setKeepsHeadroom(keepsHeadroom: boolean): void {
        this.keepsHeadroom = keepsHeadroom;
        for (const worker of this.getFleet().accelerated) {
            worker.keepsHeadroom = keepsHeadroom;
            this.refresh(worker);
        }
    }

    setOpen(worker: WorkerRecord, open: boolean): void {
        worker.open = open;
        if (!open) {
            this.setReservation(worker, undefined);
        }
        this.refresh(worker);
    }

    /** Sets or removes the reservation of a worker. */
    setReservation(worker: WorkerRecord, reservation: Reservation | undefined): void {
        const before = worker.reservation;
        worker.reservation = reservation;
        if (reservation === undefined) {
            this.reserved.delete(worker);
        }
        else {
            this.reserved.add(worker);
        }
        if (before !== reservation) {
            this.refresh(worker);
        }
    }

    /** Allocates an item on a worker, as held or running. */
    place(record: ItemRecord, worker: WorkerRecord, state: "held" | "running", now: Millis): void {
        record.state = state;
        record.worker = worker;
        record.startedAt = now;
        this.records.set(record.item.id, record);
        if (record.item.kind === "service") {
            worker.addRequest(record);
            this.notifySlots(worker);
            return;
        }
        worker.addTask(record);
        this.teams.get(record.item.team).use(record.item.resources);
        this.updateSpread(record, worker, 1);
        this.updateIndex(worker);
    }

    /** Releases everything that an item occupies and forgets it. */
    release(record: ItemRecord): void {
        const { worker, item } = record;
        this.records.delete(item.id);
        record.worker = undefined;
        if (worker === undefined || record.state === ItemState.queued) {
            return;
        }
        if (item.kind === "service") {
            worker.removeRequest(record);
            this.notifySlots(worker);
            return;
        }
        worker.removeTask(record);
        this.updateSpread(record, worker, -1);
        this.teams.get(item.team).release(item.resources);
        this.refresh(worker);
    }

    /** Notifies the listeners that a worker's slots changed. */
    notifySlots(worker: WorkerRecord): void {
        for (const listener of this.slotListeners) {
            listener.handleSlots(worker);
        }
    }

    /** @returns Workers to sample from for a demand: only those with accelerators if it includes any. */
    listCandidates(demand: Resources): readonly WorkerRecord[] {
        const { all, accelerated } = this.getFleet();
        return demand.accelerators > 0 ? accelerated : all;
    }

    /** @returns Largest capacity of any worker, taken separately in each dimension. */
    getLargestCapacity(): Resources {
        return this.getFleet().largest;
    }

    /** @returns Whether some worker has the capacity for the demand when nothing else runs there. */
    canEverHold(demand: Resources): boolean {
        return this.getFleet().sizes.some(size => isWithin(demand, size));
    }

    countNear(item: WorkItem, candidate: CandidateView): number {
        return this.spread.get(`${item.branch}|${candidate.view.rack}`) ??
            this.spread.get(`${item.branch}|${candidate.view.failureDomain}`) ?? 0;
    }

    /** @returns Total free capacity of the open workers. */
    sumFree(): Resources {
        let free = NO_RESOURCES;
        for (const worker of this.workers.values()) {
            if (worker.open) {
                free = addResources(free, {
                    cpuMillis: Math.max(0, worker.freeCpu),
                    memoryMib: Math.max(0, worker.freeMemory),
                    accelerators: Math.max(0, worker.freeAccelerators),
                });
            }
        }
        return free;
    }

    private getFleet(): Fleet {
        this.fleet ??= buildFleet([...this.workers.values()]);
        return this.fleet;
    }

    private refresh(worker: WorkerRecord): void {
        this.updateIndex(worker);
        if (worker.open) {
            for (const listener of this.capacityListeners) {
                listener.handleCapacity(worker);
            }
        }
        this.notifySlots(worker);
    }

    private updateIndex(worker: WorkerRecord): void {
        if (worker.open && worker.reservation === undefined) {
            this.index.update(worker);
        }
        else {
            this.index.remove(worker);
        }
    }

    /** Counts tasks by rack or failure domain, only for branches that spread over them. */
    private updateSpread(record: ItemRecord, worker: WorkerRecord, change: number): void {
        const spread = record.branch?.spread ?? Spread.none;
        if (spread === Spread.none) {
            return;
        }
        const location = spread === Spread.rack ? worker.view.rack : worker.view.failureDomain;
        const key = `${record.item.branch}|${location}`;
        const count = (this.spread.get(key) ?? 0) + change;
        if (count <= 0) {
            this.spread.delete(key);
        }
        else {
            this.spread.set(key, count);
        }
    }
}

/** Values derived from the set of workers and their capacities. */
interface Fleet {
    readonly all: readonly WorkerRecord[];
    readonly accelerated: readonly WorkerRecord[];
    readonly largest: Resources;
    /** Distinct capacities of the workers. */
    readonly sizes: readonly Resources[];
}

function buildFleet(all: readonly WorkerRecord[]): Fleet {
    const sizes = new Map<string, Resources>();
    let largest = NO_RESOURCES;
    for (const { view: { capacity } } of all) {
        sizes.set(`${capacity.cpuMillis}/${capacity.memoryMib}/${capacity.accelerators}`, capacity);
        largest = computeMaximum(largest, capacity);
    }
    const accelerated = all.filter(worker => worker.view.capacity.accelerators > 0);
    return { all, accelerated, largest, sizes: [...sizes.values()] };
}

function isSameAmount(left: Resources, right: Resources): boolean {
    return isWithin(left, right) && isWithin(right, left);
}

/** @returns The larger amount in each dimension. */
export function computeMaximum(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
        memoryMib: Math.max(left.memoryMib, right.memoryMib),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}
