/**
 * Chooses runs to preempt so that a more urgent gang fits.
 *
 * @remarks Gangs of many large tasks can run only on a few workers, while single tasks of a less urgent queue
 * fill every gap there. Only runs that save their progress when they are stopped are chosen: they continue
 * elsewhere and lose only a restart. Nothing is stopped unless the whole gang fits afterwards.
 */
import { appendAll } from "../../common/lists.js";
import { addResources, isWithin, removeResources } from "../../common/resources.js";
import type { Resources } from "../../common/resources.js";
import type { Step } from "../jobs/job.js";
import type { Slot } from "./pool-view.js";
import { RunPhase } from "./worker-state.js";
import type { RunRecord, WorkerState } from "./worker-state.js";

/** A run to stop. */
export interface Preemption {
    readonly worker: WorkerState;
    readonly run: RunRecord;
    /** Name of the step that its capacity is for. */
    readonly forStep: string;
}

/** How a gang gets the capacity that it lacks. */
export interface PreemptionPlan {
    readonly preemptions: readonly Preemption[];
    /** Worker of each missing member. */
    readonly slots: readonly Slot[];
}

/** Capacity for one more task on a worker. */
interface FreedPlace {
    readonly victims: readonly RunRecord[];
    /** Free capacity once the victims have stopped. */
    readonly free: Resources;
    /** Processors of the victims, in thousandths. */
    readonly cost: number;
}

/** A worker's remaining capacity and preemptible runs while places are chosen. */
class PreemptionCandidate {
    private free: Resources;
    /** Runs that may be stopped, the largest first, so that few stops free much capacity. */
    private readonly stoppable: RunRecord[];
    private placesLeft: number;
    /** The next place; undefined if there are no more. */
    place: FreedPlace | undefined;

    constructor(readonly slot: Slot, private readonly step: Step, priority: number) {
        this.free = slot.free;
        this.placesLeft = slot.countPlacesLeft(step);
        this.stoppable = [];
        for (const run of slot.worker.runs.values()) {
            if (run.phase === RunPhase.stopping) {
                this.free = addResources(this.free, run.demand);
            }
            else if (
                run.phase === RunPhase.running && run.preemptibleBelow !== undefined &&
                priority < run.preemptibleBelow
            ) {
                this.stoppable.push(run);
            }
        }
        this.stoppable.sort((left, right) => right.demand.cpuMillis - left.demand.cpuMillis);
        this.place = this.findPlace();
    }

    /** Uses the next place. */
    take({ victims, free }: FreedPlace): void {
        this.placesLeft -= 1;
        this.stoppable.splice(0, victims.length);
        this.free = removeResources(free, this.step.spec.demand);
        this.place = this.findPlace();
    }

    private findPlace(): FreedPlace | undefined {
        if (this.placesLeft === 0) {
            return undefined;
        }
        let { free } = this;
        const victims: RunRecord[] = [];
        for (const run of this.stoppable) {
            if (isWithin(this.step.spec.demand, free)) {
                break;
            }
            free = addResources(free, run.demand);
            victims.push(run);
        }
        return isWithin(this.step.spec.demand, free) ?
            { victims, free, cost: free.cpuMillis - this.free.cpuMillis } :
            undefined;
    }
}

/**
 * Chooses runs to stop for a gang that lacks capacity.
 * @param missing - Number of members without a place.
 * @param slots - Workers that may run it now, less the capacity of its other members.
 * @param priority - Priority of its queue; only runs of later queues are stopped.
 * @returns Undefined if stopping runs would not be enough; without runs to stop if enough capacity is coming free already.
 */
export function choosePreemptions(
    step: Step,
    missing: number,
    slots: readonly Slot[],
    priority: number,
): PreemptionPlan | undefined {
    const candidates = slots.map(slot => new PreemptionCandidate(slot, step, priority));
    const preemptions: Preemption[] = [];
    const chosen: Slot[] = [];
    for (let member = 0; member < missing; member++) {
        const best = findCheapest(candidates);
        if (best === undefined) {
            return undefined;
        }
        const { ground, place } = best;
        ground.take(place);
        const { worker } = ground.slot;
        chosen.push(ground.slot);
        appendAll(preemptions, place.victims.map(run => ({ worker, run, forStep: step.name })));
    }
    return { preemptions, slots: chosen };
}

function findCheapest(
    grounds: readonly PreemptionCandidate[],
): { readonly ground: PreemptionCandidate; readonly place: FreedPlace; } | undefined {
    let best: { readonly ground: PreemptionCandidate; readonly place: FreedPlace; } | undefined;
    for (const ground of grounds) {
        const { place } = ground;
        if (place !== undefined && place.cost < (best?.place.cost ?? Infinity)) {
            best = { ground, place };
        }
    }
    return best;
}
