/** The books of one placer: its workers, what runs where, use by team, and where a branch's tasks lie. */
import type { Millis } from "../../common/clock.js";
import {
    addResources,
    isWithin,
    NO_RESOURCES,
    removeResources,
    type Resources,
} from "../../common/resources.js";
import { Spread } from "../../version/settings.js";
import { type ItemRecord, ItemState } from "./item-record.js";
import type { WorkerView, WorkItem } from "./placement-core.js";
import type { PlaceView, SpreadCount } from "./policy.js";
import { RoomIndex } from "./room-index.js";
import { TeamBook } from "./team-book.js";
import { type Reservation, WorkerRecord } from "./worker-record.js";

/** Told when a worker may have more room than before. */
export interface RoomListener {
    handleRoom(worker: WorkerRecord): void;
}

/** Told when a worker's free slots changed. */
export interface SlotListener {
    handleSlots(worker: WorkerRecord): void;
}

/** Every booking goes through here, so that the indexes always agree with the sums. */
export class Books implements SpreadCount {
    readonly workers = new Map<string, WorkerRecord>();
    readonly records = new Map<string, ItemRecord>();
    readonly teams = new TeamBook();
    readonly index = new RoomIndex();
    /** Workers with room kept back; they are not in the index. */
    readonly reserved = new Set<WorkerRecord>();
    private readonly roomListeners: RoomListener[] = [];
    private readonly slotListeners: SlotListener[] = [];
    private readonly spread = new Map<string, number>();
    private keepsRoom = false;
    /** Made again after workers came, went or changed their capacity. */
    private fleet: Fleet | undefined;

    /** Adds a listener; called before the first worker. */
    subscribeRoom(listener: RoomListener): void {
        this.roomListeners.push(listener);
    }

    /** Adds a listener; called before the first worker. */
    subscribeSlots(listener: SlotListener): void {
        this.slotListeners.push(listener);
    }

    /** Adds a worker, closed, or takes over its new capacity. */
    updateWorker(view: WorkerView): void {
        const worker = this.workers.get(view.workerId);
        if (worker === undefined) {
            this.fleet = undefined;
            const added = new WorkerRecord(view);
            added.keepsRoom = this.keepsRoom;
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

    /** Forgets a worker; returns what was on it. */
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

    /** Begins or ends leaving room beside idle accelerators. */
    setKeepsRoom(keepsRoom: boolean): void {
        this.keepsRoom = keepsRoom;
        for (const worker of this.getFleet().accelerated) {
            worker.keepsRoom = keepsRoom;
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

    /** Keeps room back on a worker, or ends that. */
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

    /** Books an item on a worker as held or running. */
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
        this.countSpread(record, worker, 1);
        this.placeInIndex(worker);
    }

    /** Gives back all that an item took and forgets it. */
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
        this.countSpread(record, worker, -1);
        this.teams.get(item.team).release(item.resources);
        this.refresh(worker);
    }

    /** Tells listeners that a worker's slots changed. */
    notifySlots(worker: WorkerRecord): void {
        for (const listener of this.slotListeners) {
            listener.handleSlots(worker);
        }
    }

    /** @returns Workers from which to sample a place for a need; those with accelerators if it needs any. */
    listCandidates(need: Resources): readonly WorkerRecord[] {
        const { all, accelerated } = this.getFleet();
        return need.accelerators > 0 ? accelerated : all;
    }

    /** @returns Largest capacity of one worker, dimension by dimension. */
    getLargestCapacity(): Resources {
        return this.getFleet().largest;
    }

    /** @returns Whether some worker could hold the need when empty. */
    canEverHold(need: Resources): boolean {
        return this.getFleet().sizes.some(size => isWithin(need, size));
    }

    countNear(item: WorkItem, place: PlaceView): number {
        return this.spread.get(`${item.branch}|${place.view.rack}`) ??
            this.spread.get(`${item.branch}|${place.view.failureDomain}`) ?? 0;
    }

    /** @returns Sum of what open workers have free. */
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
        this.placeInIndex(worker);
        if (worker.open) {
            for (const listener of this.roomListeners) {
                listener.handleRoom(worker);
            }
        }
        this.notifySlots(worker);
    }

    private placeInIndex(worker: WorkerRecord): void {
        if (worker.open && worker.reservation === undefined) {
            this.index.update(worker);
        }
        else {
            this.index.remove(worker);
        }
    }

    /** Counts only branches that spread, by the place that they keep apart. */
    private countSpread(record: ItemRecord, worker: WorkerRecord, change: number): void {
        const spread = record.branch?.spread ?? Spread.none;
        if (spread === Spread.none) {
            return;
        }
        const place = spread === Spread.rack ? worker.view.rack : worker.view.failureDomain;
        const key = `${record.item.branch}|${place}`;
        const count = (this.spread.get(key) ?? 0) + change;
        if (count <= 0) {
            this.spread.delete(key);
        }
        else {
            this.spread.set(key, count);
        }
    }
}

/** What changes only with the fleet itself. */
interface Fleet {
    readonly all: readonly WorkerRecord[];
    readonly accelerated: readonly WorkerRecord[];
    readonly largest: Resources;
    /** Capacities that occur, each once. */
    readonly sizes: readonly Resources[];
}

function buildFleet(all: readonly WorkerRecord[]): Fleet {
    const sizes = new Map<string, Resources>();
    let largest = NO_RESOURCES;
    for (const { view: { capacity } } of all) {
        sizes.set(`${capacity.cpuMillis}/${capacity.memoryMib}/${capacity.accelerators}`, capacity);
        largest = computeMost(largest, capacity);
    }
    const accelerated = all.filter(worker => worker.view.capacity.accelerators > 0);
    return { all, accelerated, largest, sizes: [...sizes.values()] };
}

function isSameAmount(left: Resources, right: Resources): boolean {
    return isWithin(left, right) && isWithin(right, left);
}

/** @returns The larger amount in each dimension. */
export function computeMost(left: Resources, right: Resources): Resources {
    return {
        cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
        memoryMib: Math.max(left.memoryMib, right.memoryMib),
        accelerators: Math.max(left.accelerators, right.accelerators),
    };
}
