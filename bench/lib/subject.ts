/** What a bench drives: the placement core, or a plain baseline. */
import type { Random } from "../../src/common/random.js";
import { type Decision, type PlacementCore, type WorkItem } from "../../src/process/placement/index.js";

/** An item that starts. */
export interface Start {
    readonly item: WorkItem;
    readonly workerId: string;
}

/** What happened in one look at the queues. */
export interface Step {
    readonly starts: readonly Start[];
    /** Items given up. */
    readonly shed: readonly WorkItem[];
    /** Running items that must stop; they keep what a checkpoint saved. */
    readonly stops: readonly string[];
}

/** Takes work and starts it. */
export interface Subject {
    readonly name: string;
    /** @returns Whether it was taken. */
    enqueue(item: WorkItem, now: number): boolean;
    /** Hands in the members of a gang, which must start together. */
    enqueueGang(gangId: string, items: readonly WorkItem[]): void;
    release(itemId: string, now: number, ranMs: number, failed: boolean): void;
    withdraw(itemId: string): void;
    decide(now: number): Step;
    /** Loses a worker and all on it. */
    removeWorker(workerId: string): readonly string[];
    /** Instant of the next look that time alone makes necessary. */
    getNextAt(now: number): number | undefined;
}

const HOLD_MS = 10_000;
const RETRY_MS = 1_000;

/** The core, with gangs held and committed the way a home does it: the oldest keeps a part, others give it back. */
export class CoreSubject implements Subject {
    private readonly gangs = new Map<string, readonly WorkItem[]>();
    private gangsAt = 0;

    constructor(readonly name: string, readonly core: PlacementCore, private readonly random: Random) {}

    enqueue(item: WorkItem, now: number): boolean {
        return this.core.enqueue(item, now).kind === "queued";
    }

    enqueueGang(gangId: string, items: readonly WorkItem[]): void {
        this.gangs.set(gangId, items);
        this.gangsAt = 0;
    }

    release(itemId: string, now: number, ranMs: number, failed: boolean): void {
        this.core.release(itemId, now, { ranMs, failed });
    }

    withdraw(itemId: string): void {
        this.core.withdraw(itemId);
    }

    removeWorker(workerId: string): readonly string[] {
        return this.core.removeWorker(workerId);
    }

    decide(now: number): Step {
        const decisions = [...this.decideGangs(now)];
        do {
            decisions.push(...this.core.decide(now, this.random));
        }
        while (this.core.getNextDecisionAt(now) === now);
        return convertDecisions(decisions);
    }

    getNextAt(now: number): number | undefined {
        const next = this.core.getNextDecisionAt(now);
        return this.gangs.size === 0 ? next : Math.min(next ?? Infinity, Math.max(now + 1, this.gangsAt));
    }

    private decideGangs(now: number): readonly Decision[] {
        if (this.gangs.size === 0 || now < this.gangsAt) {
            return [];
        }
        this.gangsAt = now + RETRY_MS;
        const started: Decision[] = [];
        let isOldest = true;
        for (const [gangId, items] of this.gangs) {
            const result = this.core.reserve(gangId, items, now + HOLD_MS, now);
            if (result.held === items.length) {
                started.push(...this.core.commitHold(gangId, now));
                this.gangs.delete(gangId);
                continue;
            }
            if (!isOldest) {
                this.core.releaseHold(gangId);
            }
            isOldest = false;
        }
        return started;
    }
}

function convertDecisions(decisions: readonly Decision[]): Step {
    const starts: Start[] = [];
    const shed: WorkItem[] = [];
    const stops: string[] = [];
    for (const decision of decisions) {
        if (decision.kind === "start") {
            starts.push(decision);
        }
        else if (decision.kind === "shed") {
            shed.push(decision.item);
        }
        else if (decision.kind === "preempt" && decision.step === "checkpoint") {
            stops.push(decision.victimId);
        }
    }
    return { starts, shed, stops };
}
