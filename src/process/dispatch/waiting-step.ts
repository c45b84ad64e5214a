/** A waiting step in a planning pass. */
import type { Step, Task } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import type { StepPermits } from "./permits.js";
import type { PoolView, Slot } from "./pool-view.js";
import type { Urgency } from "./urgency.js";

/** A place found for a task. */
export interface Placement {
    readonly task: Task;
    readonly slot: Slot;
}

/** A waiting step and what a pass knows about it. */
export interface WaitingStep {
    readonly urgency: Urgency;
    readonly step: Step;
    readonly pool: PoolView;
    /** Undefined if the queue needs no permits. */
    readonly permits: StepPermits | undefined;
    /** Workers that may run it, including those whose permit has expired. */
    readonly willing: readonly Slot[];
    /** Those of them that it may use in this pass, as its queue or another one may be on probation. */
    readonly candidates: readonly Slot[];
    /** Its tasks that may start now. */
    readonly startable: readonly Task[];
}

/** What a permit request is made from. */
export interface RequestScope {
    /** Workers that the request may name. */
    readonly slots: readonly Slot[];
    /** Share of them that will probably be allowed and still have capacity when the answer arrives. */
    readonly allowedShare: number;
    readonly hasCapacity: boolean;
    /** Workers on which tasks were placed that wait for a permit. */
    readonly chosen: ReadonlySet<Slot>;
}

/** Sorts the tasks that must run exclusively first, as they need workers on which nothing else was placed. */
export function sortSuspectsFirst(tasks: readonly Task[]): readonly Task[] {
    return tasks.some(isSuspect) ?
        [...tasks].sort((left, right) => Number(isSuspect(right)) - Number(isSuspect(left))) :
        tasks;
}

/** Lists the workers that the advice service allows for a step, including those whose permit has expired. */
export function listAllowed(step: Step, pool: PoolView, permits: StepPermits): readonly Slot[] {
    const allowed: Slot[] = [];
    for (const workerId of permits.listAllowed()) {
        const slot = pool.get(workerId);
        if (slot?.isSuitable(step) === true) {
            allowed.push(slot);
        }
    }
    return allowed;
}
