/** Counts waiting items by branch and tracks each branch's longest flow, for the queue limits. */
import { type Flow, LengthIndex } from "./flow.js";
import type { ItemRecord } from "./item-record.js";

/** Number of waiting items of one branch, and its flows by length. */
export interface BranchBacklog {
    size: number;
    readonly flowLengths: LengthIndex;
}

/** Waiting items of one placer. */
export class WaitingTracker {
    /** Number of waiting service requests. */
    requests = 0;
    /** Number of waiting tasks. */
    tasks = 0;
    private readonly branches = new Map<string, BranchBacklog>();

    get(branch: string): BranchBacklog {
        let waiting = this.branches.get(branch);
        if (waiting === undefined) {
            waiting = { size: 0, flowLengths: new LengthIndex() };
            this.branches.set(branch, waiting);
        }
        return waiting;
    }

    /** Appends an item to a flow and counts it. */
    push(flow: Flow, record: ItemRecord): void {
        const waiting = this.get(record.item.branch);
        flow.push(record);
        waiting.size += 1;
        this.count(record, 1);
        waiting.flowLengths.update(flow, flow.length - 1);
    }

    /** Removes an item from its flow and from the counts. */
    remove(flow: Flow, record: ItemRecord): void {
        const waiting = this.get(record.item.branch);
        flow.remove(record);
        waiting.size -= 1;
        this.count(record, -1);
        waiting.flowLengths.update(flow, flow.length + 1);
    }

    private count(record: ItemRecord, change: number): void {
        if (record.item.kind === "service") {
            this.requests += change;
        }
        else {
            this.tasks += change;
        }
    }
}
