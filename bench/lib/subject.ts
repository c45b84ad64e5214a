/** The scheduler under test in a bench: the placement core or a baseline. */
import type { Random } from "../../src/common/random.js";
import { type Decision, type PlacementCore, type WorkItem } from "../../src/process/placement/index.js";

/** Start of an item on a worker. */
export interface Start {
    readonly item: WorkItem;
    readonly workerId: string;
}

/** Result of one call of `decide`. */
export interface Step {
    readonly starts: readonly Start[];
    /** Items dropped from the queues. */
    readonly shed: readonly WorkItem[];
    /** Running items to stop; they keep the progress that a checkpoint saved. */
    readonly stops: readonly string[];
}

/** A scheduler that accepts work items and decides where they start. */
export interface Subject {
    readonly name: string;
    /** @returns Whether the item was accepted. */
    enqueue(item: WorkItem, now: number): boolean;
    /** Enqueues the members of a gang, which must start together. */
    enqueueGang(gangId: string, items: readonly WorkItem[]): void;
    release(itemId: string, now: number, ranMs: number, failed: boolean): void;
    withdraw(itemId: string): void;
    decide(now: number): Step;
    /** Removes a worker and returns the IDs of the items lost with it. */
    removeWorker(workerId: string): readonly string[];
    /** Time at which to decide next if nothing else happens; undefined if there is none. */
    getNextAt(now: number): number | undefined;
}

const GANG_HOLD_MS = 10_000;
const GANG_RETRY_MS = 1_000;

/** Placement core whose gangs are held as in a home: the oldest keeps a partial hold, the others release theirs. */
export class CoreSubject implements Subject {
    private readonly gangs = new Map<string, readonly WorkItem[]>();
    private nextGangAttemptAt = 0;

    constructor(readonly name: string, readonly core: PlacementCore, private readonly random: Random) {}

    enqueue(item: WorkItem, now: number): boolean {
        return this.core.enqueue(item, now).kind === "queued";
    }

    enqueueGang(gangId: string, items: readonly WorkItem[]): void {
        this.gangs.set(gangId, items);
        this.nextGangAttemptAt = 0;
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
        return this.gangs.size === 0 ?
            next :
            Math.min(next ?? Infinity, Math.max(now + 1, this.nextGangAttemptAt));
    }

    private decideGangs(now: number): readonly Decision[] {
        if (this.gangs.size === 0 || now < this.nextGangAttemptAt) {
            return [];
        }
        this.nextGangAttemptAt = now + GANG_RETRY_MS;
        const started: Decision[] = [];
        let isOldest = true;
        for (const [gangId, items] of this.gangs) {
            const result = this.core.reserve(gangId, items, now + GANG_HOLD_MS, now);
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
