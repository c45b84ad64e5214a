/**
 * Places that are chosen once for a gang and withheld from all others until the runs there have stopped.
 *
 * @remarks Answers the load of gangs in a pool full of small tasks, which take each piece as it comes free.
 */
import type { Millis } from "../../common/clock.js";
import type { Step } from "../jobs/job.js";
import type { PoolView, Slot } from "./pool-view.js";

/** Time between two attempts to form an assembly for a gang. */
const ATTEMPT_INTERVAL_MS: Millis = 100;
/** More waiting work would leave the pool partly idle for seconds. */
const MAX_DEFERRED_SHARE = 0.1;
/** Time from the end of the stops until their ends are known and the gang is planned. */
const START_MARGIN_MS: Millis = 300;

/** Capacity that is being freed for gangs, across the passes of one leader. */
export interface FreedCapacity {
    /** Time from the decision to stop runs until the gang can start in their place. */
    readonly leadMs: Millis;
    /**
     * Other work with time to spare is put off while a gang lacks capacity, so that enough comes free anywhere,
     * if its tasks together want no more than this share of the pool.
     */
    readonly maxDeferredShare: number;
    /**
     * Withholds the places of all gangs that still wait, at the beginning of a pass.
     * @param pools - Name of the pool of each waiting step.
     */
    holdAll(pools: ReadonlyMap<Step, string>, getPool: (name: string) => PoolView, now: Millis): void;
    /** Counts the gangs for which capacity is withheld. */
    count(): number;
    /** Tells whether places are withheld for a gang. */
    has(step: Step): boolean;
    /** Returns a gang's own places to it, as its turn has come. */
    release(step: Step, pool: PoolView): void;
    /** Tells whether runs may be chosen for a gang. */
    isDue(step: Step, now: Millis): boolean;
    /**
     * Records an attempt.
     * @param slots - The worker of each member; undefined if too few runs could be stopped for the whole gang.
     */
    observe(step: Step, now: Millis, slots: readonly Slot[] | undefined): void;
    /**
     * Withholds a gang's places from the steps behind it.
     * @returns Whether there are any.
     */
    hold(step: Step, pool: PoolView, now: Millis): boolean;
    /** Returns the changes since the last call, and forgets them. */
    takeChanges(): readonly AssemblyChange[];
}

/** What became of an assembly. */
export const AssemblyOutcome = {
    formed: "formed",
    /** Its gang waits no longer: it was started, or its job has ended. */
    over: "over",
    /** Its places were not free in time. */
    expired: "expired",
} as const;
export type AssemblyOutcome = (typeof AssemblyOutcome)[keyof typeof AssemblyOutcome];

/** A change to be logged. */
export interface AssemblyChange {
    readonly step: string;
    readonly outcome: AssemblyOutcome;
    readonly members: number;
    readonly workers: number;
    /** Time since it was formed. */
    readonly ageMs: Millis;
}

interface Assembly {
    readonly formedAt: Millis;
    /** Number of members on each worker. */
    readonly members: ReadonlyMap<string, number>;
}

/** Counts the members on each worker. */
export function countMembers(slots: readonly Slot[]): ReadonlyMap<string, number> {
    const members = new Map<string, number>();
    slots.forEach(({ id }) => members.set(id, (members.get(id) ?? 0) + 1));
    return members;
}

/** Takes the places of a gang's members that this pass has not placed there. */
export function takePlaces(step: Step, pool: PoolView, members: ReadonlyMap<string, number>): void {
    for (const [workerId, count] of members) {
        const slot = pool.get(workerId);
        for (let placed = slot?.countPlaced(step) ?? count; placed < count; placed++) {
            slot?.take(step);
        }
    }
}

/** The assemblies of one leader. */
export class GangAssemblies implements FreedCapacity {
    readonly leadMs: Millis;
    readonly maxDeferredShare = MAX_DEFERRED_SHARE;
    private readonly assemblies = new Map<Step, Assembly>();
    private readonly attemptedAt = new WeakMap<Step, Millis>();
    private changes: AssemblyChange[] = [];

    /** @param stopMs - Time that a worker may take to stop a run. */
    constructor(stopMs: Millis) {
        this.leadMs = stopMs + START_MARGIN_MS;
    }

    holdAll(pools: ReadonlyMap<Step, string>, getPool: (name: string) => PoolView, now: Millis): void {
        for (const [step, { formedAt, members }] of this.assemblies) {
            const pool = pools.get(step);
            if (pool === undefined || now - formedAt > this.leadMs) {
                this.assemblies.delete(step);
                const outcome = pool === undefined ? AssemblyOutcome.over : AssemblyOutcome.expired;
                this.recordChange(step, outcome, members, now - formedAt);
                continue;
            }
            takePlaces(step, getPool(pool), members);
        }
    }

    count(): number {
        return this.assemblies.size;
    }

    has(step: Step): boolean {
        return this.assemblies.has(step);
    }

    release(step: Step, pool: PoolView): void {
        for (const workerId of this.assemblies.get(step)?.members.keys() ?? []) {
            const slot = pool.get(workerId);
            while (slot !== undefined && slot.countPlaced(step) > 0) {
                slot.release(step);
            }
        }
    }

    isDue(step: Step, now: Millis): boolean {
        return !this.has(step) && now - (this.attemptedAt.get(step) ?? -Infinity) >= ATTEMPT_INTERVAL_MS;
    }

    observe(step: Step, now: Millis, slots: readonly Slot[] | undefined): void {
        this.attemptedAt.set(step, now);
        if (slots !== undefined) {
            const members = countMembers(slots);
            this.assemblies.set(step, { formedAt: now, members });
            this.recordChange(step, AssemblyOutcome.formed, members, 0);
        }
    }

    hold(step: Step, pool: PoolView): boolean {
        const assembly = this.assemblies.get(step);
        if (assembly !== undefined) {
            takePlaces(step, pool, assembly.members);
        }
        return assembly !== undefined;
    }

    takeChanges(): readonly AssemblyChange[] {
        const { changes } = this;
        this.changes = [];
        return changes;
    }

    private recordChange(
        { name }: Step,
        outcome: AssemblyOutcome,
        members: ReadonlyMap<string, number>,
        ageMs: Millis,
    ): void {
        const count = [...members.values()].reduce((sum, tasks) => sum + tasks, 0);
        this.changes.push({ step: name, outcome, members: count, workers: members.size, ageMs });
    }
}
