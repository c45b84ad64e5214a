/** Waiting tasks of one size, and what is known about where that size fits. */
import type { Resources } from "../../common/resources.js";
import { type Line, LineHeap, type LineOwner } from "./line.js";
import type { WorkerRecord } from "./worker-record.js";

/** Told when a queue has something to decide. */
export interface QueueListener {
    handleReady(queue: RoomQueue): void;
}

/**
 * Tasks that need the same amounts.
 *
 * @remarks A search that found no worker makes the queue *blocked*. From then on other workers only lose room,
 * so the size can fit only where room was given back since: those workers are the hints, and no search of
 * the fleet is needed until a hint is used or the queue is empty. A blocked queue whose hints are used up is
 * blocked again without a search.
 */
export class RoomQueue implements LineOwner {
    readonly lines = new Map<string, Line>();
    size = 0;
    blocked = false;
    /** Start tag of the last line served, for start-time fair queueing. */
    virtualTime = 0;
    readonly hints: WorkerRecord[] = [];
    private readonly heap = new LineHeap();

    constructor(
        readonly key: string,
        readonly need: Resources,
        private readonly listener: QueueListener,
    ) {}

    refresh(line: Line): void {
        if (line.length > 0) {
            this.heap.push(line);
            if (!this.blocked || this.hints.length > 0) {
                this.listener.handleReady(this);
            }
        }
    }

    /** @returns The line that is next. */
    peek(): Line | undefined {
        return this.heap.peek();
    }

    /** Takes a line out of the order until its team gives something back. */
    park(line: Line): void {
        this.heap.remove(line);
        line.team.parked.add(line);
    }

    /** Notes that no worker has room for this size. */
    markBlocked(): void {
        this.blocked = true;
        this.hints.length = 0;
    }

    /** Notes that a worker got more room. */
    addHint(worker: WorkerRecord): void {
        if (this.blocked && this.hints.length < MAX_HINTS) {
            this.hints.push(worker);
            this.listener.handleReady(this);
        }
        else if (this.blocked) {
            this.blocked = false;
            this.hints.length = 0;
        }
    }

    /** @returns A worker that got room since the queue was blocked, or undefined. */
    takeHint(fits: (worker: WorkerRecord) => boolean): WorkerRecord | undefined {
        while (this.hints.length > 0) {
            const worker = this.hints[this.hints.length - 1];
            if (worker !== undefined && fits(worker)) {
                return worker;
            }
            this.hints.pop();
        }
        return undefined;
    }
}

/** Hints kept; with more the fleet is searched again. */
const MAX_HINTS = 64;
