/** Drives a subject by simulated events: arrivals, ends of runs after their true run time, and timed decisions. */
import type { WorkItem } from "../../src/process/placement/index.js";
import { EventQueue } from "./event-queue.js";
import type { Subject } from "./subject.js";

/** Statistics of one class of work. */
export class ClassRecord {
    readonly waits: number[] = [];
    arrived = 0;
    started = 0;
    /** Starts after a preemption, a failure or the loss of a worker. */
    restarted = 0;
    shed = 0;
    ended = 0;
    private inUse = 0;
    private usedSince = 0;
    private usedTotal = 0;

    /** Records a change of the resources in use. */
    countUse(now: number, change: number): void {
        this.usedTotal += this.inUse * (now - this.usedSince);
        this.usedSince = now;
        this.inUse += change;
    }

    /** @returns Integral of the use over time in milliseconds, since the last call. */
    takeUse(): number {
        const used = this.usedTotal;
        this.usedTotal = 0;
        return used;
    }
}

interface Running {
    readonly item: WorkItem;
    readonly startedAt: number;
    /** Unique for each start, so that the end of a stopped run is not mistaken for that of the next. */
    readonly run: number;
}

/** Time that a preempted task takes to save a checkpoint before it stops. */
const CHECKPOINT_MS = 300;

export class Driver {
    readonly events = new EventQueue();
    readonly records = new Map<string, ClassRecord>();
    /** Returns whether a run on this worker fails at once. */
    fails: (workerId: string) => boolean = () => false;
    /** Called at each start. */
    afterStart: (item: WorkItem) => void = () => undefined;
    private readonly running = new Map<string, Running>();
    private readonly trueRuns = new Map<string, number>();
    /** Submitted items that have not yet started for the first time. */
    private readonly waiting = new Map<string, WorkItem>();
    private runs = 0;
    private nextDecisionAt = Infinity;
    private usedFrom = 0;

    constructor(readonly subject: Subject, private readonly classify: (item: WorkItem) => string) {}

    /** Submits an item at the current simulated time. */
    submit(item: WorkItem, trueRunMs: number): void {
        const record = this.getRecord(this.classify(item));
        record.arrived += 1;
        this.trueRuns.set(item.id, trueRunMs);
        this.waiting.set(item.id, item);
        if (!this.subject.enqueue(item, this.events.now)) {
            record.shed += 1;
            this.dropItem(item.id);
        }
        this.step();
    }

    submitGang(gangId: string, items: readonly WorkItem[], trueRunMs: number): void {
        for (const item of items) {
            this.getRecord(this.classify(item)).arrived += 1;
            this.trueRuns.set(item.id, trueRunMs);
            this.waiting.set(item.id, item);
        }
        this.subject.enqueueGang(gangId, items);
        this.step();
    }

    removeWorker(workerId: string): readonly string[] {
        const lost = this.subject.removeWorker(workerId);
        for (const id of lost) {
            const entry = this.running.get(id);
            if (entry !== undefined) {
                this.count(entry.item, -1);
                this.running.delete(id);
                this.submitAgain(entry.item);
            }
        }
        return lost;
    }

    getRecord(name: string): ClassRecord {
        const record = this.records.get(name) ?? new ClassRecord();
        this.records.set(name, record);
        return record;
    }

    /** @returns Mean use of each class since the last call, in slots or millicores. */
    takeMeanUse(): ReadonlyMap<string, number> {
        const means = new Map<string, number>();
        const { now } = this.events;
        const elapsed = Math.max(1, now - this.usedFrom);
        for (const [name, record] of this.records) {
            record.countUse(now, 0);
            means.set(name, record.takeUse() / elapsed);
        }
        this.usedFrom = now;
        return means;
    }

    /** Records the wait of items that still wait as if they started now; these waits are lower bounds. */
    endWaits(): void {
        for (const item of this.waiting.values()) {
            this.getRecord(this.classify(item)).waits.push(this.events.now - item.queuedAt);
        }
    }

    /** Lets the subject decide and applies its decisions. */
    step(): void {
        const { now } = this.events;
        const step = this.subject.decide(now);
        for (const { item, workerId } of step.starts) {
            this.start(item, workerId);
        }
        for (const item of step.shed) {
            this.getRecord(this.classify(item)).shed += 1;
            this.dropItem(item.id);
        }
        for (const id of step.stops) {
            this.scheduleStop(id);
        }
        this.scheduleDecision();
    }

    private start(item: WorkItem, workerId: string): void {
        const { now } = this.events;
        const record = this.getRecord(this.classify(item));
        if (this.waiting.delete(item.id)) {
            record.started += 1;
            record.waits.push(now - item.queuedAt);
        }
        else {
            record.restarted += 1;
        }
        this.count(item, 1);
        this.afterStart(item);
        this.runs += 1;
        const run = this.runs;
        this.running.set(item.id, { item, startedAt: now, run });
        const failed = this.fails(workerId);
        const length = failed ? FAILED_RUN_MS : this.trueRuns.get(item.id) ?? 0;
        this.events.schedule(now + length, () => this.endRun(item.id, run, failed));
    }

    private endRun(id: string, run: number, failed: boolean): void {
        const entry = this.running.get(id);
        if (entry === undefined || entry.run !== run) {
            return;
        }
        const { now } = this.events;
        const { item } = entry;
        const ranMs = now - entry.startedAt;
        this.running.delete(id);
        this.count(item, -1);
        this.subject.release(id, now, ranMs, failed);
        if (failed) {
            this.submitAgain(item);
            return;
        }
        const record = this.getRecord(this.classify(item));
        record.ended += 1;
        this.trueRuns.delete(id);
        this.step();
    }

    /** Stops a preempted task after its checkpoint and enqueues it again with its remaining run time. */
    private scheduleStop(id: string): void {
        const entry = this.running.get(id);
        if (entry === undefined) {
            return;
        }
        this.events.schedule(this.events.now + CHECKPOINT_MS, () => {
            if (this.running.get(id)?.run === entry.run) {
                const ran = this.events.now - entry.startedAt;
                this.running.delete(id);
                this.count(entry.item, -1);
                this.trueRuns.set(id, Math.max(1, (this.trueRuns.get(id) ?? 0) - ran));
                this.subject.release(id, this.events.now, ran, true);
                this.submitAgain(entry.item);
            }
        });
    }

    private submitAgain(item: WorkItem): void {
        if (!this.subject.enqueue(item, this.events.now)) {
            this.getRecord(this.classify(item)).shed += 1;
        }
        this.step();
    }

    private dropItem(id: string): void {
        this.trueRuns.delete(id);
        this.waiting.delete(id);
    }

    private scheduleDecision(): void {
        const { now } = this.events;
        const next = this.subject.getNextAt(now);
        if (next === undefined || this.nextDecisionAt > now && this.nextDecisionAt <= next) {
            return;
        }
        this.nextDecisionAt = Math.max(next, now + 1);
        const planned = this.nextDecisionAt;
        this.events.schedule(planned, () => {
            if (this.nextDecisionAt === planned) {
                this.nextDecisionAt = Infinity;
                this.step();
            }
        });
    }

    private count(item: WorkItem, sign: number): void {
        const amount = item.kind === "service" ? 1 : item.resources.cpuMillis;
        this.getRecord(this.classify(item)).countUse(this.events.now, sign * amount);
    }
}

/** Run time on a worker that fails every run. */
const FAILED_RUN_MS = 5;
