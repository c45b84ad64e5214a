/**
 * Baseline schedulers for comparison in benches: one queue in order of arrival and a linear scan of the workers.
 *
 * @remarks `first-come` stops at the first item that does not fit; the others skip it. All drop items whose deadline
 * has passed.
 */
import type { Random } from "../../src/common/random.js";
import { isWithin, removeResources, type Resources } from "../../src/common/resources.js";
import type { WorkerView, WorkItem } from "../../src/process/placement/index.js";
import type { Start, Step, Subject } from "./subject.js";

interface BaselineWorker {
    readonly id: string;
    free: Resources;
    freeSlots: number;
    readonly capacity: Resources;
}

interface Waiting {
    readonly sequence: number;
    readonly items: readonly WorkItem[];
}

/** Waiting entries of one size, in order of arrival; `head` is the index of the first that still waits. */
interface SizeQueue {
    readonly waiting: Waiting[];
    head: number;
}

/** Chooses one of the fitting workers, which are given in fleet order. */
type ChooseWorker = (fitting: readonly BaselineWorker[], random: Random) => BaselineWorker | undefined;

export const BASELINES = {
    "first-come": { skips: false, choose: fitting => fitting[0] },
    "first-fit": { skips: true, choose: fitting => fitting[0] },
    "random": {
        skips: true,
        choose: (fitting, random) => fitting[random.pickInt(Math.max(1, fitting.length))],
    },
    "least-loaded": { skips: true, choose: chooseLeastLoaded },
} satisfies Record<string, { readonly skips: boolean; readonly choose: ChooseWorker; }>;
export type BaselineName = keyof typeof BASELINES;

export class BaselineSubject implements Subject {
    private readonly workers: BaselineWorker[];
    private readonly queues = new Map<string, SizeQueue>();
    private sequence = 0;
    private readonly running = new Map<
        string,
        { readonly item: WorkItem; readonly worker: BaselineWorker; }
    >();
    private readonly withdrawn = new Set<string>();

    constructor(readonly name: BaselineName, views: readonly WorkerView[], private readonly random: Random) {
        this.workers = views.map(view => ({
            id: view.workerId,
            free: view.capacity,
            capacity: view.capacity,
            freeSlots: view.slots,
        }));
    }

    enqueue(item: WorkItem): boolean {
        this.push([item]);
        return true;
    }

    enqueueGang(_gangId: string, items: readonly WorkItem[]): void {
        this.push(items);
    }

    release(itemId: string): void {
        const entry = this.running.get(itemId);
        this.running.delete(itemId);
        if (entry !== undefined) {
            this.use(entry.item, entry.worker, -1);
        }
    }

    withdraw(itemId: string): void {
        this.withdrawn.add(itemId);
    }

    removeWorker(workerId: string): readonly string[] {
        const lost = [...this.running].filter(([, entry]) => entry.worker.id === workerId).map(([id]) => id);
        lost.forEach(id => this.running.delete(id));
        this.workers.splice(this.workers.findIndex(worker => worker.id === workerId), 1);
        return lost;
    }

    decide(now: number): Step {
        const starts: Start[] = [];
        const shed: WorkItem[] = [];
        const { skips } = BASELINES[this.name];
        // A size that fits no worker now fits none for the rest of this call; skipping it only saves time.
        const failed = new Set<SizeQueue>();
        for (let queue = this.findFirst(failed, now, shed); queue !== undefined;) {
            const waiting = queue.waiting[queue.head];
            const placed = waiting === undefined ? undefined : this.tryPlace(waiting);
            if (placed === undefined) {
                failed.add(queue);
                if (!skips) {
                    break;
                }
            }
            else {
                queue.head += 1;
                starts.push(...placed);
            }
            queue = this.findFirst(failed, now, shed);
        }
        return { starts, shed, stops: [] };
    }

    getNextAt(): number | undefined {
        return undefined;
    }

    private push(items: readonly WorkItem[]): void {
        const [first] = items;
        if (first === undefined) {
            return;
        }
        const { cpuMillis, memoryMib, accelerators } = first.resources;
        const key = `${first.branch}/${cpuMillis}/${memoryMib}/${accelerators}/${items.length}`;
        const queue = this.queues.get(key) ?? { waiting: [], head: 0 };
        this.queues.set(key, queue);
        this.sequence += 1;
        queue.waiting.push({ sequence: this.sequence, items });
    }

    /** Finds the queue whose first entry arrived first; drops withdrawn and expired entries from the heads. */
    private findFirst(failed: ReadonlySet<SizeQueue>, now: number, shed: WorkItem[]): SizeQueue | undefined {
        let best: SizeQueue | undefined;
        let bestSequence = Infinity;
        for (const queue of this.queues.values()) {
            this.dropFirst(queue, now, shed);
            const sequence = queue.waiting[queue.head]?.sequence ?? Infinity;
            if (sequence < bestSequence && !failed.has(queue)) {
                best = queue;
                bestSequence = sequence;
            }
        }
        return best;
    }

    private dropFirst(queue: SizeQueue, now: number, shed: WorkItem[]): void {
        for (let first = queue.waiting[queue.head]?.items[0]; first !== undefined;) {
            const isLate = first.deadline !== undefined && first.deadline <= now;
            if (!isLate && !this.withdrawn.delete(first.id)) {
                return;
            }
            if (isLate) {
                shed.push(first);
            }
            queue.head += 1;
            first = queue.waiting[queue.head]?.items[0];
        }
        if (queue.head > 0) {
            queue.waiting.splice(0, queue.head);
            queue.head = 0;
        }
    }

    private tryPlace(waiting: Waiting): readonly Start[] | undefined {
        const placed: { readonly item: WorkItem; readonly worker: BaselineWorker; }[] = [];
        for (const item of waiting.items) {
            const fitting = this.workers.filter(worker => isFitting(item, worker));
            const worker = fitting.length === 0 ?
                undefined :
                BASELINES[this.name].choose(fitting, this.random);
            if (worker === undefined) {
                placed.forEach(entry => this.use(entry.item, entry.worker, -1));
                return undefined;
            }
            this.use(item, worker, 1);
            placed.push({ item, worker });
        }
        placed.forEach(entry => this.running.set(entry.item.id, entry));
        return placed.map(entry => ({ item: entry.item, workerId: entry.worker.id }));
    }

    /** Reserves an item's resources on a worker (sign 1) or releases them (-1). */
    private use(item: WorkItem, worker: BaselineWorker, sign: 1 | -1): void {
        if (item.kind === "service") {
            worker.freeSlots -= sign;
            return;
        }
        const { cpuMillis, memoryMib, accelerators } = item.resources;
        worker.free = removeResources(worker.free, {
            cpuMillis: sign * cpuMillis,
            memoryMib: sign * memoryMib,
            accelerators: sign * accelerators,
        });
    }
}

function isFitting(item: WorkItem, worker: BaselineWorker): boolean {
    return item.kind === "service" ? worker.freeSlots > 0 : isWithin(item.resources, worker.free);
}

function chooseLeastLoaded(fitting: readonly BaselineWorker[]): BaselineWorker | undefined {
    const computeFree = (worker: BaselineWorker) =>
        worker.freeSlots + worker.free.cpuMillis / worker.capacity.cpuMillis;
    return fitting.reduce<BaselineWorker | undefined>(
        (best, worker) => best === undefined || computeFree(worker) > computeFree(best) ? worker : best,
        undefined,
    );
}
