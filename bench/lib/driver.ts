/** Feeds a subject by events: arrivals, ends after the true run time, and the looks that time asks for. */
import type { WorkItem } from "../../src/process/placement/index.js";
import { EventQueue } from "./event-queue.js";
import type { Subject } from "./subject.js";

/** What was seen of one class of work. */
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

    /** Notes a change of what is in use. */
    countUse(now: number, change: number): void {
        this.usedTotal += this.inUse * (now - this.usedSince);
        this.usedSince = now;
        this.inUse += change;
    }

    /** @returns Use times milliseconds since the last call. */
    takeUse(): number {
        const used = this.usedTotal;
        this.usedTotal = 0;
        return used;
    }
}

interface Running {
    readonly item: WorkItem;
    readonly startedAt: number;
    /** Changes with each start, so that the end of a stopped run is not taken for that of the next. */
    readonly run: number;
}

/** Time for which a checkpoint goes on before the task stops. */
const CHECKPOINT_MS = 300;

export class Driver {
    readonly events = new EventQueue();
    readonly records = new Map<string, ClassRecord>();
    /** Whether a run on this worker fails at once. */
    fails: (workerId: string) => boolean = () => false;
    /** Called at each start. */
    afterStart: (item: WorkItem) => void = () => undefined;
    private readonly running = new Map<string, Running>();
    private readonly trueRuns = new Map<string, number>();
    /** Handed in and not started for the first time. */
    private readonly waiting = new Map<string, WorkItem>();
    private runs = 0;
    private plannedAt = Infinity;
    private usedFrom = 0;

    constructor(readonly subject: Subject, private readonly classify: (item: WorkItem) => string) {}

    /** Hands an item in at this instant. */
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

    /** @returns Mean of what each class had in use since the last call, in slots or millicores. */
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

    /** Counts what still waits as if it started now: its waits are lower bounds. */
    endWaits(): void {
        for (const item of this.waiting.values()) {
            this.getRecord(this.classify(item)).waits.push(this.events.now - item.queuedAt);
        }
    }

    /** Lets the subject decide and carries the decisions out. */
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
            this.stopSoon(id);
        }
        this.planLook();
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

    /** A preempted task saves its state, stops and waits again with what is left of it. */
    private stopSoon(id: string): void {
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

    private planLook(): void {
        const { now } = this.events;
        const next = this.subject.getNextAt(now);
        if (next === undefined || this.plannedAt > now && this.plannedAt <= next) {
            return;
        }
        this.plannedAt = Math.max(next, now + 1);
        const planned = this.plannedAt;
        this.events.schedule(planned, () => {
            if (this.plannedAt === planned) {
                this.plannedAt = Infinity;
                this.step();
            }
        });
    }

    private count(item: WorkItem, sign: number): void {
        const amount = item.kind === "service" ? 1 : item.resources.cpuMillis;
        this.getRecord(this.classify(item)).countUse(this.events.now, sign * amount);
    }
}

/** Time after which a worker that fails everything says so. */
const FAILED_RUN_MS = 5;
