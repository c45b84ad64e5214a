/** Waiting tasks with equal resource demand, and what is known about which workers can take them. */
import type { Resources } from "../../common/resources.js";
import { type Flow, FlowHeap, type FlowOwner } from "./flow.js";
import type { WorkerRecord } from "./worker-record.js";

/** Notified when a queue may have a task that can be placed. */
export interface QueueListener {
    handleReady(queue: TaskQueue): void;
}

/**
 * Queue of tasks with equal resource demand.
 *
 * @remarks A search that finds no worker makes the queue *blocked*. From then on the demand can fit only on
 * workers that released capacity since. These are kept as hints, so a blocked queue is served from its hints
 * without searching the fleet; when they are used up, it simply stays blocked.
 */
export class TaskQueue implements FlowOwner {
    readonly flows = new Map<string, Flow>();
    size = 0;
    blocked = false;
    /** Start tag of the flow served last, for start-time fair queueing. */
    virtualTime = 0;
    readonly hints: WorkerRecord[] = [];
    private readonly heap = new FlowHeap();

    constructor(
        readonly key: string,
        readonly demand: Resources,
        private readonly listener: QueueListener,
    ) {}

    refresh(flow: Flow): void {
        if (flow.length > 0) {
            this.heap.push(flow);
            if (!this.blocked || this.hints.length > 0) {
                this.listener.handleReady(this);
            }
        }
    }

    /** @returns The flow to serve next, or undefined. */
    peek(): Flow | undefined {
        return this.heap.peek();
    }

    /** Takes a flow out of the scheduling order until its team releases resources. */
    park(flow: Flow): void {
        this.heap.remove(flow);
        flow.team.parkedFlows.add(flow);
    }

    /** Records that no worker has enough free capacity for this demand. */
    markBlocked(): void {
        this.blocked = true;
        this.hints.length = 0;
    }

    /** Records that a worker gained free capacity; with too many hints the whole fleet is searched again. */
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

    /**
     * @returns A worker that gained free capacity since the queue was blocked and that `fits` accepts, or
     * undefined; hints that do not fit are dropped.
     */
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

/** Maximum number of hints; beyond it the fleet is searched again. */
const MAX_HINTS = 64;
