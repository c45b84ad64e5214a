/** Waiting requests, ordered by the latest instant at which starting them is still useful. */
import { Heap } from "heap-js";
import type { Millis } from "../../common/clock.js";
import { type ItemRecord, ItemState } from "./item-record.js";

interface Entry {
    readonly record: ItemRecord;
    readonly at: Millis;
}

/** Stale entries allowed, beyond the number of live ones, before the heap is rebuilt. */
const MIN_STALE_ALLOWANCE = 1_024;

/** A heap with lazy removal: adding takes logarithmic time, removing amortized constant time. */
export class ExpiryQueue {
    private heap = new Heap<Entry>((left, right) => left.at - right.at);
    private readonly live = new Set<ItemRecord>();

    /** Number of waiting requests. */
    get size(): number {
        return this.live.size;
    }

    add(record: ItemRecord, at: Millis): void {
        this.live.add(record);
        this.heap.push({ record, at });
    }

    /** Removes a request that no longer waits. */
    remove(record: ItemRecord): void {
        this.live.delete(record);
        if (this.heap.length > 2 * this.live.size + MIN_STALE_ALLOWANCE) {
            const live = this.heap.toArray().filter(entry => this.isLive(entry.record));
            this.heap.init(live);
        }
    }

    /** @returns The earliest instant; undefined when nothing waits. */
    peekAt(): Millis | undefined {
        this.dropStale();
        return this.heap.peek()?.at;
    }

    /** Removes and returns a request whose instant has passed; undefined when there is none. */
    takeDue(now: Millis): ItemRecord | undefined {
        this.dropStale();
        const top = this.heap.peek();
        if (top === undefined || top.at > now) {
            return undefined;
        }
        this.heap.pop();
        this.live.delete(top.record);
        return top.record;
    }

    private dropStale(): void {
        for (
            let top = this.heap.peek();
            top !== undefined && !this.isLive(top.record);
            top = this.heap.peek()
        ) {
            this.heap.pop();
            this.live.delete(top.record);
        }
    }

    private isLive(record: ItemRecord): boolean {
        return record.state === ItemState.queued && this.live.has(record);
    }
}
