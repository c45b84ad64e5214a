/**
 * Open workers by free processors, memory and accelerators, so that a fitting worker is found without
 * scanning the fleet.
 *
 * @remarks Workers are in buckets of a grid whose levels grow geometrically. Buckets are visited from the
 * tightest possible fit upwards; a bit mask per row skips empty ones. Only buckets at the boundary of the
 * demand can contain workers that do not fit. Buckets are scanned completely only if no probe succeeded,
 * which happens once per demand until that demand fits again (see `TaskQueue`).
 */
import type { Random } from "../../common/random.js";
import type { Resources } from "../../common/resources.js";
import type { WorkerRecord } from "./worker-record.js";

const LEVELS = 32;
const LEVELS_PER_DOUBLING = 3;
const CPU_BASE = 250;
const MEMORY_BASE = 256;
/** Plane 0 has the workers without accelerators, plane 1 + n those with n free, the last plane n or more. */
const MAX_FREE_ACCELERATORS = 8;
const PLANES = MAX_FREE_ACCELERATORS + 2;
/** Maximum number of workers probed per bucket, and number of fitting ones after which a search ends. */
const MAX_PROBES_PER_BUCKET = 8;
const MAX_CANDIDATES = 12;

/** Computes the cost of choosing a worker; undefined if it may not be chosen. */
export type RateWorker = (worker: WorkerRecord) => number | undefined;

/** Result of a search. */
export interface SearchResult {
    readonly worker: WorkerRecord | undefined;
    /** Ids of the next best workers, best first. */
    readonly runnersUp: readonly string[];
}

/** Grid index of workers by free capacity. */
export class CapacityIndex {
    private readonly buckets: (WorkerRecord[] | undefined)[] = new Array(PLANES * LEVELS * LEVELS);
    private readonly masks = new Int32Array(PLANES * LEVELS);

    /** Adds a worker, or moves it to the bucket of its free capacity. */
    update(worker: WorkerRecord): void {
        const bucket = computeBucket(worker);
        if (bucket === worker.bucket) {
            return;
        }
        this.remove(worker);
        const members = this.buckets[bucket] ??= [];
        worker.bucket = bucket;
        worker.positionInBucket = members.length;
        members.push(worker);
        this.masks[bucket >> 5] = (this.masks[bucket >> 5] ?? 0) | 1 << (bucket & 31);
    }

    /** Removes a worker; does nothing if it is not in the index. */
    remove(worker: WorkerRecord): void {
        const members = this.buckets[worker.bucket];
        if (members === undefined) {
            return;
        }
        const last = members.pop();
        if (last !== undefined && last !== worker) {
            members[worker.positionInBucket] = last;
            last.positionInBucket = worker.positionInBucket;
        }
        if (members.length === 0) {
            this.masks[worker.bucket >> 5] = (this.masks[worker.bucket >> 5] ?? 0) &
                ~(1 << (worker.bucket & 31));
        }
        worker.bucket = -1;
        worker.positionInBucket = -1;
    }

    /** Finds the worker of lowest cost among those in the tightest fitting buckets. */
    find(demand: Resources, rate: RateWorker, random: Random): SearchResult {
        const search = new Search(rate);
        this.visitBuckets(demand, members => search.sample(members, random));
        if (search.isEmpty()) {
            this.visitBuckets(demand, members => search.visit(members));
        }
        return search.getResult();
    }

    /** Visits non-empty buckets that may fit, tightest first, until the visitor returns true. */
    private visitBuckets(demand: Resources, visit: (members: readonly WorkerRecord[]) => boolean): void {
        const cpu = computeLevel(demand.cpuMillis, CPU_BASE);
        const memoryMask = -1 << computeLevel(demand.memoryMib, MEMORY_BASE);
        const firstPlane = demand.accelerators === 0 ?
            0 :
            1 + Math.min(demand.accelerators, MAX_FREE_ACCELERATORS);
        for (let plane = firstPlane; plane < PLANES; plane++) {
            for (let row = plane * LEVELS + cpu; row < (plane + 1) * LEVELS; row++) {
                let mask = (this.masks[row] ?? 0) & memoryMask;
                while (mask !== 0) {
                    const bit = 31 - Math.clz32(mask & -mask);
                    mask &= mask - 1;
                    if (visit(this.buckets[row << 5 | bit] ?? [])) {
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

    /**
     * Probes a few workers of a bucket from a random position; returns whether enough candidates were found.
     */
    sample(members: readonly WorkerRecord[], random: Random): boolean {
        const count = Math.min(members.length, MAX_PROBES_PER_BUCKET);
        const offset = members.length > MAX_PROBES_PER_BUCKET ? random.pickInt(members.length) : 0;
        for (let step = 0; step < count; step++) {
            this.add(members[(offset + step) % members.length]);
        }
        return this.found.length >= MAX_CANDIDATES;
    }

    /** Probes all workers of a bucket; returns whether any candidate was found. */
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

function computeBucket(worker: WorkerRecord): number {
    const plane = worker.view.capacity.accelerators === 0 ?
        0 :
        1 + Math.min(Math.max(0, worker.freeAccelerators), MAX_FREE_ACCELERATORS);
    const row = plane * LEVELS + computeLevel(worker.freeCpu, CPU_BASE);
    return row << 5 | computeLevel(worker.freeMemory, MEMORY_BASE);
}

/** @returns The level of an amount; it never falls as the amount grows. */
function computeLevel(amount: number, base: number): number {
    if (amount < base) {
        return 0;
    }
    return Math.min(LEVELS - 1, 1 + Math.floor(LEVELS_PER_DOUBLING * Math.log2(amount / base)));
}
