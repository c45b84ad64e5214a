/** How much waits in each branch, and whose line is longest: the bounds of all queues. */
import type { ItemRecord } from "./item-record.js";
import { LengthIndex, type Line } from "./line.js";

/** Waiting items of one branch. */
export interface BranchWaiting {
    size: number;
    readonly lengths: LengthIndex;
}

/** Counts waiting items by branch. */
export class WaitingBook {
    /** Service requests that wait. */
    requests = 0;
    /** Tasks that wait. */
    tasks = 0;
    private readonly branches = new Map<string, BranchWaiting>();

    get(branch: string): BranchWaiting {
        let waiting = this.branches.get(branch);
        if (waiting === undefined) {
            waiting = { size: 0, lengths: new LengthIndex() };
            this.branches.set(branch, waiting);
        }
        return waiting;
    }

    /** Appends an item to a line and counts it. */
    push(line: Line, record: ItemRecord): void {
        const waiting = this.get(record.item.branch);
        line.push(record);
        waiting.size += 1;
        this.count(record, 1);
        waiting.lengths.update(line, line.length - 1);
    }

    /** Takes an item out of its line and counts it out. */
    remove(line: Line, record: ItemRecord): void {
        const waiting = this.get(record.item.branch);
        line.remove(record);
        waiting.size -= 1;
        this.count(record, -1);
        waiting.lengths.update(line, line.length + 1);
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
