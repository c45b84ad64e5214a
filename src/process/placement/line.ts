/**
 * Waiting lines: items of one caller or team that go in order of arrival, and the heap that orders lines by
 * the rank that a policy gives them.
 */
import { Heap } from "heap-js";
import type { Millis } from "../../common/clock.js";
import type { BranchSettings } from "../../version/settings.js";
import type { ItemRecord } from "./item-record.js";
import type { Policy } from "./policy.js";
import type { TeamAccount } from "./team-book.js";

/** Items of one caller or team in one queue. Adding, taking and removing anywhere cost constant time. */
export class Line {
    head: ItemRecord | undefined;
    length = 0;
    /** Start tag and finish tag of start-time fair queueing, in milliseconds of served time. */
    startTag = 0;
    finishTag = 0;
    /** Entry of the heap that counts; older entries are stale. */
    version = 0;
    isInHeap = false;
    private tail: ItemRecord | undefined;

    constructor(
        readonly key: string,
        readonly branch: BranchSettings,
        readonly policy: Policy,
        readonly urgent: boolean,
        readonly team: TeamAccount,
        readonly queue: LineOwner,
    ) {}

    /** Appends an item. */
    push(record: ItemRecord): void {
        record.line = this;
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

    /** Takes an item out, wherever it stands. */
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
        record.line = undefined;
        record.previous = undefined;
        record.next = undefined;
        this.length -= 1;
    }

    /** @returns The newest item. */
    peekLast(): ItemRecord | undefined {
        return this.tail;
    }

    /** @returns When the waiting of the first item began; 0 when empty. */
    getHeadQueuedAt(): Millis {
        return this.head?.item.queuedAt ?? 0;
    }
}

/** The queue that a line belongs to. */
export interface LineOwner {
    /** Takes a line back into the order, as after its team gave something back. */
    refresh(line: Line): void;
}

interface HeapEntry {
    readonly line: Line;
    readonly rank: number;
    readonly version: number;
    readonly sequence: number;
}

/** Stale entries allowed for each line before the heap is built again. */
const STALE_FACTOR = 4;
const STALE_FLOOR = 64;

/** Lines by rank, lowest first; equal ranks in the order in which they came. */
export class LineHeap {
    private heap = new Heap<HeapEntry>(compareEntries);
    private sequence = 0;
    private active = 0;

    /** Puts a line in, or moves it to its present rank. */
    push(line: Line): void {
        line.version += 1;
        if (!line.isInHeap) {
            line.isInHeap = true;
            this.active += 1;
        }
        this.sequence += 1;
        const rank = line.policy.computeRank(line);
        this.heap.push({ line, rank, version: line.version, sequence: this.sequence });
        if (this.heap.length > STALE_FACTOR * this.active + STALE_FLOOR) {
            this.rebuild();
        }
    }

    /** Takes a line out of the order. */
    remove(line: Line): void {
        if (line.isInHeap) {
            line.isInHeap = false;
            line.version += 1;
            this.active -= 1;
        }
    }

    /** @returns The line of lowest rank, or undefined. Ranks that rose since the push are corrected here. */
    peek(): Line | undefined {
        for (let top = this.heap.peek(); top !== undefined; top = this.heap.peek()) {
            const { line } = top;
            if (top.version !== line.version) {
                this.heap.pop();
                continue;
            }
            if (line.length === 0) {
                this.heap.pop();
                this.remove(line);
                continue;
            }
            if (line.policy.computeRank(line) <= top.rank) {
                return line;
            }
            this.heap.pop();
            this.push(line);
        }
        return undefined;
    }

    private rebuild(): void {
        const live = this.heap.toArray().filter(entry => entry.version === entry.line.version);
        this.heap = new Heap<HeapEntry>(compareEntries);
        this.heap.init(live);
    }
}

function compareEntries(left: HeapEntry, right: HeapEntry): number {
    return left.rank - right.rank || left.sequence - right.sequence;
}

/** Lines of one branch by length, so that the longest is found in constant time. */
export class LengthIndex {
    private readonly byLength: Set<Line>[] = [];
    private longest = 0;

    /** Notes that a line grew or shrank by one. */
    update(line: Line, before: number): void {
        this.byLength[before]?.delete(line);
        if (line.length > 0) {
            (this.byLength[line.length] ??= new Set()).add(line);
            this.longest = Math.max(this.longest, line.length);
        }
        while (this.longest > 0 && (this.byLength[this.longest]?.size ?? 0) === 0) {
            this.longest -= 1;
        }
    }

    /** @returns A longest line, or undefined when all are empty. */
    peekLongest(): Line | undefined {
        return this.byLength[this.longest]?.values().next().value;
    }
}
