/** Workers that can take one more service request of a branch; sampling takes constant time. */
import type { Random } from "../../common/random.js";
import type { BranchSettings } from "../../version/settings.js";
import type { WorkItem } from "./placement-core.js";
import type { Policy, SpreadCounter } from "./policy.js";
import type { WorkerRecord } from "./worker-record.js";

/** Attempts to sample a worker that is not to be avoided, before all workers are scanned. */
const SAMPLE_ATTEMPTS = 4;

/** The workers with a free slot for a branch. */
export class SlotPool {
    private readonly members: WorkerRecord[] = [];
    private readonly positions = new Map<WorkerRecord, number>();

    constructor(private readonly branch: BranchSettings) {}

    /** Adds or removes a worker by its current state; returns whether it is in the pool. */
    update(worker: WorkerRecord): boolean {
        const position = this.positions.get(worker);
        const fits = this.hasFreeSlot(worker);
        if (fits && position === undefined) {
            this.positions.set(worker, this.members.length);
            this.members.push(worker);
        }
        else if (!fits && position !== undefined) {
            this.drop(worker, position);
        }
        return fits;
    }

    /** @returns The cheaper of two random workers; workers to avoid only if no other has a free slot. */
    choose(item: WorkItem, policy: Policy, spread: SpreadCounter, random: Random): WorkerRecord | undefined {
        const left = this.sample(item, random);
        const right = this.sample(item, random);
        if (left === undefined || right === undefined || left === right) {
            return left ?? right;
        }
        return policy.computeCost(item, left, spread) <= policy.computeCost(item, right, spread) ?
            left :
            right;
    }

    /**
     * Tells whether at least `wanted` slots are free. Each worker in the pool has one or more, so at most
     * `wanted` workers are visited.
     */
    hasFree(wanted: number): boolean {
        let free = 0;
        for (const worker of this.members) {
            if (free >= wanted) {
                break;
            }
            free += this.countFree(worker);
        }
        return free >= wanted;
    }

    private hasFreeSlot(worker: WorkerRecord): boolean {
        return this.countFree(worker) > 0;
    }

    private countFree(worker: WorkerRecord): number {
        const limit = Math.min(this.branch.slotsPerWorker, this.branch.connectionsPerWorker);
        const ofBranch = limit - (worker.inFlightByBranch.get(this.branch.path) ?? 0);
        return worker.open ? Math.min(worker.getSlotCeiling() - worker.inFlight, ofBranch) : 0;
    }

    private sample(item: WorkItem, random: Random): WorkerRecord | undefined {
        if (this.members.length === 0) {
            return undefined;
        }
        for (let step = 0; step < SAMPLE_ATTEMPTS; step++) {
            const worker = this.members[random.pickInt(this.members.length)];
            if (worker !== undefined && !item.avoid.includes(worker.id)) {
                return worker;
            }
        }
        return this.members.find(worker => !item.avoid.includes(worker.id)) ?? this.members[0];
    }

    private drop(worker: WorkerRecord, position: number): void {
        const last = this.members.pop();
        if (last !== undefined && last !== worker) {
            this.members[position] = last;
            this.positions.set(last, position);
        }
        this.positions.delete(worker);
    }
}
