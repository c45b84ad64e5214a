/**
 * Open workers by free processors, memory and accelerators, so that a fitting worker is found without going
 * through the fleet.
 *
 * @remarks Workers lie in cells of a grid whose steps grow geometrically. Cells are visited from the
 * tightest that could fit upwards; a bit mask for each row skips empty ones. Only cells on the edge of the
 * need can hold workers that do not fit, and they are gone through whole only when no probe succeeded, which
 * happens once for each size until that size fits again (see `RoomQueue`).
 */
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { WorkerRecord } from "./worker-record.js";

const BUCKETS = 32;
const STEPS_PER_DOUBLING = 3;
const CPU_BASE = 250;
const MEMORY_BASE = 256;
/** Plane 0: workers without accelerators; plane 1 + n: n accelerators free, the last plane n or more. */
const MAX_FREE_PLANE = 8;
const PLANES = MAX_FREE_PLANE + 2;
/** Workers looked at in one cell, and fitting ones compared, before the search ends. */
const PROBES_PER_CELL = 8;
const MAX_CANDIDATES = 12;

/** Whether and at which cost a worker may be chosen; undefined when it may not. */
export type RateWorker = (worker: WorkerRecord) => number | undefined;

/** What a search found. */
export interface SearchResult {
    readonly worker: WorkerRecord | undefined;
    /** Next best ones, best first. */
    readonly runnersUp: readonly string[];
}

/** The grid. */
export class RoomIndex {
    private readonly cells: (WorkerRecord[] | undefined)[] = new Array(PLANES * BUCKETS * BUCKETS);
    private readonly masks = new Int32Array(PLANES * BUCKETS);

    /** Puts a worker in, or moves it to where its free room belongs. */
    update(worker: WorkerRecord): void {
        const cell = computeCell(worker);
        if (cell === worker.cell) {
            return;
        }
        this.remove(worker);
        const members = this.cells[cell] ??= [];
        worker.cell = cell;
        worker.positionInCell = members.length;
        members.push(worker);
        this.masks[cell >> 5] = (this.masks[cell >> 5] ?? 0) | 1 << (cell & 31);
    }

    /** Takes a worker out. */
    remove(worker: WorkerRecord): void {
        const members = this.cells[worker.cell];
        if (members === undefined) {
            return;
        }
        const last = members.pop();
        if (last !== undefined && last !== worker) {
            members[worker.positionInCell] = last;
            last.positionInCell = worker.positionInCell;
        }
        if (members.length === 0) {
            this.masks[worker.cell >> 5] = (this.masks[worker.cell >> 5] ?? 0) & ~(1 << (worker.cell & 31));
        }
        worker.cell = -1;
        worker.positionInCell = -1;
    }

    /** Finds the cheapest of the tightest fitting workers. */
    find(need: Resources, rate: RateWorker, random: Random): SearchResult {
        const search = new Search(rate);
        this.visitCells(need, members => search.sample(members, random));
        if (search.isEmpty()) {
            this.visitCells(need, members => search.visit(members));
        }
        return search.getResult();
    }

    /** Visits non-empty cells that may fit, tightest first, until the visitor returns true. */
    private visitCells(need: Resources, visit: (members: readonly WorkerRecord[]) => boolean): void {
        const cpu = computeBucket(need.cpuMillis, CPU_BASE);
        const memoryMask = -1 << computeBucket(need.memoryMib, MEMORY_BASE);
        const firstPlane = need.accelerators === 0 ? 0 : 1 + Math.min(need.accelerators, MAX_FREE_PLANE);
        for (let plane = firstPlane; plane < PLANES; plane++) {
            for (let row = plane * BUCKETS + cpu; row < (plane + 1) * BUCKETS; row++) {
                let mask = (this.masks[row] ?? 0) & memoryMask;
                while (mask !== 0) {
                    const bit = 31 - Math.clz32(mask & -mask);
                    mask &= mask - 1;
                    if (visit(this.cells[row << 5 | bit] ?? [])) {
                        return;
                    }
                }
            }
        }
    }
}

/** Candidates of one search. */
class Search {
    private readonly found: { readonly worker: WorkerRecord; readonly cost: number; }[] = [];

    constructor(private readonly rate: RateWorker) {}

    isEmpty(): boolean {
        return this.found.length === 0;
    }

    /** Looks at a few workers of a cell, from a random place on; returns whether there are enough. */
    sample(members: readonly WorkerRecord[], random: Random): boolean {
        const count = Math.min(members.length, PROBES_PER_CELL);
        const offset = members.length > PROBES_PER_CELL ? random.pickInt(members.length) : 0;
        for (let step = 0; step < count; step++) {
            this.add(members[(offset + step) % members.length]);
        }
        return this.found.length >= MAX_CANDIDATES;
    }

    /** Looks at all workers of a cell; returns whether one was found. */
    visit(members: readonly WorkerRecord[]): boolean {
        for (const worker of members) {
            this.add(worker);
        }
        return this.found.length > 0;
    }

    getResult(): SearchResult {
        this.found.sort((left, right) => left.cost - right.cost);
        return {
            worker: this.found[0]?.worker,
            runnersUp: this.found.slice(1, 1 + MAX_RUNNERS_UP).map(entry => entry.worker.id),
        };
    }

    private add(worker: WorkerRecord | undefined): void {
        const cost = worker === undefined ? undefined : this.rate(worker);
        if (worker !== undefined && cost !== undefined) {
            this.found.push({ worker, cost });
        }
    }
}

const MAX_RUNNERS_UP = 2;

function computeCell(worker: WorkerRecord): number {
    const plane = worker.view.capacity.accelerators === 0 ?
        0 :
        1 + Math.min(Math.max(0, worker.freeAccelerators), MAX_FREE_PLANE);
    const row = plane * BUCKETS + computeBucket(worker.freeCpu, CPU_BASE);
    return row << 5 | computeBucket(worker.freeMemory, MEMORY_BASE);
}

/** @returns A bucket that never falls as the amount grows. */
function computeBucket(amount: number, base: number): number {
    if (amount < base) {
        return 0;
    }
    return Math.min(BUCKETS - 1, 1 + Math.floor(STEPS_PER_DOUBLING * Math.log2(amount / base)));
}
