/** A waiting step in a planning pass. */
import { countFitting } from "../../common/resources.js";
import { TaskState } from "../jobs/job.js";
import type { Step, Task } from "../jobs/job.js";
import { isSuspect } from "../jobs/worker-losses.js";
import type { StepPermits } from "./permits.js";
import { canEverHold, isAllOrNothing } from "./pool-view.js";
import type { PoolView, Slot } from "./pool-view.js";
import type { Urgency } from "./urgency.js";

/** Steps with more tasks than this are listed only as far as workers have room. */
const MAX_LISTED_TASKS = 100;

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

/**
 * Counts the tasks of a step that a pass has to look at: at least one, unless it is a large gang that the pool can never
 * hold.
 */
export function countPlannable(step: Step, pool: PoolView): number {
    if (step.waiting <= MAX_LISTED_TASKS) {
        return step.waiting;
    }
    if (isAllOrNothing(step)) {
        return canEverHold(step, pool.slots) ? step.waiting : 0;
    }
    let places = 0;
    for (const { free } of pool.slots) {
        places += Math.min(countFitting(step.spec.demand, free), step.waiting);
    }
    return Math.max(1, places);
}

/**
 * Lists the first tasks of a step that may start now.
 * @param isPaused - Whether a task must wait until more is known about its losses.
 * @param limit - Most tasks to list.
 */
export function listStartable(
    step: Step,
    isPaused: (task: Task) => boolean,
    limit: number,
): readonly Task[] {
    const startable: Task[] = [];
    for (const task of step.tasks.listWaiting()) {
        if (startable.length >= limit) {
            break;
        }
        if (!isPaused(task)) {
            startable.push(task);
        }
    }
    return startable;
}

/**
 * Lists the tasks of a step that may start now and must run exclusively.
 * @param isPaused - Whether a task must wait until more is known about its losses.
 */
export function listSuspects(step: Step, isPaused: (task: Task) => boolean): readonly Task[] {
    return [...step.tasks.listIn(TaskState.waiting)]
        .filter(task => isSuspect(task) && !isPaused(task))
        .sort((left, right) => left.index - right.index);
}
