/**
 * Which runs to stop so that a more urgent gang fits. Pure.
 *
 * @remarks The load this answers: gangs of many large tasks, on the few workers that may run them, while single tasks of a
 * less urgent queue fill every hole. Only runs that save their progress when they are stopped are chosen: they go on
 * elsewhere and lose a restart. Nothing is stopped unless the whole gang fits then.
 */
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
    /** Name of the step that its room is for. */
    readonly forStep: string;
}

/** Room for one more task on a worker. */
interface Place {
    readonly victims: readonly RunRecord[];
    /** What is free once they have stopped. */
    readonly free: Resources;
    /** Processors that are stopped, in thousandths. */
    readonly cost: number;
}

/** What is left of a worker while places are being chosen. */
class Ground {
    private free: Resources;
    /** Runs that may be stopped, the largest first: few stops make much room. */
    private readonly stoppable: RunRecord[];
    private placesLeft: number;
    /** The next place; undefined if there is no more. */
    place: Place | undefined;

    constructor(readonly slot: Slot, private readonly step: Step, priority: number) {
        this.free = slot.free;
        this.placesLeft = slot.countPlacesLeft(step);
        this.stoppable = [];
        for (const run of slot.worker.runs.values()) {
            if (run.phase === RunPhase.stopping) {
                this.free = addResources(this.free, run.demand);
            }
            else if (
                run.phase === RunPhase.running && run.yieldsBelow !== undefined && priority < run.yieldsBelow
            ) {
                this.stoppable.push(run);
            }
        }
        this.stoppable.sort((left, right) => right.demand.cpuMillis - left.demand.cpuMillis);
        this.place = this.findPlace();
    }

    /** Takes a place, which is the next one. */
    take({ victims, free }: Place): void {
        this.placesLeft -= 1;
        this.stoppable.splice(0, victims.length);
        this.free = removeResources(free, this.step.spec.demand);
        this.place = this.findPlace();
    }

    private findPlace(): Place | undefined {
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
 * Chooses runs to stop.
 * @param step - A gang that lacks room.
 * @param missing - Members without a place.
 * @param slots - Workers that may run it now, less what its other members take.
 * @param priority - That of its queue; only runs of queues that go after it are stopped.
 * @returns Undefined where even that would not be enough; nothing where room enough is coming free already.
 */
export function choosePreemptions(
    step: Step,
    missing: number,
    slots: readonly Slot[],
    priority: number,
): readonly Preemption[] | undefined {
    const grounds = slots.map(slot => new Ground(slot, step, priority));
    const chosen: Preemption[] = [];
    for (let member = 0; member < missing; member++) {
        const best = findCheapest(grounds);
        if (best === undefined) {
            return undefined;
        }
        const { ground, place } = best;
        ground.take(place);
        const { worker } = ground.slot;
        chosen.push(...place.victims.map(run => ({ worker, run, forStep: step.name })));
    }
    return chosen;
}

function findCheapest(
    grounds: readonly Ground[],
): { readonly ground: Ground; readonly place: Place; } | undefined {
    let best: { readonly ground: Ground; readonly place: Place; } | undefined;
    for (const ground of grounds) {
        const { place } = ground;
        if (place !== undefined && place.cost < (best?.place.cost ?? Infinity)) {
            best = { ground, place };
        }
    }
    return best;
}
