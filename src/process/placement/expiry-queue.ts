/** Waiting requests by the latest instant at which a start is worthwhile. */
import { Heap } from "heap-js";
import type { Millis } from "../../common/clock.js";
import { type ItemRecord, ItemState } from "./item-record.js";

interface Entry {
    readonly record: ItemRecord;
    readonly at: Millis;
}

/** Stale entries allowed before the heap is built again. */
const STALE_FLOOR = 1_024;

/** A heap with lazy removal: adding costs logarithmic time, removing constant time on average. */
export class ExpiryQueue {
    private heap = new Heap<Entry>((left, right) => left.at - right.at);
    private readonly live = new Set<ItemRecord>();

    /** @returns Requests that wait. */
    get size(): number {
        return this.live.size;
    }

    add(record: ItemRecord, at: Millis): void {
        this.live.add(record);
        this.heap.push({ record, at });
    }

    /** Forgets a request that no longer waits. */
    remove(record: ItemRecord): void {
        this.live.delete(record);
        if (this.heap.length > 2 * this.live.size + STALE_FLOOR) {
            const left = this.heap.toArray().filter(entry => this.isLive(entry.record));
            this.heap.init(left);
        }
    }

    /** @returns The earliest instant; undefined when nothing waits. */
    peekAt(): Millis | undefined {
        this.dropStale();
        return this.heap.peek()?.at;
    }

    /** @returns A request whose instant has come, taken out; undefined when there is none. */
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
