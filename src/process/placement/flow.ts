/**
 * Flows in the sense of fair queueing: waiting items of one caller or team, served in order of arrival, and a
 * heap that orders flows by the rank that their policy computes.
 */
import { Heap } from "heap-js";
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import type { ItemRecord } from "./item-record.js";
import type { Policy } from "./policy.js";
import type { TeamUsage } from "./team-registry.js";

/** Waiting items of one caller or team in one queue: a linked list with constant-time removal. */
export class Flow {
    head: ItemRecord | undefined;
    length = 0;
    /** Start tag and finish tag of start-time fair queueing, in milliseconds of service. */
    startTag = 0;
    finishTag = 0;
    /** Version of the valid heap entry; entries with older versions are stale. */
    version = 0;
    isInHeap = false;
    private tail: ItemRecord | undefined;

    constructor(
        readonly key: string,
        readonly branch: BranchSettings,
        readonly policy: Policy,
        readonly urgent: boolean,
        readonly team: TeamUsage,
        readonly queue: FlowOwner,
    ) {}

    /** Appends an item. */
    push(record: ItemRecord): void {
        record.flow = this;
        record.previous = this.tail;
        record.next = undefined;
        if (this.tail === undefined) {
            this.head = record;
        }
        else {
            this.tail.next = record;
        }
        this.tail = record;
        this.length += 1;
    }

    /** Removes an item at any position. */
    remove(record: ItemRecord): void {
        if (record.previous === undefined) {
            this.head = record.next;
        }
        else {
            record.previous.next = record.next;
        }
        if (record.next === undefined) {
            this.tail = record.previous;
        }
        else {
            record.next.previous = record.previous;
        }
        record.flow = undefined;
        record.previous = undefined;
        record.next = undefined;
        this.length -= 1;
    }

    /** @returns The newest item, or undefined. */
    peekLast(): ItemRecord | undefined {
        return this.tail;
    }

    /** @returns Instant at which the first item began to wait; 0 if the flow is empty. */
    getHeadQueuedAt(): Millis {
        return this.head?.item.queuedAt ?? 0;
    }
}

/** The queue to which a flow belongs. */
export interface FlowOwner {
    /** Puts a flow back into the scheduling order, for example after its team released resources. */
    refresh(flow: Flow): void;
}

interface HeapEntry {
    readonly flow: Flow;
    readonly rank: number;
    readonly version: number;
    readonly sequence: number;
}

/** Entries allowed per active flow, plus a constant, before the heap is rebuilt without stale ones. */
const MAX_STALE_PER_FLOW = 4;
const MIN_STALE_ALLOWANCE = 64;

/** Flows by rank, lowest first; flows of equal rank in the order of insertion. */
export class FlowHeap {
    private heap = new Heap<HeapEntry>(compareEntries);
    private sequence = 0;
    private active = 0;

    /** Adds a flow, or moves it to its current rank. */
    push(flow: Flow): void {
        flow.version += 1;
        if (!flow.isInHeap) {
            flow.isInHeap = true;
            this.active += 1;
        }
        this.sequence += 1;
        const rank = flow.policy.computeRank(flow);
        this.heap.push({ flow, rank, version: flow.version, sequence: this.sequence });
        if (this.heap.length > MAX_STALE_PER_FLOW * this.active + MIN_STALE_ALLOWANCE) {
            this.rebuild();
        }
    }

    /** Removes a flow. */
    remove(flow: Flow): void {
        if (flow.isInHeap) {
            flow.isInHeap = false;
            flow.version += 1;
            this.active -= 1;
        }
    }

    /** @returns The flow of lowest rank, or undefined. Ranks that rose since the push are corrected here. */
    peek(): Flow | undefined {
        for (let top = this.heap.peek(); top !== undefined; top = this.heap.peek()) {
            const { flow } = top;
            if (top.version !== flow.version) {
                this.heap.pop();
                continue;
            }
            if (flow.length === 0) {
                this.heap.pop();
                this.remove(flow);
                continue;
            }
            if (flow.policy.computeRank(flow) <= top.rank) {
                return flow;
            }
            this.heap.pop();
            this.push(flow);
        }
        return undefined;
    }

    private rebuild(): void {
        const live = this.heap.toArray().filter(entry => entry.version === entry.flow.version);
        this.heap = new Heap<HeapEntry>(compareEntries);
        this.heap.init(live);
    }
}

function compareEntries(left: HeapEntry, right: HeapEntry): number {
    return left.rank - right.rank || left.sequence - right.sequence;
}

/** Flows of one branch by length, so that the longest is found in constant time. */
export class LengthIndex {
    private readonly byLength: Set<Flow>[] = [];
    private longest = 0;

    /** Updates the index after a flow grew or shrank by one from the length `before`. */
    update(flow: Flow, before: number): void {
        this.byLength[before]?.delete(flow);
        if (flow.length > 0) {
            (this.byLength[flow.length] ??= new Set()).add(flow);
            this.longest = Math.max(this.longest, flow.length);
        }
        while (this.longest > 0 && (this.byLength[this.longest]?.size ?? 0) === 0) {
            this.longest -= 1;
        }
    }

    /** @returns One of the longest flows, or undefined if all are empty. */
    peekLongest(): Flow | undefined {
        return this.byLength[this.longest]?.values().next().value;
    }
}
